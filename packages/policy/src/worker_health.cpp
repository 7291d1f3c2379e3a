// Ejection on consecutive failures and on the failure rate, return by a single probe.
#include <sassafrasferry/policy/worker_health.h>

#include <algorithm>

namespace sassafrasferry::policy {

void WorkerHealth::record(bool failure)
{
    this->window[this->windowNext] = failure;
    this->windowNext = (this->windowNext + 1) % windowSize;
    this->windowCount = std::min(this->windowCount + 1, windowSize);
}

double WorkerHealth::failureRate() const
{
    if (this->windowCount < windowEnough)
        return 0;
    const auto end = this->window.begin() + static_cast<std::ptrdiff_t>(this->windowCount);
    const auto failures = std::count(this->window.begin(), end, true);
    return static_cast<double>(failures) / static_cast<double>(this->windowCount);
}

void WorkerHealth::succeeded()
{
    this->record(false);
    this->consecutive = 0;
    this->probing = false;
    if (this->ejected) {
        this->ejected = false;
        this->windowCount = 0;
        this->windowNext = 0;
        this->ejection = firstEjection;
    }
}

void WorkerHealth::failed(JobFingerprint job, Duration usualRunTime, Instant now, bool mayEject)
{
    this->notBefore = std::max(this->notBefore, now + usualRunTime);
    if (this->ejected) {
        this->probing = false;
        this->ejection = std::min(2 * this->ejection, longestEjection);
        this->ejectedUntil = now + this->ejection;
        return;
    }
    if (job == this->lastFailed)
        return;
    this->lastFailed = job;
    this->record(true);
    ++this->consecutive;
    const bool failsAll = this->consecutive >= consecutiveLimit;
    if (mayEject && (failsAll || this->failureRate() > rateLimit))
        this->eject(now);
}

void WorkerHealth::eject(Instant now)
{
    this->ejected = true;
    this->probing = false;
    this->ejectedUntil = now + this->ejection;
}

void WorkerHealth::probeSent()
{
    if (this->ejected)
        this->probing = true;
}

void WorkerHealth::probeEnded()
{
    this->probing = false;
}

WorkerHealth::State WorkerHealth::state(Instant now) const
{
    if (!this->ejected)
        return State::Fit;
    return now < this->ejectedUntil ? State::Ejected : State::Probing;
}

bool WorkerHealth::accepts(Instant now) const
{
    if (now < this->notBefore)
        return false;
    switch (this->state(now)) {
    case State::Fit:
        return true;
    case State::Ejected:
        return false;
    case State::Probing:
        return !this->probing;
    }
    return false;
}

bool WorkerHealth::servesWell() const
{
    return !this->ejected && this->failureRate() <= rateLimit
           && this->windowCount > this->consecutive;
}

} // namespace sassafrasferry::policy
