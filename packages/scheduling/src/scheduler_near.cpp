// Waits of tasks for a worker on the rack of their data.
#include "scheduler_round.h"

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

namespace {

// The work that names a rack is averaged over a few run times.
constexpr Duration demandTimeConstant = std::chrono::seconds(2);
// A run that is over its expected time ends some time soon; the worker reports each end at once.
constexpr Duration overdueEnd = std::chrono::milliseconds(100);
// A worker on the rack that has room this much later than expected still came in time.
constexpr Duration expectationTolerance = std::chrono::milliseconds(150);

std::int64_t milliseconds(Duration duration)
{
    return duration / std::chrono::milliseconds(1);
}

} // namespace

void Scheduler::updateRackDemand(Instant now)
{
    for (const auto &arrived : this->rackArrivals)
        this->rackDemand.try_emplace(arrived.first, demandTimeConstant, false);
    for (auto &demand : this->rackDemand) {
        const auto at = this->rackArrivals.find(demand.first);
        demand.second.add(at != this->rackArrivals.end() ? at->second : Arrivals{}, now);
    }
    this->rackArrivals.clear();
}

bool Scheduler::waitsForRack(const Job &job, jobs::Task &task, const TaskId &id, Round &round)
{
    const auto &spec = job.spec.steps[id.step];
    if (!this->mechanisms().has(Mechanism::NearWait) || this->times.remoteFactor <= 1
        || spec.lasting)
        return false;
    const auto &name = spec.dataRack;
    auto found = round.racks.find(name);
    if (found == round.racks.end()) {
        Round::Rack rack;
        for (const auto *worker : round.workers) {
            if (worker->listing.rack != name)
                continue;
            rack.cores += static_cast<double>(worker->listing.capacity.cpu) / 1000;
            rack.staysOpen |= !worker->hasPendingMaintenance;
            for (const auto &run : worker->runs) {
                auto *other = this->findJob(run.first.task.job);
                const auto *running = other ? other->find(run.first.task) : nullptr;
                if (!running || other->spec.steps[run.first.task.step].lasting
                    || !spec.footprint().fitsIn(run.second))
                    continue;
                for (const auto &entry : running->runs) {
                    if (entry.number == run.first.number)
                        rack.ends.push_back(
                            std::max(entry.orderedAt + other->expected(run.first.task.step).task,
                                     round.now + overdueEnd));
                }
            }
        }
        std::sort(rack.ends.begin(), rack.ends.end());
        found = round.racks.emplace(name, std::move(rack)).first;
    }
    auto &rack = found->second;
    NearWaitQuestion question;
    if (rack.staysOpen && rack.waiting < rack.ends.size())
        question.nearFreeIn = rack.ends[rack.waiting] - round.now;
    question.nearTime = job.expected(id.step).task;
    question.farTime =
        policy::fromSeconds(policy::seconds(question.nearTime) * this->times.remoteFactor);
    question.slackNear = job.objective() - round.now - job.remainingPath();
    question.slackFar = question.slackNear - (question.farTime - question.nearTime);
    const bool isWaiting = task.nearWaitSince != Instant{};
    question.waited = isWaiting ? round.now - task.nearWaitSince : Duration::zero();
    question.maxWait = this->times.maxNearWait;
    const auto demand = this->rackDemand.find(name);
    if (demand != this->rackDemand.end() && rack.cores > 0)
        question.demand = demand->second.coreSecondsPerSecond() / rack.cores;
    const auto need = spec.footprint().cpu;
    if (need > 0)
        question.places = rack.cores * 1000 / static_cast<double>(need);
    question.trust = this->rackTrust.of(name);
    const auto wait = decideNearWait(question);
    if (!wait.isWaiting())
        return false;
    ++rack.waiting;
    if (!isWaiting) {
        task.nearWaitSince = round.now;
        task.nearFreeAt = round.now + wait.expectedWait;
        this->note("near-wait", jobs::toString(id),
                   absl::StrCat("rack=", name, " until-ms=", milliseconds(wait.expectedWait),
                                " saves-ms=", milliseconds(wait.saves)));
    }
    return true;
}

void Scheduler::noteNearWaitOver(jobs::Task &task, const TaskId &id, const std::string &dataRack,
                                 const Worker &worker, Instant now)
{
    if (task.nearWaitSince == Instant{})
        return;
    const bool isNear = worker.listing.rack == dataRack;
    if (isNear && now <= task.nearFreeAt + expectationTolerance)
        this->rackTrust.noteKept(dataRack);
    else
        this->rackTrust.noteBroken(dataRack);
    this->note("near-wait-over", jobs::toString(id),
               absl::StrCat("how=", isNear ? "near" : "elsewhere",
                            " waited-ms=", milliseconds(now - task.nearWaitSince)));
    task.nearWaitSince = {};
}

} // namespace sassafrasferry::scheduling
