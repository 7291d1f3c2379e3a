// What a new leader learns of jobs from the store's rows.
#include <sassafrasferry/coordination/job_book.h>

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/http/clock.h>

#include <glog/logging.h>

#include <algorithm>

namespace sassafrasferry::coordination {

namespace {

using std::chrono::milliseconds;

// A wall clock that was set back or ahead must not put a job far from its turn.
constexpr std::int64_t oldestNew = 5000; // ms, of a job that has just come
constexpr std::int64_t oldestInherited = 60000; // ms

} // namespace

JobBook::JobBook(scheduling::Scheduler &scheduler)
    : scheduler(scheduler)
{}

void JobBook::takeProgress(const std::vector<store::PartRow> &rows)
{
    for (const auto &row : rows) {
        messages::JobProgress progress;
        if (progress.ParseFromString(row.value))
            this->inherited[row.key] = std::move(progress);
        else
            LOG(ERROR) << "event=progress-unreadable job=" << row.key;
    }
}

std::vector<std::string> JobBook::takeIntake(const std::vector<store::PartRow> &rows)
{
    std::vector<std::string> asked;
    for (const auto &row : rows) {
        if (row.deleted)
            continue;
        const auto key = parseIntakeKey(row.key);
        if (key.cancels)
            asked.push_back(key.job);
        else
            this->takeJob(key.job, row.value);
    }
    // What is over has left the intake; its progress row tells how.
    for (const auto &entry : this->inherited) {
        const auto state = static_cast<scheduling::JobState>(entry.second.state());
        if (jobs::isFinal(state))
            this->addOver(entry.first, state);
    }
    this->inherited.clear();
    this->complete = true;
    std::vector<std::string> cancelled;
    for (const auto &job : asked) {
        if (this->scheduler.cancelJob(job))
            cancelled.push_back(job);
    }
    return cancelled;
}

bool JobBook::isComplete() const
{
    return this->complete;
}

void JobBook::takeJob(const std::string &id, const std::string &bytes)
{
    messages::JobRecord record;
    if (!record.ParseFromString(bytes)) {
        LOG(ERROR) << "event=job-unreadable job=" << id;
        return;
    }
    const auto oldest = this->complete ? oldestNew : oldestInherited;
    const auto age = milliseconds(
        std::clamp<std::int64_t>(http::unixNow() - record.accepted_milliseconds(), 0, oldest));
    auto job =
        std::make_unique<jobs::Job>(id, jobs::specFrom(record), termsFrom(record), bootNow() - age);
    job->inherited = !this->complete;
    if (const auto at = this->inherited.find(id); at != this->inherited.end()) {
        job->restore(at->second);
        job->recordedChanges = job->changes;
    }
    this->scheduler.addJob(std::move(job));
}

void JobBook::addOver(const std::string &id, scheduling::JobState state)
{
    auto job = std::make_unique<jobs::Job>(id, jobs::JobSpec{}, jobs::QueueTerms{}, bootNow());
    job->state = state;
    this->scheduler.addJob(std::move(job));
}

} // namespace sassafrasferry::coordination
