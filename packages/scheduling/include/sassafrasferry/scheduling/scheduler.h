// The scheduling leader's memory of jobs and workers, and what it decides. Pure: events and the
// time are handed in, orders are taken out; nothing here waits, sends or asks a clock.
#pragma once

#include <sassafrasferry/scheduling/estimate_model.h>
#include <sassafrasferry/scheduling/mechanisms.h>
#include <sassafrasferry/scheduling/orders.h>
#include <sassafrasferry/scheduling/queue.h>

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace sassafrasferry::scheduling {

using jobs::Job;
using jobs::JobState;

/// Times of leases at workers.
struct SchedulerTimes
{
    Duration workerLease = std::chrono::milliseconds(4000); ///< of each hold and start
    Duration longestLease = std::chrono::milliseconds(10000); ///< that a worker grants
    double clockDrift = 0.02; ///< by how much a worker's clock may be slow
    Duration leaseMargin = std::chrono::milliseconds(150); ///< for the bounds of what was heard
    /// A worker that has not answered for longer gets no starts, and no longer lease.
    Duration silence = std::chrono::milliseconds(1800);
    Duration roomBackOff = std::chrono::milliseconds(150);
    Duration failingBackOff = std::chrono::milliseconds(2000); ///< of a worker that fails most runs
    Duration healthBackOff = std::chrono::milliseconds(500);
    /// How long after a takeover a worker that nobody reaches may still run what the last leader
    /// ordered: the time for which that one may order without the store, and a lease.
    Duration inheritedLease = std::chrono::milliseconds(10700);
    Duration starvation = std::chrono::milliseconds(900); ///< a lasting task may wait for room
    /// An older report does not tell that a task is at work. Holds answer within a second.
    Duration reportAge = std::chrono::milliseconds(1500);
    /// How long a lasting task counts as away after the first report that it is at work.
    Duration settling = std::chrono::milliseconds(200);
    Duration workerMemory = std::chrono::seconds(20); ///< of workers that are in no list
    Duration startExpiry = std::chrono::milliseconds(1500); ///< an order unsent for longer is void
    Duration longestOrder = std::chrono::milliseconds(3000); ///< until it is answered or given up
    MechanismSet mechanisms;
};

/// A task whose state is wanted in the store.
struct DirtyJob
{
    std::string id;
    std::uint64_t changes = 0; ///< of the job, when its row was made
    messages::JobProgress row;
    bool final = false;
};

/// One line about a decision, for the log.
struct DecisionNote
{
    std::string event;
    std::string subject; ///< a task, job or worker
    std::string detail;
};

/// What a service has to do, and what it has for it.
struct ServiceLoad
{
    std::size_t workers = 0; ///< that take work
    Resources room; ///< free at these
    Resources capacity; ///< of these
    Resources lasting; ///< taken by lasting tasks
    Resources running; ///< taken by other tasks
    Resources lateRunning; ///< of these, by tasks of jobs that can't be on time any more
    Resources ready; ///< that tasks need which wait for nothing but room
    double readySeconds = 0; ///< core-seconds of these tasks
    double onTimeSeconds = 0; ///< of these, of jobs that can still be on time
    double laterSeconds = 0; ///< core-seconds of tasks that wait for other steps
    std::size_t spread = 0; ///< workers that the widest lasting step needs, since it may not share
    bool starves = false; ///< a task waits for long, though room may be there in bits
    std::size_t jobs = 0; ///< under way
};

/// Counts since the start, for metrics.
struct SchedulerCounts
{
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t lapsed = 0;
    std::uint64_t roomRefusals = 0;
    std::uint64_t unanswered = 0;
};

class Scheduler
{
public:
    /// Run numbers of this leader begin above `runBase`, so that none of an earlier one returns.
    Scheduler(SchedulerTimes times, std::int64_t runBase, Instant tookOverAt);

    void setConfiguration(Configuration configuration);
    const Configuration &configuration() const;

    // Jobs.
    void addJob(std::unique_ptr<Job> job);
    /// False if no such job is under way.
    bool cancelJob(const std::string &id);
    JobState stateOf(const std::string &id) const;
    std::size_t pendingOf(const std::string &queue) const;
    Job *findJob(const std::string &id);
    std::size_t jobCount() const;
    /// The rows to write, of jobs that changed since and are wanted.
    template<typename IsWanted>
    std::vector<DirtyJob> takeDirty(std::size_t most, IsWanted isWanted)
    {
        std::vector<DirtyJob> result;
        for (auto at = this->dirty.begin(); at != this->dirty.end() && result.size() < most;) {
            if (!isWanted(*at)) {
                ++at;
                continue;
            }
            if (const auto *job = this->findJob(*at))
                result.push_back({*at, job->changes, job->progress(), jobs::isFinal(job->state)});
            at = this->dirty.erase(at);
        }
        return result;
    }
    /// The row of a job as of `changes` is in the store.
    void recorded(const DirtyJob &job);
    bool hasDirty() const;

    // Workers.
    void listWorker(const WorkerListing &listing, Instant now);
    void unlistWorker(const std::string &id);
    /// There is such a worker, though it does not list itself: it may run what an earlier leader
    /// ordered.
    void expectWorker(const std::string &id, const std::string &service);
    /// Ends the incarnations of a VM that the platform's list shows to be over. `listedBefore` are
    /// the workers that were listed before the platform was asked: others may have begun since.
    void endEarlierIncarnations(const VmIncarnation &present,
                                const std::set<std::string> &listedBefore, Instant now);
    /// All workers that may run something inherited are known by now.
    void knowsAllWorkers();
    /// What a worker answered to a hold that was sent at `askedAt`.
    void report(const WorkerReport &report, Instant askedAt, Instant now);
    /// Another incarnation answers at the worker's address: what ran there is gone.
    void incarnationEnded(const std::string &id, EndEvidence evidence, Instant now);
    /// The worker is gone, and no incarnation comes back under its id.
    void endWorker(const std::string &id, EndEvidence evidence, Instant now);
    /// Forgets workers that are gone and ran nothing for a while.
    void forgetWorkers(Instant now);
    std::size_t listedWorkers() const;
    /// Until when a hold or start sent now lets the worker run, by its clock; nothing if its clock
    /// is not known.
    std::optional<std::int64_t> leaseUntil(const std::string &id, Instant now);
    /// The ends up to this number are in the store.
    std::int64_t acknowledged(const std::string &id) const;
    const std::map<std::string, Worker> &workers() const;
    Worker *findWorker(const std::string &id);
    /// The present incarnation of a VM; nullptr if none lists itself.
    Worker *workerOf(const std::string &vm);
    /// No incarnation of a VM is known that holds anything, whether or not it lists itself.
    bool isVmEmpty(const std::string &vm, Instant now) const;

    // Orders.
    Orders plan(Instant now, UnixMilliseconds unixNow);
    void startAnswered(const StartOrder &order, OrderAnswer answer, Instant now);
    void stopAnswered(const StopOrder &order, OrderAnswer answer, Instant now);
    /// Orders the stop of a run in the next plan.
    void requestStop(const std::string &worker, const RunKey &run, std::string reason);

    /// Takes a worker's tasks away, as far as its lasting steps allow for, and gives it no more.
    /// `hurry`: tasks that keep no checkpoint are stopped too. True once nothing runs there.
    bool evacuate(const std::string &worker, bool hurry, Instant now);
    /// The worker may be given work again.
    void keepWorker(const std::string &worker);
    /// While an order about a VM may be carried out, no incarnation of it is given work: one that
    /// lists itself meanwhile would lose what it was given.
    void holdVm(const std::string &vm);
    void releaseVm(const std::string &vm);
    /// True if a task that lasts runs there.
    bool hasLastingRuns(const Worker &worker);
    /// Work and room of each service with workers or jobs.
    std::map<std::string, ServiceLoad> loads(Instant now, UnixMilliseconds unixNow);

    /// Core-seconds of the jobs that came to each service since the last call.
    std::map<std::string, double> takeArrivals();

    std::vector<DecisionNote> takeNotes();
    const SchedulerCounts &counts() const;
    const MechanismSet &mechanisms() const;

private:
    struct Place
    {
        Worker *worker = nullptr;
        double score = 0;
    };
    struct Round;

    /// What is known of the run times of a queue's work.
    struct QueueTimes
    {
        EstimateModel task; ///< one task
        EstimateModel step; ///< the longest task of a step
    };

    void expectTimes(Job &job) const;
    void noteRunTime(Job &job, const ListedEnd &end, const Worker &worker, Instant now);
    void noteHealth(Worker &worker, const ListedEnd &end, Instant now);
    void takeEnd(Worker &worker, const ListedEnd &end, Instant now);
    void takeFormerEnd(Worker &worker, const ListedEnd &end, Instant now);
    void noteStray(const std::string &job, Instant now);
    void holdStrayEnd(Worker &worker, const ListedEnd &end, Instant now);
    void attachStrays(Job &job);
    void stopWhatIsOver(Job &job, const TaskId &id, jobs::EndEffect effect);
    void takeRunning(Worker &worker, const ListedRun &listed, Instant askedAt, Instant now);
    void dropMissingRuns(Worker &worker, const WorkerReport &report, Instant askedAt, Instant now);
    void dropRun(Worker &worker, const RunKey &key, Instant now);
    void dropRunsOfIncarnation(Worker &worker, Instant now);
    void dropAllRuns(Worker &worker, Instant now);
    bool isPresentIncarnation(const WorkerListing &listing, Instant now);
    bool isOnItsWay(const RunKey &key, Instant now);
    void writeOffUnresponsive(Instant now);
    void addLoad(ServiceLoad &load, Job &job, std::size_t occurrence, std::size_t step,
                 bool canBeOnTime, Instant now, UnixMilliseconds unixNow);
    bool isAtWork(const jobs::Run &run, Instant now) const;
    bool mayTakeAway(Job &job, const TaskId &id, Instant now) const;
    void stopRunsOf(Job &job, const std::string &reason);
    void markDirty(Job &job);
    void settleEnds(Worker &worker);
    bool isSettled(const std::string &service, Instant now) const;
    /// Tasks of the job may run on a worker that has not told this leader of them yet.
    bool mayRunUnseen(const Job &job) const;
    bool takesWork(const Worker &worker, Instant now) const;
    std::int64_t leaseTerm() const; ///< milliseconds, by a worker's clock
    Instant leaseOverAt(const Worker &worker) const;
    /// How long a lease may last by this clock, on a worker whose clock is slow.
    Duration longestBy(Duration lease) const;
    std::string serviceOf(const Job &job) const;
    void planService(const std::string &service, std::vector<Job *> &queue, Round &round);
    void planStep(Job &job, std::size_t occurrence, std::size_t step, Round &round);
    void planGang(Job &job, std::size_t occurrence, std::size_t step, Round &round);
    Worker *choose(const Job &job, const jobs::Task &task, std::size_t occurrence, std::size_t step,
                   Round &round);
    void start(Job &job, const TaskId &id, Worker &worker, Round &round);
    void noteEnded(const Worker &worker, EndEvidence evidence);
    void note(std::string event, std::string subject, std::string detail);

    SchedulerTimes times;
    std::int64_t runBase;
    Instant tookOverAt;
    Configuration config;
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs; // under way
    std::unordered_map<std::string, JobState> finished; // recorded in the store
    std::map<std::string, Worker> workerTable;
    std::set<std::string> dirty; // jobs whose row is behind
    /// Jobs that are not known, of which workers list runs, with the ends that count.
    std::map<std::string, std::vector<ListedEnd>> strays;
    std::vector<StopOrder> wantedStops;
    std::map<std::string, QueueTimes> runTimes; // by queue
    std::map<std::string, double> arrivals; // core-seconds, by service
    std::vector<DecisionNote> notes;
    SchedulerCounts counters;
    bool allWorkersKnown = false;
    std::map<std::string, std::string>
        incarnations; // the worker that is the present incarnation of a VM
    std::set<std::string> heldVms; // with an order that may be carried out
    std::set<std::string> settledServices; // nothing unknown runs there any more
};

} // namespace sassafrasferry::scheduling
