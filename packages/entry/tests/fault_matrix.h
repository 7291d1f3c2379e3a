// The cells of the fault matrix and one run of them: a request that is not idempotent, faults at
// named steps, then the faults healed and the key sent again until its outcome is known.
#pragma once

#include "fault_world.h"

#include <iostream>

namespace sassafrasferry::entry {

using namespace std::chrono_literals;
using model::Outcome;

enum class Fault {
    None,
    EntryKilled,
    EntryFrozen, // for ten seconds, while the caller sends again through another entry VM
    EntryCutOff, // the others take it for gone while it goes on; the caller sends again
    CallerResends, // through another entry VM, while the first is at it
    CallerGone,
    StoreDown,
    StoreAnswerLost,
    StoreCallLost,
    StoreReadFails,
    ObjectsDown,
    WorkerDown,
    WorkerRestarts, // and forgets what it ran
    WorkerBreaksAnswer,
    WorkerSilent,
    WorkerFails,
    WorkerRefuses,
    WorkerLeaving,
};

constexpr auto enumNames(Fault)
{
    using model::EnumName;
    return std::array{EnumName{Fault::None, "none"},
                      EnumName{Fault::EntryKilled, "entry killed"},
                      EnumName{Fault::EntryFrozen, "entry frozen"},
                      EnumName{Fault::EntryCutOff, "entry cut off"},
                      EnumName{Fault::CallerResends, "caller resends"},
                      EnumName{Fault::CallerGone, "caller gone"},
                      EnumName{Fault::StoreDown, "store down"},
                      EnumName{Fault::StoreAnswerLost, "store answer lost"},
                      EnumName{Fault::StoreCallLost, "store call lost"},
                      EnumName{Fault::StoreReadFails, "store read fails"},
                      EnumName{Fault::ObjectsDown, "objects down"},
                      EnumName{Fault::WorkerDown, "worker down"},
                      EnumName{Fault::WorkerRestarts, "worker restarts"},
                      EnumName{Fault::WorkerBreaksAnswer, "worker breaks answer"},
                      EnumName{Fault::WorkerSilent, "worker silent"},
                      EnumName{Fault::WorkerFails, "worker fails"},
                      EnumName{Fault::WorkerRefuses, "worker refuses"},
                      EnumName{Fault::WorkerLeaving, "worker leaving"}};
}

struct Cell
{
    Fault fault = Fault::None;
    RequestStep step = RequestStep::Received;
};

inline std::string toString(const Cell &cell)
{
    return std::string(model::nameOf(cell.fault)) + " at " + std::string(model::nameOf(cell.step));
}

// One run of the matrix.
class Run
{
public:
    Run(Sabotage sabotage, std::size_t answerBytes)
    {
        this->world.sabotage = sabotage;
        this->world.answerBytes = answerBytes;
    }

    // The first violated promise, or an empty string.
    std::string violation(const std::vector<Cell> &cells)
    {
        this->first.hook = [&](RequestStep step) {
            this->causeFaults(cells, step);
        };
        const auto request = keyedRequest(this->world, 10s);
        const auto answer = serveKeyed(this->first, request, this->cancellation);
        this->note(answer);
        if (answer && this->first.slotsHeld != 0)
            this->fail("a slot was not given back");
        this->heal();
        if (answer)
            this->finishLeftOvers();
        this->resendUntilKnown();
        return this->failure;
    }

    const std::set<RequestStep> &seen() const
    {
        return this->first.seen;
    }

private:
    void causeFaults(const std::vector<Cell> &cells, RequestStep step)
    {
        for (std::size_t i = 0; i < cells.size(); ++i) {
            if (cells[i].step == step && this->caused.insert(i).second)
                this->cause(cells[i].fault);
        }
    }

    void cause(Fault fault)
    {
        auto &worker = this->world.workers;
        const auto onAll = [&](auto change) {
            for (auto &[name, state] : worker)
                change(state);
        };
        switch (fault) {
        case Fault::None:
            break;
        case Fault::EntryKilled:
            this->world.silentEntries.insert("e1");
            throw Killed{};
        case Fault::EntryFrozen:
            this->world.silentEntries.insert("e1");
            this->world.pass(3s);
            this->resendOnce();
            this->world.pass(7s);
            break;
        case Fault::EntryCutOff:
            this->world.silentEntries.insert("e1");
            this->resendOnce();
            break;
        case Fault::CallerResends:
            this->resendOnce();
            break;
        case Fault::CallerGone:
            this->cancellation.request();
            break;
        case Fault::StoreDown:
            this->world.tables.faults.down = true;
            break;
        case Fault::StoreAnswerLost:
            this->world.tables.faults.lostAnswers = 1;
            break;
        case Fault::StoreCallLost:
            this->world.tables.faults.lostCalls = 1;
            break;
        case Fault::StoreReadFails:
            this->world.tables.faults.failedReads = 1;
            break;
        case Fault::ObjectsDown:
            this->world.objectsDown = true;
            break;
        case Fault::WorkerDown:
            onAll([](FakeWorker &state) { state.isDown = true; });
            break;
        case Fault::WorkerRestarts:
            this->memoryLost = true;
            onAll([&](FakeWorker &state) {
                state.remembered.clear();
                state.startedAt = this->world.unixNow;
            });
            break;
        case Fault::WorkerBreaksAnswer:
            onAll([](FakeWorker &state) { state.breaksAnswers = true; });
            break;
        case Fault::WorkerSilent:
            onAll([](FakeWorker &state) { state.isSilent = true; });
            break;
        case Fault::WorkerFails:
            onAll([](FakeWorker &state) { state.fails = true; });
            break;
        case Fault::WorkerRefuses:
            onAll([](FakeWorker &state) { state.refuses = true; });
            break;
        case Fault::WorkerLeaving:
            onAll([](FakeWorker &state) { state.isLeaving = true; });
            break;
        }
    }

