// Parsing of administration requests.
#include "admin_request.h"

#include <sassafrasferry/http/json.h>

#include <algorithm>

namespace sassafrasferry::entry {

namespace {

using http::Json;
using http::Verb;

// Maps a method and a path to a page. A path that ends in '/' is followed by a name.
struct Route
{
    Verb method;
    std::string_view path;
    AdminPage page;
};

constexpr std::array routes{
    Route{Verb::get, "/healthz", AdminPage::Health},
    Route{Verb::get, "/metrics", AdminPage::Metrics},
    Route{Verb::get, "/v1/status", AdminPage::Status},
    Route{Verb::get, "/v1/upstreams", AdminPage::Upstreams},
    Route{Verb::get, "/v1/requests/", AdminPage::Explain},
    Route{Verb::get, "/v1/document", AdminPage::Document},
    Route{Verb::get, "/v1/sections/", AdminPage::Section},
    Route{Verb::post, "/v1/sections/", AdminPage::Apply},
    Route{Verb::get, "/v1/operations/", AdminPage::Operation},
    Route{Verb::get, "/v1/history/", AdminPage::History},
    Route{Verb::get, "/v1/waves", AdminPage::Waves},
    Route{Verb::post, "/v1/waves/", AdminPage::SetWave},
};

bool hasName(const Route &route)
{
    return route.path.back() == '/';
}

bool matches(const Route &route, std::string_view target)
{
    if (!hasName(route))
        return target == route.path;
    return target.size() > route.path.size() && target.substr(0, route.path.size()) == route.path;
}

// Names are copied into answers and log lines, so they must be printable text.
bool isPrintable(std::string_view name)
{
    return std::all_of(name.begin(), name.end(), [](char character) {
        constexpr char firstPrintable = ' ';
        constexpr char lastPrintable = '~';
        return character >= firstPrintable && character <= lastPrintable;
    });
}

// Parses a JSON body with `read` and converts its exceptions to an error status.
template<typename T, typename Read>
absl::StatusOr<T> parseBody(const std::string &body, Read read)
{
    try {
        T result;
        read(http::parseJson(body), result);
        return result;
    } catch (const Json::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace

AdminTarget parseAdminTarget(Verb method, std::string_view target)
{
    AdminTarget result;
    for (const auto &route : routes) {
        if (!matches(route, target))
            continue;
        const auto name = hasName(route) ? target.substr(route.path.size()) : std::string_view();
        if (!isPrintable(name))
            return {AdminPage::BadName, {}};
        if (route.method == method)
            return {route.page, std::string(name)};
        result.page = AdminPage::WrongMethod;
    }
    return result;
}

absl::StatusOr<store::SectionChange> parseSectionChange(const std::string &section,
                                                        const std::string &body)
{
    return parseBody<store::SectionChange>(body,
                                           [&](const Json &json, store::SectionChange &change) {
                                               change.section = section;
                                               json.at("text").get_to(change.text);
                                               json.at("baseRevision").get_to(change.baseRevision);
                                               json.at("operationId").get_to(change.operationId);
                                               json.at("token").get_to(change.token);
                                           });
}

absl::StatusOr<WaveOrder> parseWaveOrder(const std::string &body)
{
    std::string action;
    auto order = parseBody<WaveOrder>(body, [&](const Json &json, WaveOrder &result) {
        json.at("action").get_to(action);
        json.at("token").get_to(result.token);
    });
    if (!order.ok())
        return order;
    const auto known = model::valueOf<WaveAction>(action);
    if (!known)
        return absl::InvalidArgumentError("action must be one of " + model::allNames<WaveAction>());
    order->action = *known;
    return order;
}

} // namespace sassafrasferry::entry
