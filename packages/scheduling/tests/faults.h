// The faults and times of a world of workers and leaders.
#pragma once

#include <sassafrasferry/policy/time.h>

namespace sassafrasferry::scheduling::tests {

using policy::Duration;
using namespace std::chrono_literals;

/// Which faults a world draws, as chances a second.
struct Faults
{
    double lostAnswer = 0; ///< of each order and hold
    double lateOrder = 0; ///< of each start and stop: carried out 2 to 12 s later, unanswered
    double crash = 0; ///< of each worker: it dies and is restarted under its id
    double dark = 0; ///< of each worker: it is gone for good, in silence
    double cut = 0; ///< of each worker: nobody reaches it for some seconds, and it runs on
    double leaderLoss = 0; ///< the leader dies
    double storeCut = 0; ///< the leader loses the store, and goes on ordering for a while
    double failure = 0; ///< of each run
};

/// The times a world shares with what does the I/O.
struct WorldTimes
{
    Duration orderLimit = 6500ms; ///< a leader orders that long without the store
    Duration takeover = 1600ms; ///< until another leads
    Duration hold = 100ms; ///< between two holds of a worker
    Duration record = 30ms; ///< until a row is in the store
};

} // namespace sassafrasferry::scheduling::tests
