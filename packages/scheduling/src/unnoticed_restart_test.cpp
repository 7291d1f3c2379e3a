// Workers that have restarted under their ids before their leader learns of it: how long tasks wait
// for the runs that the new incarnation may have.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

/// The reading that `Bench` reports for a worker which has not restarted.
std::int64_t clockAt(Instant now)
{
    return 1000 + (now - start) / 1ms;
}

/// Workers `w0` and `w1`, up for some time. A task is started at one of them, which then falls
/// silent.
struct SilentBench : Bench
{
    SilentBench()
        : Bench(2)
    {
        this->now += 20s;
        this->reportAll(2);
        this->add("j", {stepOf(1)});
        this->order = this->plan().starts.at(0);
        this->scheduler.leaseUntil(this->order.worker, this->now);
        this->scheduler.startSent(this->order, this->now);
        this->sentAt = this->now;
        this->other = this->order.worker == "w0" ? "w1" : "w0";
        this->now += 5ms;
    }

    void answer(const OrderReply &reply)
    {
        const auto origin =
            this->scheduler.readClock(this->order.worker, reply, this->sentAt, this->now);
        this->scheduler.startAnswered(this->order, reply.answer, this->now, origin);
    }

    /// How long after the start was sent the task starts at the other worker.
    Duration timeToNextStart()
    {
        constexpr Duration limit = 40s;
        while (this->now < this->sentAt + limit) {
            this->now += 100ms;
            this->scheduler.setLeadConfirmed(this->now);
            this->report(this->other);
            if (!this->plan().starts.empty())
                return this->now - this->sentAt;
        }
        return limit;
    }

    StartOrder order;
    Instant sentAt{};
    std::string other;
};

} // namespace

// Guards against a second run of a task: the incarnation that has the first one takes a lease by
// its former clock, which lasts for longer than the leader granted.
TEST_CASE("the lease of a run is known only if the known incarnation has the run")
{
    const SchedulerTimes times;
    const auto granted = times.workerLease + times.workerLease / 50;
    const auto longest = times.lateCallLimit + times.maxLease + times.maxLease / 50;
    struct Case
    {
        const char *name;
        OrderAnswer answer;
        std::optional<std::int64_t> clock; ///< in the answer
        bool isListed; ///< in a report after it
        Duration wait; ///< at least
    };
    const auto row = GENERATE_COPY(
        Case{"accepted by the known incarnation", OrderAnswer::Accepted, clockAt(start + 20s),
             false, granted},
        Case{"accepted by a later incarnation", OrderAnswer::Accepted, 40, false, longest},
        Case{"accepted by either", OrderAnswer::Accepted, clockAt(start + 20s) + 500, false,
             longest},
        Case{"accepted without a clock", OrderAnswer::Accepted, std::nullopt, false, longest},
        Case{"listed after an answer without a clock", OrderAnswer::Accepted, std::nullopt, true,
             granted},
        Case{"not answered", OrderAnswer::NoAnswer, std::nullopt, false, longest});
    CAPTURE(row.name);
    SilentBench bench;
    bench.answer({row.answer, row.clock});
    if (row.isListed)
        bench.report(bench.order.worker, {{bench.order.task, bench.order.run, "", 100, 0}});
    const auto waited = bench.timeToNextStart();
    CHECK(waited >= row.wait);
    CHECK(waited <= row.wait + 1s);
}

// Guards against runs that are lost to their callers for longer than need be: those of the former
// incarnation ended with it.
TEST_CASE("a clock that went back ends the former incarnation, but only in the worker's own answer")
{
    struct Case
    {
        const char *name;
        OrderAnswer answer;
        std::int64_t clock;
        bool hasEnded;
    };
    const auto row =
        GENERATE(Case{"accepted, clock went on", OrderAnswer::Accepted, 21005, false},
                 Case{"accepted, clock went back", OrderAnswer::Accepted, 10, true},
                 Case{"no room, clock went back", OrderAnswer::NoRoom, 10, true},
                 Case{"a stranger refuses", OrderAnswer::Fenced, 10, false},
                 Case{"another worker answers", OrderAnswer::OtherIncarnation, 10, false});
    CAPTURE(row.name);
    SilentBench bench;
    bench.scheduler.readClock(bench.order.worker, {row.answer, row.clock}, bench.sentAt, bench.now);
    CHECK(bench.scheduler.findWorker(bench.order.worker)->hasReported != row.hasEnded);
}

