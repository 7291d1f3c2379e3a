// Deleting old claims under the faults of the store, and against claims that are still needed.
#include <sassafrasferry/store/claim_sweeper.h>
#include <sassafrasferry/store/row_batcher.h>

#include <sassafrasferry/fakes/memory_tables.h>
#include <sassafrasferry/fakes/run.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::store;
using namespace std::chrono_literals;
using fakes::MemoryTables;
using policy::ClaimState;

namespace {

constexpr policy::UnixMilliseconds made = 1000000;
constexpr policy::UnixMilliseconds retention = 60000;
constexpr policy::UnixMilliseconds settling = 5000; // from claim to outcome
constexpr auto due = made + settling + retention;
const RowKey fenceKey{"control", "epoch"};

struct FakeObjects
{
    std::set<std::string> names;
    bool isDown = false;

    Awaitable<absl::Status> remove(std::string name)
    {
        if (this->isDown)
            co_return absl::UnavailableError("down");
        this->names.erase(name);
        co_return absl::OkStatus();
    }
};

policy::Claim claimOf(const std::string &key, ClaimState state)
{
    policy::Claim claim;
    claim.key = key;
    claim.operationId = key + ".1";
    claim.claimedAt = made;
    claim.settle(state, made + settling);
    return claim;
}

// A store with claims as entry VMs write them, a fence and a sweeper.
struct Fixture
{
    http::asio::io_context context{1};
    MemoryTables tables;
    FakeObjects objects;
    Condition fence;
    ClaimSweeper<MemoryTables, FakeObjects> sweeper{tables, objects, retention};
    RowBatcher<MemoryTables> batcher{
        context.get_executor(), tables, {policy::WritePace(1e6, 1), 1ms, 1ms}};

    Fixture()
    {
        this->fence = {fenceKey,
                       this->tables.commitNow({{}, {{fenceKey, Json::object()}}, {}}).version};
    }

    std::int64_t write(const policy::Claim &claim, std::int64_t version)
    {
        RowWrite write{claimKey(claim.key), version, toJson(claim), claim.operationId + claim.key};
        if (claim.state == ClaimState::Claimed)
            write.expiresAt = claim.claimedAt + retention;
        const auto result = fakes::run(this->context, this->batcher.write(write));
        this->context.restart();
        return result.version;
    }

    // A claim that was made, and then came to `state`.
    void make(const std::string &key, ClaimState state)
    {
        const auto version = this->write(claimOf(key, ClaimState::Claimed), absent);
        auto claim = claimOf(key, state);
        if (state == ClaimState::Completed) {
            claim.answer.object = key;
            this->objects.names.insert(key);
        }
        if (state != ClaimState::Claimed)
            this->write(claim, version);
    }

    void sweep(policy::UnixMilliseconds now)
    {
        const auto swept = fakes::run(this->context, this->sweeper.step(now, this->fence));
        this->context.restart();
        this->isWhole = swept.ok();
    }

    bool has(const std::string &key) const
    {
        return !this->tables.readNow({claimKey(key)}).empty();
    }

    std::size_t lists() const
    {
        return this->tables.scanNow({expiryTable, ""}).size();
    }

    bool isWhole = false; // the last sweep met no fault
};

struct Case
{
    std::string title;
    ClaimState state;
    policy::UnixMilliseconds now;
    bool isKept;
    std::size_t lists; // left afterwards
};

struct FaultCase
{
    std::string title;
    fakes::TableFaults faults;
    bool objectsDown;
    bool lostLease;
};

} // namespace

TEST_CASE("which claims are deleted")
{
    // A resend of a key whose claim is gone runs anew. So a claim goes only when its time is over
    // and its outcome is settled; one that may still have run stays, and is looked at later.
    const auto row = GENERATE(values<Case>({
        {"completed, due", ClaimState::Completed, due, false, 0},
        {"not run, due", ClaimState::NotRun, due, false, 0},
        {"completed, its list not due", ClaimState::Completed, made + retention - 1, true, 1},
        {"completed after a long run, its list due", ClaimState::Completed, due - 1, true, 1},
        {"not settled, due", ClaimState::Claimed, due, true, 1},
    }));
    INFO(row.title);
    Fixture fixture;
    fixture.make("a", row.state);
    fixture.sweep(row.now);
    CHECK(fixture.has("a") == row.isKept);
    CHECK(fixture.lists() == row.lists);
    CHECK(fixture.objects.names.empty() == (!row.isKept || row.state != ClaimState::Completed));
}

TEST_CASE("a fault delays the sweep and spoils nothing")
{
    const auto row = GENERATE(values<FaultCase>({
        {"store down", {true, 0, 0, 0}, false, false},
        {"answer lost", {false, 1, 0, 0}, false, false},
        {"call lost", {false, 0, 1, 0}, false, false},
        {"read failed", {false, 0, 0, 1}, false, false},
        {"object store down", {}, true, false},
        {"lease lost meanwhile", {}, false, true},
    }));
    INFO(row.title);
    Fixture fixture;
    fixture.make("old", ClaimState::Completed);
    fixture.make("open", ClaimState::Claimed);
    fixture.tables.faults = row.faults;
    fixture.objects.isDown = row.objectsDown;
    if (row.lostLease)
        fixture.tables.commitNow({{}, {{fenceKey, Json::object()}}, {}});
    fixture.sweep(due);
    CHECK_FALSE(fixture.isWhole);
    CHECK(fixture.has("open"));
    const bool mayBeGone = row.faults.lostAnswers > 0;
    CHECK((fixture.has("old") || mayBeGone));
    fixture.tables.faults = {};
    fixture.objects.isDown = false;
    fixture.fence.version = fixture.tables.readNow({fenceKey})[0].version;
    fixture.sweep(due);
    CHECK(fixture.isWhole);
    CHECK_FALSE(fixture.has("old"));
    CHECK(fixture.has("open"));
    CHECK(fixture.objects.names.empty());
}

TEST_CASE("a claim made anew under an old key stays")
{
    // The first attempt was settled as not run; its list falls due while the second one runs. Were
    // the claim deleted by its key alone, a resend would run the request a second time.
    Fixture fixture;
    const auto first = fixture.write(claimOf("a", ClaimState::Claimed), absent);
    const auto settled = fixture.write(claimOf("a", ClaimState::NotRun), first);
    auto again = claimOf("a", ClaimState::Completed);
    again.claimedAt = made + settling + 1;
    again.settle(ClaimState::Completed, again.claimedAt + 1);
    fixture.write(again, settled);
    fixture.sweep(due);
    CHECK(fixture.isWhole);
    CHECK(fixture.has("a"));
}

TEST_CASE("many batches are swept in one step, and a batch has one list")
{
    constexpr int batches = 100;
    Fixture fixture;
    for (int i = 0; i < batches; ++i)
        fixture.make("k" + std::to_string(i), ClaimState::NotRun);
    CHECK(fixture.lists() == batches);
    fixture.sweep(due);
    CHECK(fixture.lists() == 0);
    CHECK(fixture.tables.scanNow({"claims", ""}).empty());
}
