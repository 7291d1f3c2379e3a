// Versions succeed one another in one direction only.
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

TEST_CASE("a revision never goes down")
{
    // News arrives out of order: from the store, from a peer that lags, again from the store. A
    // caller that was served by revision 3 must not be served by 2 afterwards.
    VersionHolder holder;
    CHECK(holder.advance(versionOf(1)));
    CHECK(holder.advance(versionOf(3)));
    CHECK_FALSE(holder.advance(versionOf(2)));
    CHECK_FALSE(holder.advance(versionOf(3)));
    CHECK(holder.current()->texts.revision == 3);
}

TEST_CASE("texts with findings make no version")
{
    store::DocumentTexts texts;
    texts.revision = 1;
    texts.sections = {{"a", "[sections.a]\nteam = \"nobody\"\n", 1}};
    CHECK_FALSE(makeVersion(texts).ok());
}
