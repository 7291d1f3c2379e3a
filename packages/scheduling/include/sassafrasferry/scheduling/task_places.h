// Finds the VMs of a pool that have to stay and take work so that each waiting task has a place.
//
// Load pattern: tasks that are large in memory or accelerators wait beside long-running ones. By
// the sum of their cores a few VMs are enough, and the others would be held back or moved away,
// although only they have what such a task needs on one VM.
#pragma once

#include <sassafrasferry/scheduling/worker.h>

#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace sassafrasferry::scheduling {

/// What a waiting task needs of a VM.
struct PlaceNeed
{
    Resources task;
    std::size_t together = 1; ///< tasks that start only together
    std::string label; ///< that the VM must have; empty: none
    std::size_t perVmLimit = 0; ///< maximum of these tasks on one VM; 0: no limit
    bool isJobIdle = false; ///< nothing of its job runs

    auto key() const
    {
        return std::tie(this->task.cpu, this->task.memory, this->task.accelerators, this->together,
                        this->label, this->perVmLimit, this->isJobIdle);
    }
};

/// A VM as a place for tasks.
struct Place
{
    std::string vm;
    Resources capacity;
    Resources room; ///< free now
    Resources roomAfterEnds; ///< free once its tasks have ended, but for long-running ones
    std::vector<std::string> labels;
    bool takesWork = true; ///< but for a cordon; otherwise it can't be chosen at present
    bool canLeave = false; ///< no long-running task keeps it in its pool
    bool cordoned = false;
};

/// A need that the VMs of the pool can't meet, not even the silent ones.
struct UnplacedNeed
{
    PlaceNeed need;
    std::size_t lacking = 1; ///< tasks without a place, of those that start only together
};

struct PlaceChoice
{
    std::set<std::string> kept; ///< VMs that have to stay and take work
    std::vector<UnplacedNeed> unplaced;
};

/// Sorts the needs, the largest first, and removes repetitions.
void sortNeeds(std::vector<PlaceNeed> &needs);

/// Number of tasks of the need that a VM with this room and these labels takes.
std::size_t tasksThatFit(const PlaceNeed &need, const Resources &room,
                         const std::vector<std::string> &labels);

/// Chooses places for sorted needs. VMs that stay in any case come first, then those that take work
/// already, then small ones. A place may serve several needs, one after another.
///
/// Tasks wait for others to end, but not while the pool is less than half in use and nothing of
/// their job runs: then they need room that is free now.
PlaceChoice choosePlaces(const std::vector<PlaceNeed> &needs, std::vector<Place> places);

} // namespace sassafrasferry::scheduling
