// Group commit under the faults of the store.
#include <sassafrasferry/store/row_batcher.h>

#include <sassafrasferry/fakes/memory_tables.h>
#include <sassafrasferry/fakes/run.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::store;
using namespace std::chrono_literals;
using fakes::MemoryTables;

namespace {

const BatcherTimes quick{policy::WritePace(1e6, 1), 0ms, 0ms};

RowWrite writeOf(const std::string &key, std::int64_t version, const std::string &id)
{
    return {{"t", key}, version, Json{{"data", id}}, id};
}

struct Case
{
    std::string title;
    fakes::TableFaults faults;
    WriteState expected;
    bool isInStore;
};

} // namespace

TEST_CASE("a write under each fault of the store")
{
    // A caller that is told "not run" after a lost answer would send again, and the first write
    // may stand in the store. Only what is known may be said.
    const auto row = GENERATE(values<Case>({
        {"none", {}, WriteState::Written, true},
        {"down", {true, 0, 0, 0}, WriteState::NotApplied, false},
        {"answer lost once", {false, 1, 0, 0}, WriteState::Written, true},
        {"call lost once", {false, 0, 1, 0}, WriteState::Written, true},
        {"answer lost, then read fails", {false, 1, 0, 1}, WriteState::Unknown, true},
    }));
    INFO(row.title);
    http::asio::io_context context;
    MemoryTables tables;
    tables.faults = row.faults;
    BatcherTimes times = quick;
    times.settle = 1h;
    RowBatcher<MemoryTables> batcher(context.get_executor(), tables, times);
    const auto result = fakes::run(context, batcher.write(writeOf("a", absent, "w1")));
    CHECK(result.state == row.expected);
    CHECK(tables.readNow({{"t", "a"}}).size() == (row.isInStore ? 1 : 0));
}

TEST_CASE("a write that is pursued in vain ends as unknown")
{
    http::asio::io_context context;
    MemoryTables tables;
    tables.faults.lostCalls = 100;
    RowBatcher<MemoryTables> batcher(context.get_executor(), tables, quick);
    const auto result = fakes::run(context, batcher.write(writeOf("a", absent, "w1")));
    CHECK(result.state == WriteState::Unknown);
}

TEST_CASE("many writes share a transaction, and one that conflicts does not spoil the others")
{
    http::asio::io_context context;
    MemoryTables tables;
    tables.commitNow({{}, {{{"t", "k3"}, Json{{"writeId", "other"}}}}, {}});
    RowBatcher<MemoryTables> batcher(context.get_executor(), tables, quick);
    std::size_t written = 0;
    std::size_t conflicts = 0;
    for (int i = 0; i < 100; ++i) {
        http::asio::co_spawn(
            context,
            [&, i]() -> Awaitable<void> {
                const auto key = "k" + std::to_string(i);
                const auto result = co_await batcher.write(writeOf(key, absent, key));
                written += result.state == WriteState::Written ? 1 : 0;
                conflicts += result.state == WriteState::Conflict ? 1 : 0;
            },
            http::asio::detached);
    }
    context.run();
    CHECK(written == 99);
    CHECK(conflicts == 1);
    CHECK(batcher.transactions() <= 3);
}

TEST_CASE("two writes to one key do not share a transaction")
{
    http::asio::io_context context;
    MemoryTables tables;
    RowBatcher<MemoryTables> batcher(context.get_executor(), tables, quick);
    std::vector<WriteState> states;
    for (const auto *id : {"w1", "w2"}) {
        http::asio::co_spawn(
            context,
            [&, id]() -> Awaitable<void> {
                states.push_back((co_await batcher.write(writeOf("a", absent, id))).state);
            },
            http::asio::detached);
    }
    context.run();
    CHECK(states == std::vector<WriteState>{WriteState::Written, WriteState::Conflict});
}
