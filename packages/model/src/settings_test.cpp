// What an operator sees of a settings file that is wrong: every finding at once, with its place.
#include <sassafrasferry/model/settings.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::model;

namespace {

const std::string sound = R"(name = "e1"
dataCentre = "a"
callers = "127.0.0.1:8001"
admin = "127.0.0.1:8002"
peer = "127.0.0.1:8003"
platform = "127.0.0.1:8000"
)";

struct Case
{
    std::string title;
    std::string extra;
    std::string keyPath;
    std::string message;
    unsigned line;
};

} // namespace

TEST_CASE("a sound settings file has no findings")
{
    Findings findings;
    const auto settings = parseSettings(sound, "s.toml", findings);
    CHECK(toString(findings).empty());
    CHECK(settings.callers == Endpoint{"127.0.0.1", 8001});
    CHECK(settings.routing.policy == RoutingPolicy::Loans);
}

TEST_CASE("each fault of a settings file is a finding with its place")
{
    const auto fault = GENERATE(values<Case>({
        {"unknown key", "colour = 1\n", "colour", "is not a known key", 7},
        {"wrong type", "trafficThreads = \"two\"\n", "trafficThreads", "must be an integer", 7},
        {"out of range", "trafficThreads = 0\n", "trafficThreads", "must lie between 1 and 64", 7},
        {"unknown name", "[routing]\npolicy = \"best\"\n", "routing.policy", "must be one of loans",
         8},
        {"inner unknown key", "[limits]\nbody = 3\n", "limits.body", "is not a known key", 8},
        {"peer twice", "[[peers]]\nname = \"e1\"\naddress = \"127.0.0.1:1\"\n", "peers[0].name",
         "names an entry VM twice", 8},
        {"host name", "[[peers]]\nname = \"e2\"\naddress = \"localhost:1\"\n", "peers[0].address",
         "must be an IP number and a port", 9},
        {"timeout too short", "[control]\nheartbeatMs = 100\npeerTimeoutMs = 150\n",
         "control.peerTimeoutMs", "must be at least twice heartbeatMs", 9},
    }));
    INFO(fault.title);
    Findings findings;
    parseSettings(sound + fault.extra, "s.toml", findings);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].keyPath == fault.keyPath);
    CHECK_THAT(findings[0].message, Catch::Contains(fault.message));
    CHECK(findings[0].place.line == fault.line);
}

TEST_CASE("all findings are reported together")
{
    Findings findings;
    parseSettings("colour = 1\ntrafficThreads = 0\n", "s.toml", findings);
    CHECK(findings.size() == 8); // six missing keys, one unknown, one out of range
}

TEST_CASE("a syntax error is a finding with its line")
{
    Findings findings;
    parseSettings("name = \"e1\"\nadmin = = 3\n", "s.toml", findings);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].place.line == 2);
}

TEST_CASE("a control character is a finding, wherever it stands")
{
    // The operator's file was cut by a crash of an editor, or is no text at all. In a key such a
    // character ended the process in an assertion of the TOML library.
    const auto text = GENERATE(as<std::string>{}, "a = 1\n[\x03\x08", "a = 1\nb\x7f = 1",
                               std::string("a = 1\n\0b = 1", 12));
    Findings findings;
    parseSettings(text, "s.toml", findings);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].place.line == 2);
    CHECK_THAT(findings[0].message, Catch::Contains("control character"));
}

TEST_CASE("a text on which the TOML library asserts is a finding")
{
    const auto text = GENERATE(as<std::string>{}, "[+", "[\x7f", "a = 1\n[[+");
    Findings findings;
    parseSettings(text, "s.toml", findings);
    CHECK(findings.size() == 1);
}
