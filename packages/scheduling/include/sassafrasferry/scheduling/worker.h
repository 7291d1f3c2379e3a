// A worker as the scheduling leader knows it: what it offers, what it runs, and how long what runs
// there may live without another word from the leader.
#pragma once

#include <sassafrasferry/jobs/job.h>
#include <sassafrasferry/model/names.h>
#include <sassafrasferry/model/settings.h>

#include <array>
#include <deque>
#include <map>
#include <vector>

namespace sassafrasferry::scheduling {

using jobs::Duration;
using jobs::Instant;
using jobs::Resources;
using jobs::TaskId;
using jobs::UnixMilliseconds;

/// What a worker says of itself.
struct WorkerListing
{
    std::string id;
    std::int64_t born = 0; ///< Unix milliseconds of its start; another value is another incarnation
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

/// A run that a worker lists.
struct ListedRun
{
    TaskId task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0; ///< of its full share
    std::int64_t load = 0; ///< tail in milliseconds if it serves, else millicores in use
};

/// An end that a worker lists until it is acknowledged.
struct ListedEnd
{
    std::int64_t number = 0; ///< rises from 1 in each incarnation of the worker
    TaskId task;
    std::int64_t run = 0;
    jobs::RunEnd end = jobs::RunEnd::Done;
    std::string checkpoint;
};

/// A worker's answer to a hold.
struct WorkerReport
{
    std::string worker;
    std::int64_t born = 0; ///< 0: the answer did not say
    std::int64_t clock = 0; ///< the worker's clock, milliseconds
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

/// What shows that an incarnation of a worker has ended.
enum class EndEvidence {
    Entry, ///< its entry, or that of another worker of its VM, tells of a later start
    Report, ///< a report tells of a later start
    OtherIncarnation, ///< another worker answers at its address
    VmOrder, ///< an order of this leader about its VM was accepted
    VmList, ///< the platform's list of VMs names another worker
};

constexpr auto enumNames(EndEvidence)
{
    return std::array{
        model::EnumName{EndEvidence::Entry, "entry"},
        model::EnumName{EndEvidence::Report, "report"},
        model::EnumName{EndEvidence::OtherIncarnation, "other-incarnation"},
        model::EnumName{EndEvidence::VmOrder, "vm-order"},
        model::EnumName{EndEvidence::VmList, "vm-list"},
    };
}

/// Names a run on a worker.
struct RunKey
{
    TaskId task;
    std::int64_t number = 0;

    auto operator<=>(const RunKey &) const = default;
};

/// Which incarnation of a VM the platform says is the present one.
struct VmIncarnation
{
    std::string vm;
    std::string pool; ///< where it is, or is on its way to
    std::string worker; ///< the id of the incarnation; empty: none
    bool isUp = true; ///< neither on its way nor under maintenance
};

/// What the leader believes of a worker.
struct Worker
{
    WorkerListing listing;
    bool listed = true; ///< in the platform's list
    bool over = false; ///< this incarnation is known to have ended, and nothing need be asked of it
    bool surveyed = false; ///< has answered this leader, in this incarnation
    bool evacuating = false; ///< gets no more work, since it is to be moved or maintained
    bool cordoned = false; ///< gets no more work, so that its VM becomes empty and can be moved
    bool leavingSoon = false; ///< a wave waits for its VM: lasting tasks would have to move again
    Instant lastAnswer{}; ///< of a hold
    Instant backOffUntil{}; ///< it refused a start
    Instant fullUntil{}; ///< it had no room for what seemed to fit
    double failing = 0; ///< share of its last ends that were failures, the newest weighing most
    std::int64_t clock = 0; ///< of the worker, as last heard
    Instant clockAt{}; ///< when it was heard
    /// Until when it may run, unseen, what was ordered before this leader or in an earlier
    /// incarnation.
    Instant inheritedUntil{};
    /// Until when the present incarnation may run on a lease by the clock of the one before.
    Instant formerLeaseUntil{};
    std::int64_t lastUntil = 0; ///< the latest end of a lease that was sent, by its clock
    Resources used; ///< by the runs below
    std::map<RunKey, Resources> runs; ///< each takes room until its end is listed
    std::int64_t endsSeen = 0; ///< the highest number of an end that was taken in
    std::int64_t endsRecorded = 0; ///< the highest whose effect is in the store

    /// Ends taken in whose effect is not yet in the store, with the change of the job.
    struct PendingEnd
    {
        std::int64_t number = 0;
        std::string job;
        std::uint64_t change = 0;
        Instant heldUntil{}; ///< kept for the job until then, if the job is not known
    };
    std::deque<PendingEnd> pendingEnds;

    Resources room() const;
    /// It may run tasks that this leader has not heard of: it has not answered in its present
    /// incarnation, and what others ordered before may run until `inheritedUntil`.
    bool mayRunUnseen(Instant now) const;
    /// Known to run nothing, and all its ends are in the store: until then only the worker could
    /// tell them to a new leader. Its VM can be moved or maintained.
    bool isEmpty(Instant now) const;
    /// It has answered a hold within that time.
    bool isHeard(Instant now, Duration within) const;
};

} // namespace sassafrasferry::scheduling
