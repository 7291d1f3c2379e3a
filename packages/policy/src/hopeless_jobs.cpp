// The memory of hopeless jobs.
#include <sassafrasferry/policy/hopeless_jobs.h>

#include <algorithm>

namespace sassafrasferry::policy {

bool HopelessJobs::failed(JobFingerprint job, const std::string &worker, bool workerServesWell,
                          Instant now)
{
    if (!workerServesWell)
        return this->isHopeless(job, now);
    auto at = this->records.find(job);
    if (at == this->records.end()) {
        if (this->records.size() >= mostRemembered) {
            this->records.erase(this->order.front());
            this->order.pop_front();
        }
        this->order.push_back(job);
        at = this->records.emplace(job, Record{{}, now, std::prev(this->order.end())}).first;
    }
    auto &record = at->second;
    if (now - record.last > remembered)
        record.workers.clear();
    record.last = now;
    this->order.splice(this->order.end(), this->order, record.place);
    const bool isNew =
        std::find(record.workers.begin(), record.workers.end(), worker) == record.workers.end();
    if (isNew && record.workers.size() < failuresEnough)
        record.workers.push_back(worker);
    return record.workers.size() >= failuresEnough;
}

void HopelessJobs::succeeded(JobFingerprint job)
{
    const auto at = this->records.find(job);
    if (at == this->records.end())
        return;
    this->order.erase(at->second.place);
    this->records.erase(at);
}

bool HopelessJobs::isHopeless(JobFingerprint job, Instant now) const
{
    const auto at = this->records.find(job);
    return at != this->records.end() && at->second.workers.size() >= failuresEnough
           && now - at->second.last <= remembered;
}

} // namespace sassafrasferry::policy
