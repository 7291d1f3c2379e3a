// Withdrawals of jobs are deleted after their retention.
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/coordination/withdrawal_sweep.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/memory_store.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Duration retention = 120s;

struct World
{
    void put(const std::string &job, const std::string &value)
    {
        this->run([this, job, value]() -> Awaitable<void> {
            store::PartTransaction transaction;
            transaction.part = JobParts().partOf(job);
            transaction.puts.push_back({table::intake, job, value});
            co_await this->store.commit(std::move(transaction));
        });
    }

    /// The rows of jobs, of all parts.
    std::vector<store::PartRow> rows()
    {
        std::vector<store::PartRow> rows;
        for (const auto &part : JobParts().all()) {
            this->run([&]() -> Awaitable<void> {
                const store::PartRange range{table::intake, part, "", ""};
                const auto page = co_await this->store.scan(range);
                rows.insert(rows.end(), page->rows.begin(), page->rows.end());
            });
        }
        return rows;
    }

    void noteAll(Instant now)
    {
        for (const auto &row : this->rows())
            this->sweep.note(row, now);
    }

    /// Sweeps until nothing more is due. Returns the number of transactions.
    std::size_t sweepAll(Instant now)
    {
        std::size_t calls = 0;
        this->run([&]() -> Awaitable<void> {
            bool hasMore = true;
            while (hasMore) {
                hasMore = co_await this->sweep.sweep(now);
                ++calls;
            }
        });
        return calls;
    }

    template<typename Body>
    void run(Body body)
    {
        spawn(this->context.get_executor(), "test", std::move(body));
        this->context.restart();
        this->context.run();
    }

    http::asio::io_context context;
    MemoryStore store;
    WithdrawalSweep<MemoryStore> sweep{store, retention};
};

std::string withdrawn()
{
    const Withdrawal withdrawal{{""}};
    return withdrawalValue(withdrawal);
}

} // namespace

// Guards against rows without end: any caller may cancel ids that no job has.
TEST_CASE("Withdrawals are deleted after their retention and not before")
{
    World world;
    constexpr std::size_t count = 200;
    for (std::size_t i = 0; i < count; ++i)
        world.put("j" + std::to_string(i), withdrawn());
    const auto begin = bootNow();
    world.noteAll(begin);
    world.sweepAll(begin + retention - 1s);
    CHECK(world.rows().size() == count);
    CHECK(world.sweepAll(begin + retention) < count / 20);
    CHECK(world.rows().empty());
    CHECK(world.sweep.size() == 0);
}

// Guards against an accepted job that is deleted because another customer had cancelled its id.
TEST_CASE("A job in place of a withdrawal is not deleted")
{
    World world;
    world.put("j", withdrawn());
    world.put("k", withdrawn());
    const auto begin = bootNow();
    world.noteAll(begin);
    world.put("j", "record");
    world.sweepAll(begin + retention);
    const auto left = world.rows();
    REQUIRE(left.size() == 1);
    CHECK(left.front().key == "j");
    CHECK(world.sweep.size() == 0);
}

TEST_CASE("Withdrawals are kept for another try while the store takes no writes")
{
    World world;
    world.put("j", withdrawn());
    const auto begin = bootNow();
    world.noteAll(begin);
    world.store.refusesCommits = true;
    CHECK(world.sweepAll(begin + retention) == 1);
    CHECK(world.sweep.size() == 1);
    world.store.refusesCommits = false;
    world.sweepAll(begin + retention);
    CHECK(world.rows().empty());
}
