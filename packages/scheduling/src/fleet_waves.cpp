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

bool FleetPlanner::isListed(const std::string &vm) const
{
    const auto at = this->vms.find(vm);
    return at != this->vms.end() && at->second.listed;
}

// A list that was requested before the wave was known may be older than a VM of the wave.
void FleetPlanner::countAbsences(Instant askedAt)
{
    for (auto &wave : this->waveTable) {
        auto &progress = wave.second;
        if (progress.completed || askedAt < progress.seenAt)
            continue;
        for (const auto &vm : progress.wave.vms) {
            if (this->isListed(vm))
                progress.absences.erase(vm);
            else if (++progress.absences[vm] == this->options.absencesOfGoneVm)
                this->notes.push_back(
                    {"wave-vm-absent", vm, absl::StrCat("wave=", progress.wave.number)});
        }
    }
}

bool FleetPlanner::hasMissingWaveVms() const
{
    const auto isMissing = [this](const WaveProgress &progress, const std::string &vm) {
        const auto absences = progress.absences.find(vm);
        return progress.done.count(vm) == 0 && !this->isListed(vm)
               && (absences == progress.absences.end()
                   || absences->second < this->options.absencesOfGoneVm);
    };
    return std::any_of(this->waveTable.begin(), this->waveTable.end(), [&](const auto &wave) {
        const auto &progress = wave.second;
        return !progress.completed
               && std::any_of(progress.wave.vms.begin(), progress.wave.vms.end(),
                              [&](const auto &vm) { return isMissing(progress, vm); });
    });
}

// The entry of a worker shows that its VM exists, whatever the lists of VMs contain.
bool FleetPlanner::isGone(const WaveProgress &progress, const std::string &vm,
                          Scheduler &scheduler) const
{
    const auto absences = progress.absences.find(vm);
    if (absences == progress.absences.end() || absences->second < this->options.absencesOfGoneVm)
        return false;
    const auto at = this->vms.find(vm);
    const bool isOrderOpen = at != this->vms.end() && isMaintenanceOpen(at->second);
    return !isOrderOpen && !scheduler.workerOf(vm);
}

void FleetPlanner::planWave(WaveProgress &progress, Round &round)
{
    if (progress.completed)
        return;
    const auto &wave = progress.wave;
    std::vector<Entry *> remaining;
    bool hasMissing = false;
    for (const auto &name : wave.vms) {
        if (progress.done.count(name) != 0)
            continue;
        if (this->isListed(name))
            remaining.push_back(&this->vms.at(name));
        else
            hasMissing |= !this->isGone(progress, name, round.scheduler);
    }
    if (remaining.empty()) {
        if (!hasMissing)
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
            isEmpty = round.scheduler.evacuate(worker->second->listing.id, isOverdue, round.now)
                      && isEmpty;
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
    const auto &vms = progress.wave.vms;
    const auto gone = std::count_if(vms.begin(), vms.end(),
                                    [&](const auto &vm) { return progress.done.count(vm) == 0; });
    this->notes.push_back({"wave-completed", absl::StrCat(progress.wave.number),
                           absl::StrCat("vms=", progress.done.size(), " gone=", gone)});
}

} // namespace sassafrasferry::scheduling
