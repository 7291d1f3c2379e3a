// Fault matrix of requests that are not idempotent. A run injects faults at steps of a request,
// removes them, and resends the key until its outcome is known.
#pragma once

#include "fault_world.h"

#include <iostream>

namespace sassafrasferry::entry {

using namespace std::chrono_literals;
using model::Outcome;

enum class Fault {
    None,
    EntryKilled,
    EntryFrozen, // suspended for ten seconds while the caller resends through another entry VM
    EntryCutOff, // considered dead by the others but still running; the caller resends
    CallerResends, // through another entry VM while the first request is in progress
    CallerGone,
    StoreDown,
    StoreAnswerLost,
    StoreCallLost,
    StoreReadFails,
    ObjectsDown,
    WorkerDown,
    WorkerRestarts, // and loses the record of its runs
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

// One run of the matrix for given cells.
class Run
{
public:
    Run(Mutation mutation, std::size_t answerBytes)
    {
        this->world.mutation = mutation;
        this->world.answerBytes = answerBytes;
    }

    // Returns the first violated guarantee, or an empty string.
    std::string violation(const std::vector<Cell> &cells)
    {
        this->first.hook = [&](RequestStep step) {
            this->injectFaults(cells, step);
        };
        const auto request = keyedRequest(this->world, 10s);
        const auto answer = serveKeyed(this->first, request, this->cancellation);
        this->checkAnswer(answer);
        if (answer && this->first.slotsHeld != 0)
            this->fail("a slot was not released");
        this->removeFaults();
        if (answer)
            this->runFollowUps();
        this->resendUntilKnown();
        return this->failure;
    }

    const std::set<RequestStep> &reachedSteps() const
    {
        return this->first.reachedSteps;
    }

private:
    void injectFaults(const std::vector<Cell> &cells, RequestStep step)
    {
        for (std::size_t i = 0; i < cells.size(); ++i) {
            if (cells[i].step == step && this->injected.insert(i).second)
                this->inject(cells[i].fault);
        }
    }

    void inject(Fault fault)
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
            this->world.deadEntries.insert("e1");
            throw Killed{};
        case Fault::EntryFrozen:
            this->world.deadEntries.insert("e1");
            this->world.advance(3s);
            this->resendOnce();
            this->world.advance(7s);
            break;
        case Fault::EntryCutOff:
            this->world.deadEntries.insert("e1");
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

    void removeFaults()
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

    void runFollowUps()
    {
        for (std::size_t i = 0; i < this->first.followUpClaims.size(); ++i) {
            boost::asio::io_context context(1);
            fakes::run(context, runFollowUp(this->first, this->first.followUpClaims[i],
                                            this->first.scheduledFollowUps[i], 10));
        }
    }

    void resendOnce()
    {
        FakeEntry other(this->world, "e2");
        Cancellation never;
        const auto request = keyedRequest(this->world, 2s);
        ++this->concurrent;
        const auto answer = serveKeyed(other, request, never);
        this->checkAnswer(answer);
        --this->concurrent;
    }

    void resendUntilKnown()
    {
        constexpr int maxResends = 6;
        // The first entry VM has finished the request; its process may be alive or dead.
        FakeEntry other(this->world, "e3");
        this->world.deadEntries.insert("e1");
        this->world.deadEntries.insert("e2");
        Cancellation never;
        for (int i = 0; i < maxResends; ++i) {
            const auto request = keyedRequest(this->world, 10s);
            const auto answer = serveKeyed(other, request, never);
            this->checkAnswer(answer);
            if (answer->outcome == Outcome::Completed)
                return;
            this->world.advance(5s);
        }
        // Only the outcome of a run that a worker lost in a restart may stay unknown.
        if (!this->memoryLost)
            this->fail("the outcome is still unknown after all resends");
    }

    void checkAnswer(const std::optional<CallerAnswer> &answer)
    {
        const auto starts = this->starts();
        if (starts > 1)
            this->fail("ran " + std::to_string(starts) + " times");
        // A caller that has disconnected receives no answer.
        if (!answer || answer->reason == AnswerReason::CallerGone)
            return;
        if (answer->outcome == Outcome::NotRun && starts > 0 && this->concurrent == 0)
            this->fail("answered not run although the request ran");
        if (answer->outcome != Outcome::Completed)
            return;
        if (starts == 0)
            this->fail("answered completed although the request never ran");
        if (this->body.empty())
            this->body = answer->body;
        if (answer->body != this->body || answer->body.size() < this->world.answerBytes)
            this->fail("two answers differ or one is incomplete");
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
    std::set<std::size_t> injected; // indexes of the cells whose fault was injected
    std::string body; // body of the first completed answer
    std::string failure;
    bool memoryLost = false;
    int concurrent = 0; // resends in progress inside another request
};

constexpr std::size_t small = 8;
constexpr std::size_t large = 20000; // above the inline limit, so stored in the object store

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

inline Tally runSingleFaults(Mutation mutation)
{
    Tally tally;
    for (const auto &cell : allCells()) {
        for (const auto bytes : {small, large})
            tally.add({cell}, Run(mutation, bytes).violation({cell}));
    }
    return tally;
}

// Workers restart and the entry VM dies right after, so that no process has a record of the run.
inline Tally runRestartsBeforeDeaths(Mutation mutation)
{
    Tally tally;
    for (const auto &step : enumNames(RequestStep{})) {
        const std::vector<Cell> cells{{Fault::WorkerRestarts, step.value},
                                      {Fault::EntryKilled, step.value}};
        tally.add(cells, Run(mutation, small).violation(cells));
    }
    return tally;
}

} // namespace sassafrasferry::entry
