// Parsing of valid and invalid administration requests.
#include "admin_request.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::entry;
using http::Verb;

namespace {

struct TargetCase
{
    Verb method;
    std::string target;
    AdminPage page;
    std::string name;
};

struct BodyCase
{
    std::string title;
    std::string body;
    bool isValid;
};

} // namespace

TEST_CASE("an administration request is mapped to its page by method and path")
{
    const auto row = GENERATE(values<TargetCase>({
        {Verb::get, "/healthz", AdminPage::Health, ""},
        {Verb::get, "/metrics", AdminPage::Metrics, ""},
        {Verb::get, "/v1/status", AdminPage::Status, ""},
        {Verb::get, "/v1/upstreams", AdminPage::Upstreams, ""},
        {Verb::get, "/v1/requests/e1.17.3", AdminPage::Explain, "e1.17.3"},
        {Verb::get, "/v1/document", AdminPage::Document, ""},
        {Verb::get, "/v1/sections/fleet", AdminPage::Section, "fleet"},
        {Verb::post, "/v1/sections/fleet", AdminPage::Apply, "fleet"},
        {Verb::get, "/v1/operations/o-1", AdminPage::Operation, "o-1"},
        {Verb::get, "/v1/history/12", AdminPage::History, "12"},
        {Verb::get, "/v1/waves", AdminPage::Waves, ""},
        {Verb::post, "/v1/waves/weekly", AdminPage::SetWave, "weekly"},
        {Verb::post, "/healthz", AdminPage::WrongMethod, ""},
        {Verb::put, "/v1/sections/fleet", AdminPage::WrongMethod, ""},
        {Verb::get, "/v1/waves/weekly", AdminPage::WrongMethod, ""},
        {Verb::get, "/v1/sections/", AdminPage::Missing, ""},
        {Verb::get, "/v1/sections", AdminPage::Missing, ""},
        {Verb::get, "/v1/statusx", AdminPage::Missing, ""},
        {Verb::get, "", AdminPage::Missing, ""},
        {Verb::get, "/v1/sections/\xff\xfe", AdminPage::BadName, ""},
        {Verb::get, "/v1/operations/a\nb", AdminPage::BadName, ""},
    }));
    INFO(row.target);
    const auto target = parseAdminTarget(row.method, row.target);
    CHECK(target.page == row.page);
    CHECK(target.name == row.name);
}

TEST_CASE("a change body with missing keys or wrong types is rejected")
{
    const std::string rest = R"("operationId": "o", "token": "t"})";
    const auto row = GENERATE_COPY(values<BodyCase>({
        {"sound", R"({"text": "x", "baseRevision": 3, )" + rest, true},
        {"not JSON", "{", false},
        {"empty", "", false},
        {"not an object", "[1]", false},
        {"a key is missing", R"({"baseRevision": 3, )" + rest, false},
        {"a wrong type", R"({"text": 5, "baseRevision": 3, )" + rest, false},
        {"a revision in words", R"({"text": "x", "baseRevision": "three", )" + rest, false},
        {"not UTF-8", "{\"text\": \"\xff\", \"baseRevision\": 3, " + rest, false},
    }));
    INFO(row.title);
    const auto change = parseSectionChange("fleet", row.body);
    CHECK(change.ok() == row.isValid);
    if (change.ok()) {
        CHECK(change->section == "fleet");
        CHECK(change->text == "x");
        CHECK(change->baseRevision == 3);
        CHECK(change->operationId == "o");
        CHECK(change->token == "t");
    }
}

TEST_CASE("a wave order with missing keys or wrong types is rejected")
{
    // A number in place of the action must be reported as an invalid order, not answered with
    // "internal error".
    const auto row = GENERATE(values<BodyCase>({
        {"sound", R"({"action": "halt", "token": "t"})", true},
        {"an unknown action", R"({"action": "stop", "token": "t"})", false},
        {"a number for the action", R"({"action": 5, "token": "t"})", false},
        {"a number for the token", R"({"action": "halt", "token": 5})", false},
        {"no token", R"({"action": "halt"})", false},
        {"not an object", "null", false},
        {"not JSON", "halt", false},
    }));
    INFO(row.title);
    const auto order = parseWaveOrder(row.body);
    CHECK(order.ok() == row.isValid);
    if (order.ok())
        CHECK(order->action == WaveAction::Halt);
}
