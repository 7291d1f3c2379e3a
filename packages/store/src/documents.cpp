// Keys of the document's rows, and who may change what.
#include <sassafrasferry/store/documents.h>

#include <sassafrasferry/store/digest.h>

#include <algorithm>

namespace sassafrasferry::store {

namespace {

constexpr std::size_t revisionDigits = 12; // keys sort as numbers do

bool isTokenOf(const model::Document &document, const std::string &team, const std::string &token)
{
    const auto *found = document.team(team);
    return found && equalInConstantTime(found->tokenHash, sha256(token));
}

} // namespace

const model::SectionText *DocumentTexts::section(const std::string &name) const
{
    for (const auto &section : this->sections) {
        if (section.name == name)
            return &section;
    }
    return nullptr;
}

void DocumentTexts::set(model::SectionText section)
{
    std::erase_if(this->sections,
                  [&](const model::SectionText &other) { return other.name == section.name; });
    if (section.text.empty())
        return;
    const auto at = std::lower_bound(
        this->sections.begin(), this->sections.end(), section.name,
        [](const model::SectionText &other, const std::string &name) { return other.name < name; });
    this->sections.insert(at, std::move(section));
}

RowKey headKey()
{
    return {"document", "head"};
}

RowKey sectionKey(const std::string &name)
{
    return {"sections", name};
}

RowKey revisionKey(std::int64_t revision)
{
    auto digits = std::to_string(revision);
    digits.insert(0, revisionDigits - std::min(revisionDigits, digits.size()), '0');
    return {"revisions", digits};
}

RowKey operationKey(const std::string &operationId)
{
    return {"operations", operationId};
}

bool isOwner(const model::Document &document, const std::string &section, const std::string &token)
{
    const auto *found = document.section(section);
    return found && isTokenOf(document, found->team, token);
}

bool mayChange(const model::Document &current, const model::Document &changed,
               const SectionChange &change)
{
    // The first section of an empty document creates the teams that own what follows.
    if (current.sections.empty())
        return changed.section(change.section)
               && isTokenOf(changed, changed.section(change.section)->team, change.token);
    if (current.section(change.section))
        return isOwner(current, change.section, change.token);
    // A new section belongs to the team it names, which the document in force must know.
    const auto *created = changed.section(change.section);
    return created && isTokenOf(current, created->team, change.token);
}

} // namespace sassafrasferry::store
