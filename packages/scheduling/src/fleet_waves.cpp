// Maintenance waves: which VM is emptied and maintained when.
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

std::size_t FleetPlanner::underMaintenance(const WaveProgress &progress) const
{
    std::size_t count = 0;
    for (const auto &name : progress.wave.vms) {
        const auto at = this->vms.find(name);
        if (at == this->vms.end())
            continue;
        const auto &entry = at->second;
        // One whose order had no answer may be under maintenance by now.
        const bool mayBegin = (entry.ordered || entry.unanswered) && entry.leavingFor != 0;
        count += entry.vm.state == VmState::Maintenance || mayBegin;
    }
    return count;
}

void FleetPlanner::planWave(WaveProgress &progress, Round &round)
{
    if (progress.completed)
        return;
    const auto &wave = progress.wave;
    std::vector<Entry *> left;
    for (const auto &name : wave.vms) {
        const auto at = this->vms.find(name);
        if (at != this->vms.end() && at->second.listed && progress.done.count(name) == 0)
            left.push_back(&at->second);
    }
    if (left.empty() && !this->vms.empty()) {
        this->finishWave(progress);
        return;
    }
    // VMs with nothing on them first, then those whose worker is emptied.
    auto under = this->underMaintenance(progress);
    std::size_t leaving = 0;
    std::map<std::string, std::size_t> leavingOf;
    for (auto *entry : left) {
        const auto worker = round.workers.find(entry->vm.name);
        if (entry->leavingFor != 0 && !entry->ordered) {
            ++leaving;
            ++leavingOf[entry->vm.pool];
        }
        const bool hasWorker = worker != round.workers.end();
        bool isEmpty = this->isEmpty(*entry, round);
        if (entry->leavingFor != 0 && hasWorker) {
            const bool hurry = round.now - entry->leavingSince > this->terms.evacuationPatience;
            isEmpty = round.scheduler.evacuate(worker->second->listing.id, hurry, round.now);
        }
        if (!isEmpty || !this->isFree(*entry, round) || under >= wave.atOnce
            || round.orders.size() >= this->terms.mostOrders)
            continue;
        ++under;
        entry->leavingFor = wave.number;
        this->order(*entry, {FleetAction::Maintain, entry->vm.name, "", wave.number}, round);
    }
    const double timeLeft = std::max(policy::seconds(progress.seenAt - round.now)
                                         + policy::seconds(wave.within) * this->terms.waveShare,
                                     policy::seconds(this->terms.maintenanceTime));
    const auto pace = static_cast<std::size_t>(
        std::ceil(static_cast<double>(left.size()) * policy::seconds(this->terms.maintenanceTime)
                  / timeLeft));
    const auto most = std::min(wave.atOnce, std::max<std::size_t>(pace, 1));
    std::sort(left.begin(), left.end(), [&](const Entry *a, const Entry *b) {
        const auto used = [&](const Entry *entry) {
            const auto at = round.workers.find(entry->vm.name);
            return at == round.workers.end() ? 0 : at->second->used.cpu;
        };
        return used(a) < used(b);
    });
    for (auto *entry : left) {
        if (leaving + under >= most)
            break;
        const auto worker = round.workers.find(entry->vm.name);
        auto &pool = round.pools[entry->vm.pool];
        const auto bound =
            std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(pool.up.size())
                                                              * this->terms.mostOfPool));
        if (entry->leavingFor != 0 || worker == round.workers.end() || !this->isFree(*entry, round)
            || leavingOf[entry->vm.pool] >= bound)
            continue;
        entry->leavingFor = wave.number;
        entry->leavingSince = round.now;
        ++leaving;
        ++leavingOf[entry->vm.pool];
        round.scheduler.evacuate(worker->second->listing.id, false, round.now);
        this->notes.push_back({"evacuate", entry->vm.name,
                               absl::StrCat("worker=", worker->second->listing.id, " runs=",
                                            worker->second->runs.size(), " wave=", wave.number)});
    }
}

void FleetPlanner::finishWave(WaveProgress &progress)
{
    progress.completed = true;
    ++progress.changes;
    this->notes.push_back({"wave-completed", absl::StrCat(progress.wave.number),
                           absl::StrCat("vms=", progress.done.size())});
}

} // namespace sassafrasferry::scheduling
