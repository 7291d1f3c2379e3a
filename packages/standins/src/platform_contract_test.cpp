// Tests the contracts of table service, object store and VM list between the stand-in and the HTTP
// clients.
#include <sassafrasferry/standins/platform_standin.h>

#include <sassafrasferry/fakes/run.h>
#include <sassafrasferry/store/object_client.h>
#include <sassafrasferry/store/table_client.h>
#include <sassafrasferry/store/vm_list_client.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::standins;
using namespace std::chrono_literals;
using http::Awaitable;
using store::CommitState;
using store::Transaction;

namespace {

struct Fixture
{
    Fixture()
    {
        PlatformOptions options;
        options.listLag = 0ms;
        this->standin.emplace(this->context.get_executor(), options);
        const auto handle = [this](http::Request request, std::shared_ptr<http::Disconnect>) {
            return this->standin->handle(std::move(request));
        };
        this->server = std::make_shared<http::Server>(
            std::vector<http::Lane>{{this->context.get_executor(), handle}}, model::CallerLimits{});
        this->endpoint = http::listenOnLoopback(*this->server);
        this->tables.emplace(this->context.get_executor(), this->endpoint, 10s);
    }

    store::Commit commit(const Transaction &transaction)
    {
        return fakes::run(this->context, this->tables->commit(transaction));
    }

    void post(const std::string &target, const http::Json &body)
    {
        http::Client client(this->context.get_executor(), this->endpoint, {});
        fakes::run(this->context,
                   client.exchange(http::jsonRequest(http::Verb::post, target, body), 10s));
    }

    http::asio::io_context context;
    std::optional<PlatformStandin> standin;
    std::shared_ptr<http::Server> server;
    model::Endpoint endpoint;
    std::optional<store::TableClient> tables;
};

Transaction put(std::int64_t version)
{
    return {{{{"t", "a"}, version}}, {{{"t", "a"}, http::Json{{"n", 1}}}}, {}};
}

struct FaultCase
{
    std::string title;
    http::Json faults;
    CommitState expected;
    std::size_t rows;
};

} // namespace

TEST_CASE("a transaction commits only if the versions in its conditions match")
{
    Fixture fixture;
    const auto first = fixture.commit(put(store::absent));
    CHECK(first.state == CommitState::Committed);
    const auto second = fixture.commit(put(store::absent));
    CHECK(second.state == CommitState::Conflict);
    CHECK(second.failed == std::vector<std::size_t>{0});
    const auto third = fixture.commit(put(first.version));
    CHECK(third.state == CommitState::Committed);
    CHECK(third.version > first.version);
    const auto rows = fakes::run(fixture.context, fixture.tables->scan({"t", ""}));
    REQUIRE(rows->size() == 1);
    CHECK((*rows)[0].version == third.version);
    CHECK(fakes::run(fixture.context, fixture.tables->scan({"t", "a"}))->empty());
}

TEST_CASE("each fault of the table service gives its own commit state")
{
    const auto row = GENERATE(values<FaultCase>({
        {"down", {{"down", true}}, CommitState::NotApplied, 0},
        {"answer lost", {{"lostAnswers", 1}}, CommitState::Unknown, 1},
        {"call lost", {{"lostCalls", 1}}, CommitState::Unknown, 0},
        {"slow", {{"delayMs", 20}}, CommitState::Committed, 1},
    }));
    INFO(row.title);
    Fixture fixture;
    fixture.post("/standin/faults", row.faults);
    CHECK(fixture.commit(put(store::absent)).state == row.expected);
    fixture.post("/standin/faults", http::Json::object());
    CHECK(fakes::run(fixture.context, fixture.tables->scan({"t", ""}))->size() == row.rows);
}

TEST_CASE("a scan returns rows in key order, up to its limit")
{
    Fixture fixture;
    for (const auto *key : {"c", "a", "b"})
        fixture.commit({{}, {{{"t", key}, http::Json::object()}}, {}});
    const auto page = fakes::run(fixture.context, fixture.tables->scan({"t", "", 2}));
    REQUIRE(page->size() == 2);
    CHECK((*page)[0].key.key == "a");
    CHECK((*page)[1].key.key == "b");
    const auto rest = fakes::run(fixture.context, fixture.tables->scan({"t", "b", 2}));
    REQUIRE(rest->size() == 1);
    CHECK((*rest)[0].key.key == "c");
}

TEST_CASE("the object store returns whole objects, and the VM list names leaving VMs")
{
    Fixture fixture;
    store::ObjectClient objects(fixture.context.get_executor(), fixture.endpoint, 10s);
    const std::string body(100000, 'x');
    CHECK(fakes::run(fixture.context, objects.put("o", body)).ok());
    CHECK(*fakes::run(fixture.context, objects.get("o")) == body);
    CHECK_FALSE(fakes::run(fixture.context, objects.get("none")).ok());
    // Removal is idempotent, because a client repeats it after a lost answer.
    CHECK(fakes::run(fixture.context, objects.remove("o")).ok());
    CHECK(fakes::run(fixture.context, objects.remove("o")).ok());
    CHECK_FALSE(fakes::run(fixture.context, objects.get("o")).ok());
    store::VmListClient list(fixture.context.get_executor(), fixture.endpoint, 10s);
    CHECK(fakes::run(fixture.context, list.leaving())->empty());
    fixture.post("/standin/vms", {{"vm", "w1"}, {"leaving", true}});
    CHECK(*fakes::run(fixture.context, list.leaving()) == std::vector<std::string>{"w1"});
}
