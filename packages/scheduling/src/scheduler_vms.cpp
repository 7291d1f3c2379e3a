// The scheduler's view of VMs: which worker is the current incarnation of each, and which have
// ended.
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace sassafrasferry::scheduling {

// The entry of an earlier incarnation may still be listed or arrive late. A worker that is already
// known is judged by its own answers.
bool Scheduler::isEarlierIncarnation(const WorkerListing &listing) const
{
    const auto known = this->workerTable.find(listing.id);
    if (known != this->workerTable.end() && !known->second.hasEnded)
        return false;
    const auto &ids = this->vmWorkers.of(listing.vm);
    return std::any_of(ids.begin(), ids.end(), [&](const std::string &id) {
        const auto &other = this->workerTable.at(id);
        return other.isIdentified && other.listing.born > listing.born;
    });
}

void Scheduler::assignToVm(Worker &worker, const std::string &vm)
{
    this->vmWorkers.remove(worker.listing.vm, worker.listing.id);
    worker.listing.vm = vm;
    if (vm.empty() || worker.hasEnded)
        return;
    const auto &others = this->vmWorkers.of(vm);
    if (!others.empty())
        this->note("vm-shared", worker.listing.id,
                   absl::StrCat("vm=", vm, " others=", absl::StrJoin(others, ",")));
    this->vmWorkers.add(vm, worker.listing.id);
}

// Anybody may write an entry that names a VM, but only the worker itself answers under its id. A
// VM has one worker at a time, so the answer shows that those before it have ended, unless one of
// them has answered a call that was sent when the entry was known already.
void Scheduler::endEarlierWorkers(const Worker &present, Instant now)
{
    const auto ids = this->vmWorkers.of(present.listing.vm);
    for (const auto &id : ids) {
        const auto &other = this->workerTable.at(id);
        if (other.listing.born < present.listing.born && other.answeredCallAt <= present.listedAt)
            this->retireWorker(id, EndEvidence::NextWorker, now);
    }
}

void Scheduler::endEarlierIncarnations(const VmIncarnation &present,
                                       const std::set<std::string> &listedBefore, Instant now)
{
    const auto ids = this->vmWorkers.of(present.vm);
    for (const auto &id : ids) {
        if (id == present.worker || listedBefore.count(id) == 0)
            continue;
        // While a VM returns to its pool, its next incarnation may be listed before the platform
        // knows of it. A VM without an incarnation on the platform's list may have one that the
        // platform can't reach.
        const bool hasAnother = present.isUp && !present.worker.empty();
        if (!hasAnother && this->workerTable.at(id).listing.service == present.pool)
            continue;
        this->note("incarnation-over", id,
                   absl::StrCat("vm=", present.vm, " now=", present.worker));
        this->retireWorker(id, EndEvidence::VmList, now);
    }
}

Worker *Scheduler::workerOf(const std::string &vm)
{
    Worker *current = nullptr;
    const auto rankOf = [](const Worker &worker) {
        return std::make_pair(worker.isIdentified, worker.listing.born);
    };
    for (const auto &id : this->vmWorkers.of(vm)) {
        auto *worker = this->findWorker(id);
        if (!current || rankOf(*worker) > rankOf(*current))
            current = worker;
    }
    return current && current->listed ? current : nullptr;
}

// A worker without an entry may still be alive, with runs and unacknowledged ends.
bool Scheduler::isVmEmpty(const std::string &vm, Instant now) const
{
    const auto &ids = this->vmWorkers.of(vm);
    return std::all_of(ids.begin(), ids.end(), [&](const std::string &id) {
        return this->workerTable.at(id).isEmpty(this->leasesKnownUntil(now));
    });
}

} // namespace sassafrasferry::scheduling
