// The scheduling leader's state of a worker: its capacity, its runs, and how long these may
// continue without another lease from the leader.
#pragma once

#include <sassafrasferry/jobs/job.h>
#include <sassafrasferry/model/names.h>
#include <sassafrasferry/model/settings.h>
#include <sassafrasferry/scheduling/call_fence.h>
#include <sassafrasferry/scheduling/incarnation_clock.h>
#include <sassafrasferry/scheduling/late_calls.h>

#include <array>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace sassafrasferry::scheduling {

using jobs::Duration;
using jobs::Instant;
using jobs::Resources;
using jobs::TaskId;
using jobs::UnixMilliseconds;

/// A worker's own description, from its entry in the list of workers.
struct WorkerListing
{
    std::string id;
    std::int64_t born = 0; ///< start of this incarnation, Unix milliseconds
    model::Endpoint address;
    std::string vm; ///< the VM whose incarnation this worker is
    std::string service;
    std::string zone;
    std::string kind;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool draining = false;
};

/// A run that a worker reports as running.
struct ListedRun
{
    TaskId task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0; ///< of its full share
    /// Tail latency in milliseconds of a task that serves requests; otherwise millicores in use.
    std::int64_t load = 0;
};

/// The end of a run. A worker reports it until it is acknowledged.
struct ListedEnd
{
    std::int64_t number = 0; ///< counts from 1 in each incarnation of the worker
    TaskId task;
    std::int64_t run = 0;
    jobs::RunEnd end = jobs::RunEnd::Done;
    std::string checkpoint;
};

/// A worker's answer to a hold, the call that renews its lease.
struct WorkerReport
{
    std::string worker;
    std::int64_t born = 0; ///< incarnation; 0 if the answer did not name it
    std::int64_t clock = 0; ///< reading of the worker's clock, milliseconds
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    std::int64_t fence = 0; ///< token of the call that it answers
};

/// The evidence that an incarnation of a worker has ended.
enum class EndEvidence {
    Entry, ///< its entry has a later start time
    NextWorker, ///< a worker of its VM that started later has answered
    Report, ///< a report has a later start time
    Clock, ///< the clock in an answer went back
    OtherIncarnation, ///< another worker answered at its address
    VmOrder, ///< an order from this leader to its VM was accepted
    VmList, ///< the platform's list shows that it has left its VM or pool
};

constexpr auto enumNames(EndEvidence)
{
    return std::array{
        model::EnumName{EndEvidence::Entry, "entry"},
        model::EnumName{EndEvidence::NextWorker, "next-worker"},
        model::EnumName{EndEvidence::Report, "report"},
        model::EnumName{EndEvidence::Clock, "clock"},
        model::EnumName{EndEvidence::OtherIncarnation, "other-incarnation"},
        model::EnumName{EndEvidence::VmOrder, "vm-order"},
        model::EnumName{EndEvidence::VmList, "vm-list"},
    };
}

/// A worker that has restarted under its id. Calls meant for its former incarnation may have
/// reached the present one, and a lease by the former clock lasts for as long as a worker accepts.
struct RestartedWorker
{
    std::string id;
    Instant until{}; ///< when such a lease has ended
};

/// The current incarnation of a VM according to the platform.
struct VmIncarnation
{
    std::string vm;
    std::string pool; ///< current pool, or the target pool during a move
    std::string worker; ///< id of the incarnation; empty if there is none
    bool isUp = true; ///< neither moving nor under maintenance
};

