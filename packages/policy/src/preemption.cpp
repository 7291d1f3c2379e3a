// Which background runs give way.
#include <sassafrasferry/policy/preemption.h>

#include <algorithm>

namespace sassafrasferry::policy {

void Preemption::started(RequestId id, Index worker, Instant now)
{
    this->runs.push_back({id, worker, now});
}

void Preemption::ended(RequestId id)
{
    std::erase_if(this->runs, [id](const Run &run) { return run.id == id; });
}

std::size_t Preemption::stopping(const Among &among) const
{
    const auto counts = [&](const Run &run) {
        return run.isStopping && among(run.worker);
    };
    return static_cast<std::size_t>(std::count_if(this->runs.begin(), this->runs.end(), counts));
}

std::vector<Preempted> Preemption::choose(const Among &among, std::size_t wanted)
{
    std::vector<Preempted> chosen;
    for (auto run = this->runs.rbegin(); run != this->runs.rend(); ++run) {
        if (chosen.size() == wanted)
            break;
        if (run->isStopping || !among(run->worker))
            continue;
        run->isStopping = true;
        chosen.push_back({run->id, run->worker});
    }
    return chosen;
}

} // namespace sassafrasferry::policy
