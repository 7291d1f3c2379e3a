// Applies the answers of workers to starts and stops.
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

namespace {

/// True if only the worker itself gives this answer. Anybody may refuse a call at its address.
bool showsIncarnation(OrderAnswer answer)
{
    return answer == OrderAnswer::Accepted || answer == OrderAnswer::NoRoom
           || answer == OrderAnswer::Superseded || answer == OrderAnswer::Expired;
}

} // namespace

ClockOrigin Scheduler::readClock(const std::string &id, const OrderReply &reply, Instant askedAt,
                                 Instant now)
{
    auto *worker = this->findWorker(id);
    if (!worker || worker->clock == 0 || !reply.clock || !showsIncarnation(reply.answer))
        return ClockOrigin::Unknown;
    const auto known = worker->lastReading();
    const auto origin = originOf({*reply.clock, askedAt, now}, known, this->times.clockDrift);
    if (origin == ClockOrigin::Same)
        return origin;
    const auto expected =
        known.milliseconds + (now - known.receivedAt) / std::chrono::milliseconds(1);
    this->note(
        "incarnation-unconfirmed", id,
        absl::StrCat("clock=", *reply.clock, " expected=", expected, " born=", worker->listing.born,
                     " later=", origin == ClockOrigin::Later ? 1 : 0,
                     " unheard-ms=", (now - worker->lastAnswer) / std::chrono::milliseconds(1)));
    if (origin == ClockOrigin::Later) {
        this->incarnationEnded(id, EndEvidence::Clock, now);
        worker->restartSeenAt = now;
    }
    return origin;
}

void Scheduler::startAnswered(const StartOrder &order, OrderAnswer answer, Instant now,
                              ClockOrigin origin)
{
    auto *worker = this->findWorker(order.worker);
    auto *job = this->findJob(order.task.job);
    auto *task = job ? job->find(order.task) : nullptr;
    const RunKey key{order.task, order.run};
    jobs::Run *run = nullptr;
    for (std::size_t i = 0; task && i < task->runs.size(); ++i) {
        if (task->runs[i].worker == order.worker && task->runs[i].number == order.run)
            run = &task->runs[i];
    }
    if (answer != OrderAnswer::Accepted) {
        this->note("start-refused", jobs::toString(order.task),
                   absl::StrCat("run=", order.run, " worker=", order.worker,
                                " why=", std::string(model::nameOf(answer))));
    }
    if (!worker)
        return;
    if (answer != OrderAnswer::NoAnswer)
        worker->lateCalls.startClosed(key);
    switch (answer) {
    case OrderAnswer::Accepted:
        if (run) {
            if (run->state != jobs::RunState::Stopping)
                run->state = jobs::RunState::Confirmed;
            run->settledAt = std::min(run->settledAt, now);
            if (run->evidence == jobs::RunEvidence::None)
                run->evidence = jobs::RunEvidence::Accepted;
        }
        if (origin == ClockOrigin::Same)
            worker->unconfirmedRuns.erase(key);
        if (job && job->state == JobState::Queued)
            job->state = JobState::Running;
        return;
    case OrderAnswer::NoAnswer:
        worker->lateCalls.startUnanswered(key, now);
        ++this->counters.unanswered;
        if (run && run->state == jobs::RunState::Ordered)
            run->state = jobs::RunState::Unanswered;
        return;
    case OrderAnswer::Fenced:
        return;
    case OrderAnswer::NoRoom:
        ++this->counters.roomRefusals;
        worker->fullUntil = now + this->times.roomBackOff;
        break;
    case OrderAnswer::Unhealthy:
        worker->backOffUntil = now + this->times.healthBackOff;
        break;
    case OrderAnswer::Superseded:
        // A run with a higher number has ended there. The next attempt skips well ahead of it.
        if (task)
            task->lastRun += 100;
        break;
    case OrderAnswer::OtherIncarnation:
        this->incarnationEnded(order.worker, EndEvidence::OtherIncarnation, now);
        this->setListed(*worker, false);
        break;
    case OrderAnswer::Malformed:
        worker->backOffUntil = now + this->times.healthBackOff;
        break;
    case OrderAnswer::Expired:
        // One start may have been delayed. After another one the worker's clock is probably ahead
        // of its estimate, which the next report corrects.
        if (worker->expiredAt >= worker->lastAnswer)
            worker->backOffUntil = std::max(worker->backOffUntil, now + this->times.expiredBackOff);
        worker->expiredAt = now;
        break;
    case OrderAnswer::NoTicket:
    case OrderAnswer::NotSent:
    case OrderAnswer::Outdated:
        break;
    }
    this->dropRun(*worker, key, now);
}

void Scheduler::stopAnswered(const StopOrder &order, OrderAnswer answer, Instant now)
{
    auto *job = this->findJob(order.task.job);
    auto *task = job ? job->find(order.task) : nullptr;
    if (answer == OrderAnswer::OtherIncarnation) {
        this->incarnationEnded(order.worker, EndEvidence::OtherIncarnation, now);
        return;
    }
    if (answer != OrderAnswer::Accepted) {
        this->note("stop-refused", jobs::toString(order.task),
                   absl::StrCat("run=", order.run, " worker=", order.worker,
                                " why=", std::string(model::nameOf(answer))));
    }
    // A stop that a former incarnation answered has no effect on the present one.
    const auto *worker = this->findWorker(order.worker);
    const bool isSettled =
        answer == OrderAnswer::Accepted && (!worker || worker->fence.isPresent(order.fence));
    if (!task)
        return;
    for (auto &run : task->runs) {
        if (run.worker != order.worker || run.number != order.run)
            continue;
        if (isSettled)
            run.settledAt = std::min(run.settledAt, now);
        // A hold may have been lost together with the stop, so the next report may come late.
        else if (answer == OrderAnswer::NoAnswer && now - run.stopAskedAt > minStopInterval)
            this->requestStop(order.worker, {order.task, order.run}, "unanswered stop");
    }
}

} // namespace sassafrasferry::scheduling
