// Tests of document versions: revisions never decrease and invalid texts are rejected.
#include "version.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::entry;

namespace {

VersionPointer versionOf(std::int64_t revision)
{
    store::DocumentTexts texts;
    texts.revision = revision;
    return *makeVersion(texts);
}

} // namespace

TEST_CASE("the current revision never decreases")
{
    // Updates arrive out of order from the store and from a peer that lags. A caller that was
    // served with revision 3 must not be served with revision 2 afterwards.
    VersionHolder holder;
    CHECK(holder.advance(versionOf(1)));
    CHECK(holder.advance(versionOf(3)));
    CHECK_FALSE(holder.advance(versionOf(2)));
    CHECK_FALSE(holder.advance(versionOf(3)));
    CHECK(holder.current()->texts.revision == 3);
}

TEST_CASE("an invalid document creates no version")
{
    store::DocumentTexts texts;
    texts.revision = 1;
    texts.sections = {{"a", "[sections.a]\nteam = \"nobody\"\n", 1}};
    CHECK_FALSE(makeVersion(texts).ok());
}
