// What an administration request asks for: its page by method and path, and its body as a typed
// order. Whatever bytes arrive, the result is an order or an error that says what is wrong.
#pragma once

#include <sassafrasferry/http/types.h>
#include <sassafrasferry/model/names.h>
#include <sassafrasferry/store/documents.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace sassafrasferry::entry {

/// The pages of the administration API.
enum class AdminPage {
    Health,
    Metrics,
    Status,
    Upstreams,
    Explain, ///< named by a request id
    Document,
    Section, ///< named by a section
    Apply, ///< named by a section
    Operation, ///< named by an operation id
    History, ///< named by a revision
    Waves,
    SetWave, ///< named by a wave
    WrongMethod,
    BadName, ///< a name with characters other than printable ASCII
    Missing,
};

constexpr auto enumNames(AdminPage)
{
    using model::EnumName;
    return std::array{EnumName{AdminPage::Health, "health"},
                      EnumName{AdminPage::Metrics, "metrics"},
                      EnumName{AdminPage::Status, "status"},
                      EnumName{AdminPage::Upstreams, "upstreams"},
                      EnumName{AdminPage::Explain, "explain"},
                      EnumName{AdminPage::Document, "document"},
                      EnumName{AdminPage::Section, "section"},
                      EnumName{AdminPage::Apply, "apply"},
                      EnumName{AdminPage::Operation, "operation"},
                      EnumName{AdminPage::History, "history"},
                      EnumName{AdminPage::Waves, "waves"},
                      EnumName{AdminPage::SetWave, "set-wave"},
                      EnumName{AdminPage::WrongMethod, "wrong-method"},
                      EnumName{AdminPage::BadName, "bad-name"},
                      EnumName{AdminPage::Missing, "missing"}};
}

/// A page and, for pages that have one, the name in its path.
struct AdminTarget
{
    AdminPage page = AdminPage::Missing;
    std::string name;
};

/// What an operator orders of a wave.
enum class WaveAction { Start, Halt, Resume };

constexpr auto enumNames(WaveAction)
{
    using model::EnumName;
    return std::array{EnumName{WaveAction::Start, "start"}, EnumName{WaveAction::Halt, "halt"},
                      EnumName{WaveAction::Resume, "resume"}};
}

/// An order and the token of the team that gives it.
struct WaveOrder
{
    WaveAction action = WaveAction::Start;
    std::string token;
};

/// The page that a method and a path name.
///
/// ```
/// parseAdminTarget(Verb::get, "/v1/sections/fleet") // Section, "fleet"
/// ```
AdminTarget parseAdminTarget(http::Verb method, std::string_view target);

/// The change in the body of an apply request: `text`, `baseRevision`, `operationId`, `token`.
absl::StatusOr<store::SectionChange> parseSectionChange(const std::string &section,
                                                        const std::string &body);

/// The order in the body of a wave request: `action`, `token`.
absl::StatusOr<WaveOrder> parseWaveOrder(const std::string &body);

} // namespace sassafrasferry::entry
