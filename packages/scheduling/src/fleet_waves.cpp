// Maintenance waves: decides which VMs are evacuated and maintained, and when.
#include "fleet_round.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

void FleetPlanner::addWave(const Wave &wave, std::set<std::string> done, Instant now)
{
    if (this->waveTable.count(wave.number) != 0)
        return;
    WaveProgress progress;
    progress.wave = wave;
    progress.seenAt = now;
    progress.done = std::move(done);
    progress.changes = 1;
    this->waveTable.emplace(wave.number, std::move(progress));
    this->notes.push_back({"wave", absl::StrCat(wave.number),
                           absl::StrCat("vms=", wave.vms.size(), " at-once=", wave.atOnce,
                                        " within-s=", policy::seconds(wave.within))});
}

const std::map<std::int64_t, WaveProgress> &FleetPlanner::waves() const
{
    return this->waveTable;
}

// A VM whose order is in progress or unanswered may already be under maintenance.
bool FleetPlanner::isMaintenanceOpen(const Entry &entry)
{
    const auto &order = entry.orderInProgress ? entry.orderInProgress : entry.unansweredOrder;
    return order && order->action == FleetAction::Maintain;
}

std::size_t FleetPlanner::countUnderMaintenance(const WaveProgress &progress) const
{
    std::size_t count = 0;
    for (const auto &name : progress.wave.vms) {
        const auto at = this->vms.find(name);
        if (at == this->vms.end())
            continue;
        const auto &entry = at->second;
        count += entry.vm.state == VmState::Maintenance || isMaintenanceOpen(entry);
    }
    return count;
}

void FleetPlanner::planWave(WaveProgress &progress, Round &round)
{
    if (progress.completed)
        return;
    const auto &wave = progress.wave;
    std::vector<Entry *> remaining;
    for (const auto &name : wave.vms) {
        const auto at = this->vms.find(name);
        if (at != this->vms.end() && at->second.listed && progress.done.count(name) == 0)
            remaining.push_back(&at->second);
    }
    if (remaining.empty() && !this->vms.empty()) {
        this->completeWave(progress);
        return;
    }
    // Empty VMs are maintained first, including those whose evacuation is complete. Evacuations of
    // further VMs start below.
    auto maintenanceCount = this->countUnderMaintenance(progress);
    std::size_t evacuatingCount = 0;
    std::map<std::string, std::size_t> evacuatingByPool;
    for (auto *entry : remaining) {
        const auto worker = round.workers.find(entry->vm.name);
        if (entry->evacuatingForWave != 0 && !entry->orderInProgress) {
            ++evacuatingCount;
            ++evacuatingByPool[entry->vm.pool];
        }
        const bool hasWorker = worker != round.workers.end();
        bool isEmpty = this->isEmpty(*entry, round);
        if (entry->evacuatingForWave != 0 && hasWorker) {
            const bool isOverdue =
                round.now - entry->evacuatingSince > this->options.evacuationGracePeriod;
            isEmpty = round.scheduler.evacuate(worker->second->listing.id, isOverdue, round.now);
        }
        if (!isEmpty || !this->canReceiveOrder(*entry, round) || maintenanceCount >= wave.atOnce
            || round.orders.size() >= this->options.maxOrdersPerRound)
            continue;
        ++maintenanceCount;
        entry->evacuatingForWave = wave.number;
        this->issueOrder(*entry, {FleetAction::Maintain, entry->vm.name, "", wave.number}, round);
    }
    const double timeLeft =
        std::max(policy::seconds(progress.seenAt - round.now)
                     + policy::seconds(wave.within) * this->options.waveTimeFraction,
                 policy::seconds(this->options.maintenanceTime));
    const auto pace = static_cast<std::size_t>(
        std::ceil(static_cast<double>(remaining.size())
                  * policy::seconds(this->options.maintenanceTime) / timeLeft));
    const auto maxCount = std::min(wave.atOnce, std::max<std::size_t>(pace, 1));
    std::sort(remaining.begin(), remaining.end(), [&](const Entry *a, const Entry *b) {
        const auto used = [&](const Entry *entry) {
            const auto at = round.workers.find(entry->vm.name);
            return at == round.workers.end() ? 0 : at->second->used.cpu;
        };
        return used(a) < used(b);
    });
    for (auto *entry : remaining) {
        if (evacuatingCount + maintenanceCount >= maxCount)
            break;
        const auto worker = round.workers.find(entry->vm.name);
        auto &pool = round.pools[entry->vm.pool];
        const auto poolLimit = std::max<std::size_t>(
            1, static_cast<std::size_t>(static_cast<double>(pool.upVms.size())
                                        * this->options.maxEvacuatingPoolFraction));
        if (entry->evacuatingForWave != 0 || worker == round.workers.end()
            || !this->canReceiveOrder(*entry, round)
            || evacuatingByPool[entry->vm.pool] >= poolLimit)
            continue;
        entry->evacuatingForWave = wave.number;
        entry->evacuatingSince = round.now;
        ++evacuatingCount;
        ++evacuatingByPool[entry->vm.pool];
        round.scheduler.evacuate(worker->second->listing.id, false, round.now);
        this->notes.push_back({"evacuate", entry->vm.name,
                               absl::StrCat("worker=", worker->second->listing.id, " runs=",
                                            worker->second->runs.size(), " wave=", wave.number)});
    }
}

void FleetPlanner::completeWave(WaveProgress &progress)
{
    progress.completed = true;
    ++progress.changes;
    this->notes.push_back({"wave-completed", absl::StrCat(progress.wave.number),
                           absl::StrCat("vms=", progress.done.size())});
}

} // namespace sassafrasferry::scheduling
