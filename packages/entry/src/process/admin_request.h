// Parses administration requests: the page from method and path, and the body into a typed order.
// Any input yields either an order or an error that describes the problem.
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
    Explain, ///< path contains a request id
    Document,
    Section, ///< path contains a section name
    Apply, ///< path contains a section name
    Operation, ///< path contains an operation id
    History, ///< path contains a revision
    Waves,
    SetWave, ///< path contains a wave name
    WrongMethod,
    BadName, ///< the name has characters other than printable ASCII
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

/// A page and the name in its path; the name is empty for pages without one.
struct AdminTarget
{
    AdminPage page = AdminPage::Missing;
    std::string name;
};

/// An operator's action on a wave.
enum class WaveAction { Start, Halt, Resume };

constexpr auto enumNames(WaveAction)
{
    using model::EnumName;
    return std::array{EnumName{WaveAction::Start, "start"}, EnumName{WaveAction::Halt, "halt"},
                      EnumName{WaveAction::Resume, "resume"}};
}

/// An action on a wave and the token of the team that requests it.
struct WaveOrder
{
    WaveAction action = WaveAction::Start;
    std::string token;
};

/// Returns the page and name for a method and a path.
///
/// ```
/// parseAdminTarget(Verb::get, "/v1/sections/fleet") // Section, "fleet"
/// ```
AdminTarget parseAdminTarget(http::Verb method, std::string_view target);

/// Parses the body of an apply request: `text`, `baseRevision`, `operationId`, `token`.
absl::StatusOr<store::SectionChange> parseSectionChange(const std::string &section,
                                                        const std::string &body);

/// Parses the body of a wave request: `action`, `token`.
absl::StatusOr<WaveOrder> parseWaveOrder(const std::string &body);

} // namespace sassafrasferry::entry