/// The leader's view of a worker.
struct Worker
{
    WorkerListing listing;
    bool listed = false; ///< has an entry in the list of workers
    bool hasEnded = false; ///< this incarnation has ended; no calls are sent to it any more
    bool hasReported = false; ///< has reported to this leader in its current incarnation
    /// A report has named the start time of its current incarnation. Until then it is known from
    /// its entry alone, which may be another writer's.
    bool isIdentified = false;
    /// When an answer showed by its clock that the incarnation in `listing` has ended. Zero: none
    /// has, or the next incarnation is known by its start time.
    Instant restartSeenAt{};
    Instant listedAt{}; ///< when the entry of its current incarnation was first read
    Instant answeredCallAt{}; ///< when the last hold that it answered was sent
    /// Its last report lists as many ends as fit, so that it may hold further ones.
    bool canHaveUnlistedEnds = false;
    bool evacuating = false; ///< gets no new tasks: its VM will be moved or maintained
    bool cordoned = false; ///< gets no new tasks, so that its VM drains and can be moved
    /// A maintenance wave waits for its VM, so lasting tasks placed here would have to move again.
    bool hasPendingMaintenance = false;
    Instant lastAnswer{}; ///< time of its last answer to a hold
    Instant backOffUntil{}; ///< gets no starts until then, after refusals or failures
    Instant fullUntil{}; ///< gets no starts until then, after a refusal for lack of room
    Instant expiredAt{}; ///< when it last refused a start that arrived too late
    double failureRate = 0; ///< exponentially weighted share of failures among its recent ends
    std::int64_t clock = 0; ///< last reported reading of its clock, milliseconds
    Instant clockAskedAt{}; ///< when the call was sent that this reading answers
    Instant clockReceivedAt{}; ///< time at which that reading arrived, by this leader's clock
    /// Until when it may have unreported runs or ends, of starts by an earlier leader or of a start
    /// that was sent to an earlier incarnation.
    Instant inheritedUntil{};
    /// Until when the current incarnation may run on a lease that was computed from the clock of
    /// the previous incarnation.
    Instant formerLeaseUntil{};
    CallFence fence; ///< of the calls to it
    LateCalls lateCalls; ///< calls to it that may still be carried out
    Instant lastGrantAt{}; ///< when the last call that grants a lease was sent
    std::int64_t latestLeaseEnd = 0; ///< latest lease end sent, by the worker's clock, milliseconds
    Resources used; ///< sum of `runs`
    std::map<RunKey, Resources> runs; ///< each occupies room until its end is reported
    /// Those of `runs` that no answer of the known incarnation has shown. A later incarnation may
    /// have them, on a lease by the known one's clock, which lasts for longer there.
    std::set<RunKey> unconfirmedRuns;
    std::int64_t endsSeen = 0; ///< highest number of an end that was processed
    std::int64_t endsRecorded = 0; ///< highest number of an end whose effect is in the store

    /// An applied end whose effect is not in the store yet.
    struct PendingEnd
    {
        std::int64_t number = 0;
        std::string job;
        std::uint64_t change = 0; ///< change counter of the job that the store must reach
        Instant heldUntil{}; ///< if the job is unknown: not acknowledged before then
    };
    std::deque<PendingEnd> pendingEnds;
    /// Job of the first pending end; empty if there is none. The scheduler finds the worker by it
    /// when a row of the job has been written.
    std::string awaitedJob;

    Resources room() const;
    /// The last reading of the clock of its current incarnation.
    ClockReading lastReading() const;
    /// Reserves room for a run until its end is reported.
    void reserve(const RunKey &run, const Resources &need);
    /// Likewise, for a run whose start no answer has shown yet.
    void reserveUnconfirmed(const RunKey &run, const Resources &need);
    /// Frees the room of a run.
    void release(const RunKey &run);
    /// True if it may run tasks, or hold ends of runs, that this leader does not know of: it has
    /// not reported all in its current incarnation, and earlier orders may be in effect until
    /// `inheritedUntil`.
    bool canHaveUnreportedRuns(Instant leasesKnownUntil) const;
    /// True if it is known to have no runs and all its ends are in the store, so that its VM can be
    /// moved or maintained. Before that, a new leader could learn of the ends only from the worker.
    bool isEmpty(Instant leasesKnownUntil) const;
    /// True if it answered a hold less than `within` ago.
    bool hasAnsweredWithin(Instant now, Duration within) const;
};

} // namespace sassafrasferry::scheduling