    void heal()
    {
        this->world.tables.faults = {};
        this->world.objectsDown = false;
        for (auto &[name, worker] : this->world.workers) {
            const auto remembered = worker.remembered;
            const auto startedAt = worker.startedAt;
            worker = {};
            worker.remembered = remembered;
            worker.startedAt = startedAt;
        }
    }

    void finishLeftOvers()
    {
        for (std::size_t i = 0; i < this->first.left.size(); ++i) {
            boost::asio::io_context context(1);
            fakes::run(context, finishLeftOver(this->first, this->first.left[i],
                                               this->first.leftWhat[i], 10));
        }
    }

    void resendOnce()
    {
        FakeEntry other(this->world, "e2");
        Cancellation never;
        const auto request = keyedRequest(this->world, 2s);
        ++this->concurrent;
        const auto answer = serveKeyed(other, request, never);
        this->note(answer);
        --this->concurrent;
    }

    void resendUntilKnown()
    {
        constexpr int mostResends = 6;
        // The first entry VM has ended its request; its process may live on or be gone.
        FakeEntry other(this->world, "e3");
        this->world.silentEntries.insert("e1");
        this->world.silentEntries.insert("e2");
        Cancellation never;
        for (int i = 0; i < mostResends; ++i) {
            const auto request = keyedRequest(this->world, 10s);
            const auto answer = serveKeyed(other, request, never);
            this->note(answer);
            if (answer->outcome == Outcome::Completed)
                return;
            this->world.pass(5s);
        }
        // What a worker ran and has forgotten stays unknown; everything else becomes known.
        if (!this->memoryLost)
            this->fail("the outcome stays unknown");
    }

    void note(const std::optional<CallerAnswer> &answer)
    {
        const auto starts = this->starts();
        if (starts > 1)
            this->fail("ran " + std::to_string(starts) + " times");
        // A caller who has gone is told nothing.
        if (!answer || answer->reason == AnswerReason::CallerGone)
            return;
        if (answer->outcome == Outcome::NotRun && starts > 0 && this->concurrent == 0)
            this->fail("told not run, and it ran");
        if (answer->outcome != Outcome::Completed)
            return;
        if (starts == 0)
            this->fail("told completed, and it never ran");
        if (this->body.empty())
            this->body = answer->body;
        if (answer->body != this->body || answer->body.size() < this->world.answerBytes)
            this->fail("two answers differ, or one is not whole");
    }

    int starts() const
    {
        int sum = 0;
        for (const auto &[key, count] : this->world.startsByKey)
            sum += count;
        return sum;
    }

    void fail(const std::string &what)
    {
        if (this->failure.empty())
            this->failure = what;
    }

    World world;
    FakeEntry first{this->world, "e1"};
    Cancellation cancellation;
    std::set<std::size_t> caused; // cells whose fault has been caused
    std::string body; // of the first completed answer
    std::string failure;
    bool memoryLost = false;
    int concurrent = 0; // resends under way inside another request
};

constexpr std::size_t small = 8;
constexpr std::size_t large = 20000; // goes through the object store

struct Tally
{
    std::size_t runs = 0;
    std::size_t violations = 0;
    std::string firstViolation;

    void add(const std::vector<Cell> &cells, const std::string &violation)
    {
        ++this->runs;
        if (violation.empty())
            return;
        ++this->violations;
        if (this->firstViolation.empty()) {
            for (const auto &cell : cells)
                this->firstViolation += toString(cell) + "; ";
            this->firstViolation += violation;
        }
    }
};

inline std::vector<Cell> allCells()
{
    std::vector<Cell> cells;
    for (const auto &fault : enumNames(Fault{})) {
        for (const auto &step : enumNames(RequestStep{}))
            cells.push_back({fault.value, step.value});
    }
    return cells;
}

inline Tally runSingles(Sabotage sabotage)
{
    Tally tally;
    for (const auto &cell : allCells()) {
        for (const auto bytes : {small, large})
            tally.add({cell}, Run(sabotage, bytes).violation({cell}));
    }
    return tally;
}

// Workers that restart, and an entry VM that dies right after: nobody remembers the run.
inline Tally runRestartsBeforeDeaths(Sabotage sabotage)
{
    Tally tally;
    for (const auto &step : enumNames(RequestStep{})) {
        const std::vector<Cell> cells{{Fault::WorkerRestarts, step.value},
                                      {Fault::EntryKilled, step.value}};
        tally.add(cells, Run(sabotage, small).violation(cells));
    }
    return tally;
}

} // namespace sassafrasferry::entry
