// Follows a table of the store: reads all rows, then receives each change from the table's feed.
#pragma once

#include <sassafrasferry/coordination/concurrently.h>
#include <sassafrasferry/coordination/row_arrival.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/store/part_rows.h>

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// The table to follow and the timing of its feed.
struct FollowOptions
{
    std::string table;
    std::vector<std::string> parts; ///< parts to scan at the start and after the feed lost history
    /// A feed without changes answers after this time, and only then tells that there were none.
    std::chrono::milliseconds wait{0};
    std::chrono::milliseconds pause{0}; ///< delay between two reads of the feed
};

/// What became of a read of changes.
enum class ReadOutcome {
    Read,
    Superseded, ///< another read of the same changes was faster or has begun before
    Failed,
};

/// Follows the table until `stop` is called.
template<store::PartStore Store>
class TableFollower : public std::enable_shared_from_this<TableFollower<Store>>
{
public:
    /// `isWhole`: the rows are the whole table, not changes from the feed.
    using OnRows = std::function<void(const std::vector<store::PartRow> &rows, bool isWhole)>;

    TableFollower(Store &store, FollowOptions options, OnRows onRows)
        : store(store)
        , options(std::move(options))
        , onRows(std::move(onRows))
    {}

    void begin(const http::asio::any_io_executor &executor)
    {
        spawn(executor, "follow " + this->options.table, [self = this->shared_from_this()] {
            return restarted("follow " + self->options.table, [self] { return self->run(); });
        });
    }

    void stop()
    {
        this->stopped = true;
    }

    /// All changes that the store acknowledged before this moment have been passed to `onRows`:
    /// the time at which the newest answered question was sent; the epoch if none was answered.
    Instant coveredUntil() const
    {
        return this->covered;
    }

    /// All changes up to this version of the store have been passed to `onRows`.
    std::int64_t readVersion() const
    {
        return this->passedOn;
    }

    /// Rows that the feed has brought since the start.
    std::size_t feedRows() const
    {
        return this->fedRows;
    }

    /// Reads the whole table now; false if the store doesn't answer. The read of a table of one
    /// part shares the link with others as a call of the feed does.
    Awaitable<bool> refresh()
    {
        co_await this->awaitArrivals();
        const auto question = std::make_shared<Question>();
        const QuestionGuard guard(*this, question);
        const auto observed =
            this->options.parts.size() == 1 ? question->abort : std::shared_ptr<http::Abort>();
        std::vector<store::PartRow> all;
        std::int64_t version = store::absent;
        const auto askedAt = bootNow();
        const auto readPart = [&](std::size_t index) -> Awaitable<bool> {
            const store::PartRange range{this->options.table, this->options.parts[index], "", ""};
            auto page = co_await this->store.scan(range, observed);
            if (!page.ok())
                co_return false;
            if (version == store::absent || page->version < version)
                version = page->version;
            std::move(page->rows.begin(), page->rows.end(), std::back_inserter(all));
            co_return true;
        };
        const bool isRead = co_await allSucceed(this->options.parts.size(), readPart);
        if (!isRead)
            co_return false;
        // A feed that is already past this snapshot must not go back to the snapshot's version.
        if (this->version == store::absent)
            this->version = version;
        this->passedOn = std::max(this->passedOn, version);
        if (!this->stopped)
            this->onRows(all, true);
        this->cover(askedAt);
        co_return true;
    }

    /// Asks for all changes that the store has acknowledged by now. Another read may be under way;
    /// once one of them receives many bytes, the others are given up.
    Awaitable<ReadOutcome> readChanges()
    {
        if (this->version != store::absent) {
            const auto outcome = co_await this->ask(std::chrono::milliseconds(0));
            if (this->version != store::absent)
                co_return outcome;
        }
        if (this->isScanning) {
            co_await this->awaitRead(bootNow() + RowArrival::maxSilence);
            co_return ReadOutcome::Superseded;
        }
        const bool isRead = co_await this->refresh();
        co_return isRead ? ReadOutcome::Read : ReadOutcome::Failed;
    }

    /// False until the table has been scanned once, and after the feed has lost its history.
    bool hasVersion() const
    {
        return this->version != store::absent;
    }

    /// How long a call of the feed may stay without an answer until the table is scanned beside it.
    /// The scan of a large table would take the link from the answer.
    Duration scanDelay() const
    {
        return this->hasReadMuch ? std::chrono::milliseconds(400) : std::chrono::milliseconds(150);
    }

    /// Changes whose bytes are arriving; null if there are none.
    const RowArrival *arrival(Instant now) const
    {
        return this->arriving && this->isNewerArriving(now) ? &*this->arriving->arrival : nullptr;
    }

    /// The store has announced changes that are not known here yet, and bytes of them have arrived
    /// lately.
    bool isNewerArriving(Instant now) const
    {
        return now < this->newerExpectedUntil;
    }

    /// Suspends the coroutine until a read has ended, at most until this moment.
    Awaitable<void> awaitRead(Instant until)
    {
        const auto executor = co_await http::asio::this_coro::executor;
        const auto wake = std::make_shared<Wake>(executor);
        this->waiting.push_back(wake);
        co_await wake->wait(until - bootNow());
        std::erase(this->waiting, wake);
    }

    /// Resumes the coroutines that wait for the end of a read.
    void wakeReaders()
    {
        for (const auto &wake : std::exchange(this->waiting, {}))
            wake->notify();
    }

    /// Retries `refresh` until the store answers; false if `stop` was called first.
    Awaitable<bool> refreshUntilRead()
    {
        while (!this->stopped) {
            const bool isRead = co_await this->refresh();
            if (isRead)
                break;
            co_await pause(retryPause);
        }
        co_return !this->stopped;
    }

private:
    static constexpr auto retryPause = std::chrono::milliseconds(150);

