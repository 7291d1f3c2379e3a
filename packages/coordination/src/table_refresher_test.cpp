// Tests reads of a table on demand, by a store that answers, fails or is silent.
#include <sassafrasferry/coordination/table_refresher.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

enum class Answers { Promptly, Fails, Never };

/// Satisfies `store::PartStore`. Counts its reads.
struct CountingStore
{
    Answers answers = Answers::Promptly;
    std::size_t reads = 0;

    Awaitable<store::PartCommit> commit(store::PartTransaction)
    {
        co_return store::PartCommit{};
    }

    Awaitable<absl::StatusOr<store::PartPage>> scan(store::PartRange,
                                                    const std::shared_ptr<http::Abort> & = nullptr)
    {
        co_await this->answer();
        if (this->answers == Answers::Fails)
            co_return absl::UnavailableError("no answer");
        store::PartPage page;
        page.version = 1;
        co_return page;
    }

    Awaitable<absl::StatusOr<std::vector<std::string>>> parts(std::string)
    {
        co_return std::vector<std::string>{};
    }

    Awaitable<absl::StatusOr<store::FeedPage>> feed(std::string, std::int64_t after,
                                                    std::chrono::milliseconds,
                                                    std::shared_ptr<http::Abort> abort)
    {
        if (this->isLarge)
            abort->onProgress({RowArrival::minBytes, 2 * RowArrival::minBytes});
        co_await this->answer();
        if (abort->aborted() || this->answers == Answers::Fails)
            co_return absl::UnavailableError("no answer");
        store::FeedPage page;
        page.version = after;
        co_return page;
    }

    bool isLarge = false; // the first bytes of each answer of the feed arrive at once
    std::chrono::milliseconds duration = 5ms; // of a read

private:
    Awaitable<void> answer()
    {
        ++this->reads;
        co_await pause(this->duration);
        while (this->answers == Answers::Never)
            co_await pause(5ms);
    }
};

struct Outcome
{
    bool isCovered = false;
    Duration took{};
};

class Bench
{
public:
    /// Begins all calls before the first of them returns.
    std::vector<Outcome> coverTogether(std::size_t calls, Instant moment)
    {
        std::vector<Outcome> outcomes(calls);
        std::size_t open = calls;
        for (auto &outcome : outcomes) {
            spawn(this->context.get_executor(), "cover", [&]() -> Awaitable<void> {
                const auto begin = bootNow();
                const CoverLimits limits{400ms, begin + 10s};
                outcome.isCovered = co_await this->refresher->cover(moment, limits);
                outcome.took = bootNow() - begin;
                --open;
            });
        }
        while (open > 0)
            this->context.run_one();
        return outcomes;
    }

    void pauseFor(Duration duration)
    {
        this->context.restart();
        this->context.run_for(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration));
        this->context.restart();
    }

    /// Runs until the condition holds; false if that takes too long.
    template<typename Condition>
    bool eventually(Condition condition)
    {
        const auto latest = bootNow() + 60s;
        while (!condition()) {
            if (bootNow() > latest)
                return false;
            this->pauseFor(20ms);
        }
        return true;
    }

    CountingStore store;

private:
    http::asio::io_context context;
    http::asio::executor_work_guard<http::asio::io_context::executor_type> work{
        this->context.get_executor()};
    std::shared_ptr<TableFollower<CountingStore>> follower =
        std::make_shared<TableFollower<CountingStore>>(
            this->store, FollowOptions{"table", {""}, 500ms}, [](const auto &, bool) {});
    std::shared_ptr<TableRefresher<CountingStore>> refresher =
        std::make_shared<TableRefresher<CountingStore>>(this->context.get_executor(),
                                                        this->follower);
};

std::size_t coveredCount(const std::vector<Outcome> &outcomes)
{
    return static_cast<std::size_t>(std::count_if(
        outcomes.begin(), outcomes.end(), [](const auto &outcome) { return outcome.isCovered; }));
}

} // namespace

TEST_CASE("Requests share a read that begins late enough for all of them")
{
    Bench bench;
    const auto moment = bootNow();
    CHECK(coveredCount(bench.coverTogether(5, moment)) == 5);
    CHECK(bench.store.reads == 1);
    CHECK(coveredCount(bench.coverTogether(5, moment)) == 5);
    CHECK(bench.store.reads == 1);
    CHECK(coveredCount(bench.coverTogether(5, bootNow())) == 5);
    CHECK(bench.store.reads == 2);
}

// Guards against requests that each wait for a store which does not answer.
TEST_CASE("Only the first request waits for a silent store, and its answers count once it is back")
{
    const auto fault = GENERATE(Answers::Never, Answers::Fails);
    Bench bench;
    bench.store.answers = fault;
    const auto moment = bootNow();
    CHECK(coveredCount(bench.coverTogether(3, moment)) == 0);
    CHECK(bench.store.reads == 1);
    bench.pauseFor(500ms);
    CHECK(coveredCount(bench.coverTogether(3, moment)) == 0);
    CHECK(bench.eventually([&] { return bench.store.reads == 2; }));
    bench.store.answers = Answers::Promptly;
    CHECK(bench.eventually([&] { return coveredCount(bench.coverTogether(1, moment)) == 1; }));
}

// Guards against reads of rows that are arriving already: they would share the link with them, and
// none would be whole in time.
TEST_CASE("Requests wait for rows that are arriving instead of reading them again")
{
    Bench bench;
    CHECK(coveredCount(bench.coverTogether(1, bootNow())) == 1);
    bench.store.isLarge = true;
    bench.store.duration = 800ms; // longer than requests wait for a silent store
    CHECK(coveredCount(bench.coverTogether(3, bootNow())) == 3);
    CHECK(bench.store.reads == 2);
}
