// How long a task waits for a worker on the rack of its data.
#include <sassafrasferry/scheduling/near_place_wait.h>

#include <algorithm>
#include <cmath>

namespace sassafrasferry::scheduling {

namespace {

// Part of the time saved that a wait may take, since the expected ends of tasks are estimates.
constexpr double gainShare = 0.5;
constexpr double leastTrust = 1.0 / 16;

/// Approximation of the chance that a task finds all places of a queue with many servers taken
/// (Sakasegawa's exponent).
double chanceOfAllTaken(double demand, double places)
{
    const auto exponent = std::sqrt(2 * (std::max(places, 1.0) + 1)) - 1;
    return std::pow(std::clamp(demand, 0.0, 1.0), exponent);
}

} // namespace

NearWait decideNearWait(const NearWaitQuestion &question)
{
    NearWait wait;
    if (!question.nearFreeIn)
        return wait;
    wait.expectedWait = std::max(*question.nearFreeIn, Duration::zero());
    const auto saved = question.farTime - question.nearTime;
    // Each wait delays a task that comes after it if all places are taken then. On a rack that is
    // asked for more than it can do, waits only add to all completion times.
    const auto longest =
        policy::fromSeconds(std::max(0.0, policy::seconds(saved)) * gainShare
                            * (1 - chanceOfAllTaken(question.demand, question.places))
                            * std::clamp(question.trust, 0.0, 1.0));
    const bool isLateByWaiting = wait.expectedWait > question.slackNear;
    if (question.waited + wait.expectedWait > question.maxWait
        || question.waited >= question.maxWait) {
        wait.reason = NearWaitReason::WaitedLong;
    } else if (wait.expectedWait >= longest) {
        wait.reason = NearWaitReason::NoGain;
    } else if (isLateByWaiting && question.slackFar >= Duration::zero()) {
        wait.reason = NearWaitReason::Objective;
    } else {
        wait.reason = NearWaitReason::Pays;
        wait.saves = saved - wait.expectedWait;
    }
    return wait;
}

double RackTrust::of(const std::string &rack) const
{
    const auto at = this->trust.find(rack);
    return at != this->trust.end() ? at->second : 1;
}

void RackTrust::noteKept(const std::string &rack)
{
    const auto at = this->trust.find(rack);
    if (at == this->trust.end())
        return;
    at->second *= 2;
    if (at->second >= 1)
        this->trust.erase(at);
}

void RackTrust::noteBroken(const std::string &rack)
{
    this->trust[rack] = std::max(leastTrust, this->of(rack) / 2);
}

} // namespace sassafrasferry::scheduling
