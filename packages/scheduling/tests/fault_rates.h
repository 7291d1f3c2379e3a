// Fault rates and times of a `JobSimulation`.
#pragma once

#include <sassafrasferry/policy/time.h>

namespace sassafrasferry::scheduling::tests {

using policy::Duration;
using namespace std::chrono_literals;

/// Probabilities of faults: per second for a worker or the leader, otherwise per call or run.
struct FaultRates
{
    double lostAnswer = 0; ///< the answer to an order or a hold is lost
    double lateOrder = 0; ///< a start or stop is executed 2 to 12 s late and is not answered
    double lateHold = 0; ///< a hold is executed 2 to 12 s late and is not answered
    /// A late call is executed by whichever incarnation of the worker is there then, not only by
    /// the one that it was sent to.
    bool lateReachesNext = false;
    double crash = 0; ///< a worker dies and is restarted with the same id
    /// A worker is down for 0.6 s, restarts with the same id, and is cut off for 9 s within 2 s
    /// after that. Calls that are sent while it is down reach its next incarnation.
    double restartAndCut = 0;
    /// A worker answers no holds any more, restarts with the same id within 0.5 s, and is cut off
    /// for 6 to 25 s within 1 s after that, before its entry names the new incarnation. Starts and
    /// stops are answered until the cut.
    double unnoticedRestart = 0;
    double permanentLoss = 0; ///< a worker disappears for good without notice
    double partition = 0; ///< no call reaches a worker for 1 to 9 s, and its tasks keep running
    /// Calls of some leaders don't reach a worker for 1 to 9 s, those of the others do.
    double pathLoss = 0;
    double leaderLoss = 0; ///< the leader dies
    double storeLoss = 0; ///< the leader loses the store, and keeps sending orders for seconds
    double failure = 0; ///< a run fails
    /// An operator changes the cap of the customer that half of the jobs belong to. At 0 there are
    /// no customers.
    double capChange = 0;
    double cancellation = 0; ///< a caller cancels one of the unfinished jobs
};

/// Times of the I/O around the scheduler, which the simulation performs in its place.
struct SimulationTimes
{
    /// How long a leader may send orders after it lost the store.
    Duration orderLimit = 6500ms;
    /// Until when leases last at most that a leader grants, after it lost the store.
    Duration leaseLimit = 7500ms;
    /// Between two confirmations that a leader leads.
    Duration confirmation = 400ms;
    /// A new leader waits for leases of its predecessor until these end by the lease limit, and not
    /// for the longest time that any leader's leases can last.
    bool waitsByConfirmation = false;
    /// A leader may not know of restarts within this time before it was last confirmed.
    Duration restartsMissed = 2s;
    Duration takeover = 1600ms; ///< until another leader starts
    Duration leaderNews = 500ms; ///< until all entry VMs know a new leader
    Duration holdInterval = 100ms; ///< between two holds at a worker, if `holdWait` is 0
    /// How long a worker waits for an end of a run before it answers a hold, after which the leader
    /// sends the next one.
    Duration holdWait = 0ms;
    Duration longestRun = 2500ms; ///< at a worker
    Duration holdTimeout = 1100ms; ///< in addition to `holdWait`; then a hold is unanswered
    Duration holdRetry = 100ms; ///< after an unanswered hold
    Duration firstHoldDelay = 200ms; ///< longest until a new leader calls a worker first
    Duration configurationDelay = 1s; ///< longest until a leader with the store knows a new cap
    /// A start may still follow a cap that was replaced this long ago.
    Duration capGrace = 3s;
    Duration writeDelay = 30ms; ///< until a row is in the store
    Duration calm = 60s; ///< without faults, in which all jobs have to end
};

} // namespace sassafrasferry::scheduling::tests