    /// A read without a whole answer yet.
    struct Question
    {
        Instant askedAt = bootNow();
        std::shared_ptr<http::Abort> abort = std::make_shared<http::Abort>();
        std::optional<RowArrival> arrival; // once many bytes of rows are on their way
    };

    Awaitable<void> run()
    {
        while (!this->stopped) {
            if (this->version == store::absent) {
                this->isScanning = true;
                const bool isRead = co_await this->refresh();
                this->isScanning = false;
                if (!isRead && this->version == store::absent) {
                    this->logReachability(false);
                    co_await pause(retryPause);
                }
                continue;
            }
            // What is known after a slow answer is old already.
            const bool wasSlow = std::exchange(this->hasReadSlowly, false);
            const auto wait = wasSlow ? std::chrono::milliseconds(0) : this->options.wait;
            const auto outcome = co_await this->ask(wait);
            if (this->stopped)
                co_return;
            if (outcome == ReadOutcome::Superseded)
                continue;
            this->logReachability(outcome == ReadOutcome::Read);
            if (outcome == ReadOutcome::Failed)
                co_await pause(retryPause);
            else if (this->options.pause.count() > 0 && this->version != store::absent)
                co_await pause(this->options.pause);
        }
    }

    // A second answer would carry the arriving rows again.
    Awaitable<void> awaitArrivals()
    {
        for (auto now = bootNow(); const auto *current = this->arrival(now); now = bootNow())
            co_await this->awaitRead(current->silentAfter());
    }

    Awaitable<ReadOutcome> ask(std::chrono::milliseconds wait)
    {
        co_await this->awaitArrivals();
        const auto question = std::make_shared<Question>();
        const QuestionGuard guard(*this, question);
        const auto page =
            co_await this->store.feed(this->options.table, this->version, wait, question->abort);
        if (this->stopped)
            co_return ReadOutcome::Failed;
        if (!page.ok())
            co_return question->abort->aborted() ? ReadOutcome::Superseded : ReadOutcome::Failed;
        if (page->historyLost) {
            LOG(WARNING) << "event=history-lost table=" << this->options.table
                         << " version=" << this->version;
            this->version = store::absent;
            co_return ReadOutcome::Read;
        }
        // Another read may have brought these changes and later ones.
        const bool isNew = page->version > this->version;
        this->version = std::max(this->version, page->version);
        this->passedOn = std::max(this->passedOn, this->version);
        if (isNew && !page->rows.empty()) {
            this->fedRows += page->rows.size();
            this->onRows(page->rows, false);
        }
        this->hasReadSlowly = question->arrival.has_value();
        this->cover(question->askedAt);
        co_return ReadOutcome::Read;
    }

    /// Keeps a question among the open ones, follows its answer, and wakes readers at its end.
    class QuestionGuard
    {
    public:
        QuestionGuard(TableFollower &follower, std::shared_ptr<Question> question)
            : follower(follower)
            , question(std::move(question))
        {
            this->follower.questions.push_back(this->question);
            this->question->abort->onProgress =
                [&follower, asked = this->question.get()](const auto &progress) {
                    follower.noteProgress(*asked, progress);
                };
        }

        QuestionGuard(const QuestionGuard &) = delete;
        QuestionGuard &operator=(const QuestionGuard &) = delete;

        ~QuestionGuard()
        {
            std::erase(this->follower.questions, this->question);
            if (this->follower.arriving == this->question)
                this->follower.arriving = nullptr;
            this->follower.wakeReaders();
        }

    private:
        TableFollower &follower;
        std::shared_ptr<Question> question;
    };

    void noteProgress(Question &question, const http::AnswerProgress &progress)
    {
        if (!RowArrival::isLarge(progress))
            return;
        const auto now = bootNow();
        if (question.arrival)
            question.arrival->update(progress, now);
        else
            question.arrival.emplace(progress, now);
        this->newerExpectedUntil = question.arrival->silentAfter();
        this->hasReadMuch = true;
        for (const auto &other : this->questions) {
            if (other.get() == &question)
                this->arriving = other;
            else
                other->abort->abort();
        }
    }

    void cover(Instant moment)
    {
        this->covered = std::max(this->covered, moment);
        this->newerExpectedUntil = {};
        this->wakeReaders();
    }

    void logReachability(bool reached)
    {
        if (reached == this->isStoreReachable)
            return;
        this->isStoreReachable = reached;
        LOG(WARNING) << "event=store-" << (reached ? "regained" : "lost")
                     << " table=" << this->options.table << " version=" << this->version
                     << " age-ms=" << (bootNow() - this->covered) / std::chrono::milliseconds(1);
    }

    Store &store;
    FollowOptions options;
    OnRows onRows;
    std::int64_t version = store::absent; // where the feed goes on; absent: scan the table first
    std::int64_t passedOn = store::absent; // never decreases, also when the feed's history is lost
    Instant covered{}; // never decreases
    std::size_t fedRows = 0;
    std::vector<std::shared_ptr<Question>> questions; // open ones
    std::shared_ptr<Question> arriving; // the one whose rows are arriving; null if none are
    Instant newerExpectedUntil{}; // see `isNewerArriving`
    std::vector<std::shared_ptr<Wake>> waiting; // for the end of a read
    bool hasReadMuch = false; // an answer has brought many bytes
    bool hasReadSlowly = false; // the last answer of the feed did
    bool isScanning = false; // the loop reads the whole table
    bool isStoreReachable = true;
    bool stopped = false;
};

} // namespace sassafrasferry::coordination
