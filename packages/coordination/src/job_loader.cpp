// Loads jobs and cancellations from the store's rows into a new leader's scheduler.
#include <sassafrasferry/coordination/job_loader.h>

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/http/clock.h>

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace sassafrasferry::coordination {

namespace {

using std::chrono::milliseconds;

// Upper bounds in milliseconds of a job's age, which is computed from wall clocks. They keep a
// clock that was set back or ahead from moving a job far from its place in the order.
constexpr std::int64_t maxNewAge = 5000; // a job that was stored after the takeover
constexpr std::int64_t maxInheritedAge = 60000; // a job that was in the store at the takeover

} // namespace

JobLoader::JobLoader(scheduling::Scheduler &scheduler)
    : scheduler(scheduler)
{}

void JobLoader::addProgress(const std::vector<store::PartRow> &rows)
{
    for (const auto &row : rows) {
        if (!this->storedRows.add(row))
            LOG(ERROR) << "event=progress-unreadable job=" << row.key;
    }
}

std::vector<std::string> JobLoader::addIntake(const std::vector<store::PartRow> &rows)
{
    if (!this->complete) {
        this->storedPieces = {this->storedRows.pieces(), this->storedRows.staleRows()};
        this->storedProgress = this->storedRows.takeJoined();
    }
    std::vector<std::string> requested;
    for (const auto &row : rows) {
        if (row.deleted || row.key == takeoverKey || withdrawalIn(row))
            continue;
        const auto key = parseIntakeKey(row.key);
        if (key.isCancellation)
            requested.push_back(key.job);
        else
            this->addStored(key.job, row.value);
    }
    // Jobs that have ended have no intake row any more; their progress row holds the final state.
    for (const auto &entry : this->storedProgress) {
        const auto state = static_cast<scheduling::JobState>(entry.second.state());
        if (jobs::isFinal(state))
            this->addFinished(entry.first, entry.second);
    }
    this->storedProgress.clear();
    this->complete = true;
    std::vector<std::string> cancelled;
    for (const auto &job : requested) {
        if (this->scheduler.cancelJob(job))
            cancelled.push_back(job);
    }
    return cancelled;
}

JobLoader::StoredPieces JobLoader::takePieces()
{
    return std::exchange(this->storedPieces, {});
}

bool JobLoader::isComplete() const
{
    return this->complete;
}

void JobLoader::addStored(const std::string &id, const std::string &bytes)
{
    messages::JobRecord record;
    if (!record.ParseFromString(bytes)) {
        LOG(ERROR) << "event=job-unreadable job=" << id;
        return;
    }
    const auto maxAge = this->complete ? maxNewAge : maxInheritedAge;
    const auto age = milliseconds(
        std::clamp<std::int64_t>(http::unixNow() - record.accepted_milliseconds(), 0, maxAge));
    auto job =
        std::make_unique<jobs::Job>(id, jobs::specFrom(record), termsFrom(record), bootNow() - age);
    job->customer = record.customer();
    job->inherited = !this->complete;
    if (const auto at = this->storedProgress.find(id); at != this->storedProgress.end()) {
        job->restore(at->second);
        job->recordedChanges = job->changes;
    }
    this->scheduler.addJob(std::move(job));
}

void JobLoader::addFinished(const std::string &id, const messages::JobProgress &progress)
{
    auto job = std::make_unique<jobs::Job>(id, jobs::JobSpec{}, jobs::QueueTerms{}, bootNow());
    job->state = static_cast<scheduling::JobState>(progress.state());
    job->customer = progress.customer();
    this->scheduler.addJob(std::move(job));
}

} // namespace sassafrasferry::coordination
