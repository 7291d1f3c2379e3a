// Compiles document revisions and publishes the current one.
#include "version.h"

namespace sassafrasferry::entry {

absl::StatusOr<VersionPointer> makeVersion(store::DocumentTexts texts)
{
    model::Findings findings;
    auto document = model::parseDocument(texts.sections, texts.revision, findings);
    if (!findings.empty())
        return absl::InvalidArgumentError(model::toString(findings));
    auto version = std::make_shared<Version>();
    version->table = policy::compileRoutingTable(document);
    version->document = std::move(document);
    version->texts = std::move(texts);
    return VersionPointer(std::move(version));
}

VersionHolder::VersionHolder()
    : version(std::make_shared<const Version>())
{}

VersionPointer VersionHolder::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->version;
}

bool VersionHolder::advance(VersionPointer next)
{
    const std::lock_guard lock(this->mutex);
    if (next->texts.revision <= this->version->texts.revision)
        return false;
    this->version = std::move(next);
    return true;
}

} // namespace sassafrasferry::entry
