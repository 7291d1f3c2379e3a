// Workers that are leaving, as several sources tell it.
#include <sassafrasferry/policy/dispatcher.h>

namespace sassafrasferry::policy {

namespace {

constexpr Duration leavingMark = std::chrono::seconds(5);
constexpr Duration closedMark = std::chrono::seconds(1);

} // namespace

bool Dispatcher::setLeaving(const std::string &workerName, LeavingSignal signal, Instant now)
{
    const auto at = this->workerIndex.find(workerName);
    if (at == this->workerIndex.end())
        return false;
    auto &worker = this->workers[at->second];
    auto &marks = worker.leaving;
    const bool was = worker.isLeaving(now);
    switch (signal) {
    case LeavingSignal::None:
        marks.listed = false;
        marks.own = LeavingSignal::None;
        break;
    case LeavingSignal::List:
        marks.listed = true;
        break;
    case LeavingSignal::Draining:
        marks.draining = true;
        break;
    case LeavingSignal::Refusal:
    case LeavingSignal::Closed:
        marks.own = signal;
        marks.ownUntil = now + (signal == LeavingSignal::Refusal ? leavingMark : closedMark);
        break;
    }
    return was != worker.isLeaving(now);
}

void Dispatcher::drained(const std::string &workerName)
{
    const auto at = this->workerIndex.find(workerName);
    if (at != this->workerIndex.end())
        this->workers[at->second].leaving.draining = false;
}

std::vector<std::string> Dispatcher::busyDraining() const
{
    std::vector<std::string> names;
    for (const auto &worker : this->workers) {
        if (worker.leaving.draining && worker.inUse > 0)
            names.push_back(worker.spec.name);
    }
    return names;
}

} // namespace sassafrasferry::policy
