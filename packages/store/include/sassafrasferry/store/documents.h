// What the document looks like in the table service, and the results of applying a section.
#pragma once

#include <sassafrasferry/model/document.h>
#include <sassafrasferry/store/rows.h>

namespace sassafrasferry::store {

/// The texts of all sections at one revision.
struct DocumentTexts
{
    std::int64_t revision = 0;
    std::vector<model::SectionText> sections; ///< sorted by name

    const model::SectionText *section(const std::string &name) const;
    /// Replaces or adds a section; an empty text removes it.
    void set(model::SectionText section);
};

/// An operator's change of one section.
struct SectionChange
{
    std::string section;
    std::string text; ///< empty: the section is removed
    std::int64_t baseRevision = 0; ///< revision of the section that the operator edited; 0: new
    std::string operationId; ///< unique to this change
    std::string token; ///< the team's
};

/// How a change ended.
enum class ChangeState {
    Accepted,
    Refused, ///< findings say why
    Conflict, ///< another change of this section came first
    Forbidden, ///< the token is not that of the section's team
    Unavailable, ///< the store could not be reached; nothing was changed
    Unknown, ///< it may have been accepted; the operation id settles it
};

constexpr auto enumNames(ChangeState)
{
    using model::EnumName;
    return std::array{EnumName{ChangeState::Accepted, "accepted"},
                      EnumName{ChangeState::Refused, "refused"},
                      EnumName{ChangeState::Conflict, "conflict"},
                      EnumName{ChangeState::Forbidden, "forbidden"},
                      EnumName{ChangeState::Unavailable, "unavailable"},
                      EnumName{ChangeState::Unknown, "unknown"}};
}

/// The result of a change.
struct ChangeResult
{
    ChangeState state = ChangeState::Unknown;
    std::int64_t revision = 0; ///< accepted: the new one; conflict: that of the other change
    model::Findings findings;
    std::string currentText; ///< conflict: the section as it stands
};

/// Lines of history that are read at once.
constexpr std::size_t historyPage = 200;

/// One line of the document's history.
struct HistoryEntry
{
    std::int64_t revision = 0;
    std::string section;
    std::string team;
    std::string operationId;
};

RowKey headKey();
RowKey sectionKey(const std::string &name);
RowKey revisionKey(std::int64_t revision);
RowKey operationKey(const std::string &operationId);

/// Whether the token is that of the team that owns a section of the document.
bool isOwner(const model::Document &document, const std::string &section, const std::string &token);

/// Whether the token belongs to the team that owns the section, by the document in force, and for
/// a new section by the team that the new text names.
bool mayChange(const model::Document &current, const model::Document &changed,
               const SectionChange &change);

} // namespace sassafrasferry::store