// Guards against a second run of a task after a takeover, as the successor takes leases for over
// that a restarted worker holds on to, and against tasks that wait for workers which are just lost.
TEST_CASE("a successor is told of workers whose clock has gone back, and of no others")
{
    struct Case
    {
        const char *name;
        OrderAnswer answer;
        std::optional<std::int64_t> clock;
        bool isTold;
    };
    const auto row =
        GENERATE(Case{"the known incarnation has the run", OrderAnswer::Accepted, 21005, false},
                 Case{"a later one has it", OrderAnswer::Accepted, 10, true},
                 Case{"the start has no answer", OrderAnswer::NoAnswer, std::nullopt, false});
    CAPTURE(row.name);
    SilentBench bench;
    bench.answer({row.answer, row.clock});
    const auto told = bench.scheduler.restartedWorkers(bench.now);
    REQUIRE(told.size() == (row.isTold ? 1 : 0));
    const auto longest = SchedulerTimes{}.maxLease;
    if (row.isTold) {
        CHECK(told.front().id == bench.order.worker);
        CHECK(told.front().until >= bench.sentAt + longest + longest / 50);
    }
}

// Guards against ends that are acknowledged unread, and against a worker that gets no work: a
// report of the former incarnation arrives after the clock has shown that it ended, or the next
// one's report ends that one as well.
TEST_CASE("after its clock has gone back a worker counts once its next incarnation reports")
{
    struct Case
    {
        const char *name;
        std::int64_t born; ///< of the incarnation that reports
        Duration askedAfter; ///< since the answer that showed the clock
        bool counts;
    };
    const auto row = GENERATE(Case{"the former one, asked before", 1, -10ms, false},
                              Case{"the next one, asked before", 2, -10ms, true},
                              Case{"the next one", 2, 10ms, true},
                              Case{"the known one, asked after: it was never away", 1, 10ms, true});
    CAPTURE(row.name);
    SilentBench bench;
    bench.answer({OrderAnswer::Accepted, 10});
    const auto seenAt = bench.now;
    const auto &id = bench.order.worker;
    bench.now += 20ms;
    bench.scheduler.report({id, row.born, 40, {}, {}}, seenAt + row.askedAfter, bench.now);
    CHECK(bench.scheduler.findWorker(id)->hasReported == row.counts);
    const auto notes = bench.scheduler.takeNotes();
    CHECK(std::count_if(notes.begin(), notes.end(),
                        [](const DecisionNote &note) { return note.event == "worker-ended"; })
          == 1);
}

// Guards against a second run of a task: an incarnation that nobody has heard carries out a start
// that was settled with the one before.
TEST_CASE("a settled start counts until its worker has answered, or its longest lease has ended")
{
    struct Case
    {
        const char *name;
        Duration silentAfter; ///< since the start was sent
        bool isForgotten; ///< by then
    };
    const auto row = GENERATE(Case{"silent at once", 1s, false},
                              Case{"silent before the start is too old", 11s, false},
                              Case{"heard after the start is too old", 13s, true});
    CAPTURE(row.name);
    const SchedulerTimes times;
    const auto longest = times.lateCallLimit + times.maxLease + times.maxLease / 50;
    SilentBench bench;
    bench.answer({OrderAnswer::NoAnswer, std::nullopt});
    bench.now += 1s;
    bench.report(bench.order.worker);
    bench.scheduler.stopAnswered({bench.order.worker, bench.order.task, bench.order.run, ""},
                                 OrderAnswer::Accepted, bench.now);
    bench.now = bench.sentAt + std::max<Duration>(row.silentAfter, 1500ms);
    bench.report(bench.order.worker);
    bench.scheduler.evacuate(bench.order.worker, true, bench.now);
    const auto waited = bench.timeToNextStart();
    if (row.isForgotten) {
        CHECK(waited <= row.silentAfter + 200ms);
    } else {
        CHECK(waited >= longest);
        CHECK(waited <= longest + 1s);
    }
}
