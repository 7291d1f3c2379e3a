// The scheduling leader's state of jobs and workers, and its decisions about them. Free of I/O:
// callers pass in events and the current time and take out orders; nothing here blocks, sends or
// reads a clock.
#pragma once

#include <sassafrasferry/scheduling/arrival_rate.h>
#include <sassafrasferry/scheduling/customer_usage.h>
#include <sassafrasferry/scheduling/estimate_model.h>
#include <sassafrasferry/scheduling/near_place_wait.h>
#include <sassafrasferry/scheduling/orders.h>
#include <sassafrasferry/scheduling/queue.h>
#include <sassafrasferry/scheduling/scheduler_times.h>
#include <sassafrasferry/scheduling/task_places.h>
#include <sassafrasferry/scheduling/vm_workers.h>

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace sassafrasferry::scheduling {

using jobs::Job;
using jobs::JobState;

/// A job whose row in the store is out of date.
struct DirtyJob
{
    std::string id;
    std::uint64_t changes = 0; ///< change counter of the job at the time of the row
    messages::JobProgress row;
    bool final = false; ///< the job has reached a final state
    /// Positions of tasks whose entries in the row were changed by ends of runs since the last row.
    std::vector<std::size_t> endedTasks;
};

/// One line about a decision, for the log.
struct DecisionNote
{
    std::string event;
    std::string subject; ///< a task, job or worker
    std::string detail;
};

/// Prospect of a job to end in time. Jobs of lower values are placed first.
enum class Prospect {
    OnTime,
    PassedOver, ///< could meet its objective, but not beside the jobs that are placed first
    Late, ///< misses its objective, and can end by its late limit
    Expired, ///< can't end by its late limit beside the jobs that are placed first
};

/// Demand and capacity of a service.
struct ServiceLoad
{
    std::size_t workers = 0; ///< workers that accept new tasks
    Resources room; ///< free on these workers
    Resources capacity; ///< total of these workers
    Resources lasting; ///< in use by lasting tasks
    Resources running; ///< in use by other tasks
    Resources lateRunning; ///< part of `running` in use by jobs that will miss their objective
    Resources ready; ///< need of the tasks that could start at once if there were room
    Resources capped; ///< need of the tasks that wait only because of their customers' caps
    double readySeconds = 0; ///< core-seconds of these ready tasks
    double onTimeSeconds = 0; ///< part of `readySeconds` of jobs that can meet their objective
    double lateSeconds = 0; ///< part of `readySeconds` of late jobs that can end by their limit
    double expiredSeconds = 0; ///< the rest of `readySeconds`
    /// Core-seconds of the jobs, waiting and running, that can end by their late limits.
    double servableSeconds = 0;
    double laterSeconds = 0; ///< core-seconds of tasks that depend on unfinished steps
    /// Fewest workers that satisfy the per-VM limits: what the widest lasting step needs.
    std::size_t minWorkers = 0;
    bool hasStarvedTask =
        false; ///< a lasting task has waited too long; free room may be fragmented
    std::size_t jobs = 0; ///< unfinished jobs
    /// What its waiting tasks need of a VM, but for long-running ones; sorted.
    std::vector<PlaceNeed> waiting;
};

/// Totals since process start, for metrics.
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
    /// Run numbers of this leader start above `runBase`, so that they never repeat those of an
    /// earlier leader.
    Scheduler(SchedulerTimes times, std::int64_t runBase, Instant tookOverAt);

    void setConfiguration(Configuration configuration);
    const Configuration &configuration() const;

    // Jobs.
    void addJob(std::unique_ptr<Job> job);
    /// Returns false if there is no unfinished job with this id.
    bool cancelJob(const std::string &id);
    JobState stateOf(const std::string &id) const;
    /// Customer of the job; empty if it has none or is unknown.
    std::string customerOf(const std::string &id) const;
    std::size_t pendingJobCount(const std::string &queue) const;
    Job *findJob(const std::string &id);
    std::size_t jobCount() const;
    /// Takes up to `maxRows` rows of changed jobs that `isWanted` accepts, to be written to the
    /// store.
    template<typename IsWanted>
    std::vector<DirtyJob> takeDirty(std::size_t maxRows, IsWanted isWanted)
    {
        std::vector<DirtyJob> result;
        for (auto at = this->dirty.begin(); at != this->dirty.end() && result.size() < maxRows;) {
            if (!isWanted(*at)) {
                ++at;
                continue;
            }
            if (auto *job = this->findJob(*at))
                result.push_back({*at, job->changes, job->progress(), jobs::isFinal(job->state),
                                  job->takeEndedTasks()});
            at = this->dirty.erase(at);
        }
        return result;
    }
    /// Records that a row taken with `takeDirty` has been written to the store.
    void recorded(const DirtyJob &job);
    /// Records that a row taken with `takeDirty` was not written and is still out of date.
    void notRecorded(const DirtyJob &job);
    bool hasDirty() const;

    // Workers.
    /// `startedAt`: of its incarnation, by this leader's clock; the epoch if it is not known.
    void listWorker(const WorkerListing &listing, Instant now, Instant startedAt = {});
    /// Takes over what the predecessor knew of restarted workers. It may have missed restarts from
    /// `knownUntil` on.
    void inheritRestarts(const std::vector<RestartedWorker> &workers, Instant knownUntil);
    /// Workers that may run tasks on a lease by the clock of their former incarnation.
    std::vector<RestartedWorker> restartedWorkers(Instant now) const;
    void unlistWorker(const std::string &id);
    /// Registers a worker that has no entry in the list of workers but may still run tasks that an
    /// earlier leader started.
    void addUnlistedWorker(const std::string &id, const std::string &service,
                           const std::string &vm = "");
    /// Retires incarnations of a VM that have ended according to the platform's list of VMs.
    /// `listedBefore` names the workers that were listed before the platform was queried; any other
    /// worker may have started since.
    void endEarlierIncarnations(const VmIncarnation &present,
                                const std::set<std::string> &listedBefore, Instant now);
    /// Records that every worker that may run tasks of an earlier leader is now known.
    void setAllWorkersKnown();
    /// Applies a worker's answer to a hold that was sent at `askedAt`.
    void report(const WorkerReport &report, Instant askedAt, Instant now);
    /// Records that this incarnation of the worker has ended, and with it the runs reported there.
    void incarnationEnded(const std::string &id, EndEvidence evidence, Instant now);
    /// Retires a worker whose id no later incarnation will use.
    void retireWorker(const std::string &id, EndEvidence evidence, Instant now);
    /// Removes unlisted workers that have no runs and can't have a valid lease, once they have
    /// ended or have not answered for `workerRetention`.
    void forgetWorkers(Instant now);
    std::size_t listedWorkers() const;
    /// The end, by the worker's clock, of the lease that goes with a hold or start sent now.
    /// Not later than `latest`. Nothing if the worker's clock is unknown, the worker is
    /// unresponsive or `latest` has passed.
    std::optional<std::int64_t> leaseUntil(const std::string &id, Instant now,
                                           Instant latest = Instant::max());
    /// The effects of all ends up to this number are in the store.
    std::int64_t acknowledged(const std::string &id) const;
    /// True if the worker's ends may be acknowledged now. While a start may be carried out late, a
    /// later incarnation could carry out the acknowledgement after it, and drop the start's end.
    bool canAcknowledge(const std::string &id, Instant now);
    void acknowledgementSent(const std::string &id, std::int64_t token);
    /// After an acknowledgement without an answer the worker is sent no starts until its fencing
    /// token has risen.
    void acknowledgementOver(const std::string &id, bool isAnswered);
    const std::map<std::string, Worker> &workers() const;
    Worker *findWorker(const std::string &id);
    /// The current incarnation of a VM; nullptr if it is not listed. A worker that has answered
    /// goes before those that are known from entries alone.
    Worker *workerOf(const std::string &vm);
    /// True if each worker that may be the VM's current incarnation, listed or not, is empty.
    bool isVmEmpty(const std::string &vm, Instant now) const;

    /// Sets the highest fencing token that belongs to this leader.
    void setFence(std::int64_t newest);
    /// The fencing token of a call to the worker that is sent now.
    std::int64_t fenceFor(const std::string &id);
    /// Notes the latest moment at which the store is known to have confirmed this leader's lease.
    void setLeadConfirmed(Instant at);

    // Orders.
    Orders plan(Instant now, UnixMilliseconds unixNow);
    /// False if a start that was not sent yet must not be sent any more: its run is no longer
    /// expected, or its worker gets no new tasks. Members of a gang are sent to such a worker too,
    /// since the others would wait for them.
    bool isStartWanted(const StartOrder &order) const;
    /// Like `plan`, but starts nothing.
    Orders planStops(Instant now);
    void startSent(const StartOrder &order, Instant now);
    /// Returns the incarnation that a reply to an order sent at `askedAt` comes from. A later one
    /// shows that the known one has ended.
    ClockOrigin readClock(const std::string &id, const OrderReply &reply, Instant askedAt,
                          Instant now);
    /// `origin`: as `readClock` returned it for the reply.
    void startAnswered(const StartOrder &order, OrderAnswer answer, Instant now,
                       ClockOrigin origin = ClockOrigin::Unknown);
    void stopAnswered(const StopOrder &order, OrderAnswer answer, Instant now);
    /// Adds a stop of the run to the orders of the next `plan`.
    void requestStop(const std::string &worker, const RunKey &run, std::string reason);

    /// Stops a worker's tasks as far as the availability budgets of their steps allow, and assigns
    /// it no more. With `force`, tasks without checkpoints are stopped too. Returns true once the
    /// worker is empty.
    bool evacuate(const std::string &worker, bool force, Instant now);
    /// Ends an evacuation: the worker accepts tasks again.
    void cancelEvacuation(const std::string &worker);
    /// Assigns no tasks to any incarnation of a VM while an order about the VM may be carried out:
    /// an incarnation that is listed meanwhile would lose its tasks to that order.
    void holdVm(const std::string &vm);
    void releaseVm(const std::string &vm);
    /// True if a lasting task runs on the worker.
    bool hasLastingRuns(const Worker &worker);
    /// When the last task on the worker is expected to end, by the run times expected of its jobs.
    Instant expectedEmptyAt(const Worker &worker);
    /// The workers of a service that are not draining, as places for tasks.
    std::vector<Place> places(const std::string &service, Instant now);
    /// Demand and capacity of each service that has workers or jobs.
    std::map<std::string, ServiceLoad> loads(Instant now, UnixMilliseconds unixNow);

    /// What each customer with a cap may have running, over all services.
    CustomerUsage customerUsage(UnixMilliseconds unixNow) const;

    /// The jobs added to each service since the last call.
    std::map<std::string, Arrivals> takeArrivals();

    /// Adds a note for each lasting task that has waited too long to be started, with the reason.
    void noteWaitingTasks(Instant now);
    std::vector<DecisionNote> takeNotes();
    const SchedulerCounts &counts() const;
    const MechanismSet &mechanisms() const;

private:
    struct Candidate
    {
        Worker *worker = nullptr;
        double score = 0;
    };
    struct Round;
    struct WorkerCensus;

    /// Shortest interval between two stops of a run that has not ended.
    static constexpr Duration minStopInterval = std::chrono::milliseconds(700);

    /// Run time models of a queue.
    struct QueueTimes
    {
        EstimateModel task; ///< of one task
        EstimateModel step; ///< of the longest task of a step
    };

    void updateTerms(Job &job) const;
    void expectTimes(Job &job) const;
    void noteRunTime(Job &job, const ListedEnd &end, const Worker &worker, Instant now);
    void noteHealth(Worker &worker, const ListedEnd &end, Instant now);
    void applyEnd(Worker &worker, const ListedEnd &end, Instant now);
    void applyFormerEnd(Worker &worker, const ListedEnd &end, Instant now);
    void noteOrphan(const std::string &job, Instant now);
    void holdOrphanEnd(Worker &worker, const ListedEnd &end, Instant now);
    void attachOrphans(Job &job);
    void stopObsoleteRuns(Job &job, const TaskId &id, jobs::EndEffect effect);
    void applyRunning(Worker &worker, const ListedRun &listed, Instant askedAt, Instant now);
    void dropMissingRuns(Worker &worker, const WorkerReport &report, Instant askedAt, Instant now);
    void dropRun(Worker &worker, const RunKey &key, Instant now);
    void dropUnreportedRun(Worker &worker, const RunKey &key, Instant now);
    /// True if the task has neither a run, as far as this leader can know, nor an end as done.
    bool canStart(const jobs::Task &task, Instant now) const;
    void dropRunsOfIncarnation(Worker &worker, Instant now);
    void reopenStarts(Worker &worker, Instant now);
    void forgetLateStarts(Worker &worker, Instant now) const;
    /// Notes that an entry or a report has named a later incarnation.
    void nextIncarnationNamed(Worker &worker, EndEvidence evidence, Instant now);
    void dropAllRuns(Worker &worker, Instant now);
    void settleFormerCalls(Worker &worker, Instant askedAt);
    void setListed(Worker &worker, bool isListed);
    /// True if a worker of the VM that started later has answered.
    bool isEarlierIncarnation(const WorkerListing &listing) const;
    void assignToVm(Worker &worker, const std::string &vm);
    void endEarlierWorkers(const Worker &present, Instant now);
    Instant inheritedFormerLease(const std::string &id, Instant startedAt) const;
    bool isStartInFlight(const RunKey &key, Instant now);
    void dropExpiredRuns(Instant now);
    void noteIfExpired(const RunKey &run, const std::string &worker, Instant now);
    void addLoad(ServiceLoad &load, std::vector<PlaceNeed> &waiting, Job &job,
                 std::size_t occurrence, std::size_t step, Prospect prospect, Instant now,
                 UnixMilliseconds unixNow, CustomerUsage::Account account);
    std::size_t numberOf(const std::string &customer) const;
    void addUnreportedUse(Job &job, UnixMilliseconds unixNow, CustomerUsage::Account account) const;
    bool isAvailable(const jobs::Run &run, Instant now) const;
    bool isLasting(const TaskId &task);
    bool canEvict(Job &job, const TaskId &id, Instant now) const;
    void stopRunsOf(Job &job, const std::string &reason);
    void markDirty(Job &job);
    void advanceRecordedEnds(Worker &worker);
    void advanceRecordedEnds(const std::set<std::string> &workers);
    void setAwaitedJob(Worker &worker, std::string job);
    bool haveWorkersReported(const std::string &service, Instant now) const;
    void noteIfReconciled(const std::string &service, Instant now);
    /// True if tasks of the job may run on a worker that has not reported to this leader yet.
    bool canHaveUnreportedRuns(const Job &job) const;
    /// True if tasks of the job may be started as far as its services matter. Adds a service that
    /// the store doesn't know to the job's row.
    bool canStartInService(Job &job);
    /// True if the worker is listed and will neither be drained nor evacuated nor moved.
    bool isStaying(const Worker &worker) const;
    bool takesWork(const Worker &worker, Instant now) const;
    /// Whether the worker takes work unless it is cordoned.
    bool canTakeWork(const Worker &worker, Instant now) const;
    std::int64_t leaseTerm() const; ///< milliseconds, by a worker's clock
    Instant leaseExpiry(const Worker &worker) const;
    /// A lease that this leader knows to end before this moment is over. After it, another leader
    /// may have extended the lease.
    Instant leasesKnownUntil(Instant now) const;
    /// The longest time, by this leader's clock, that a lease may last on a worker whose clock runs
    /// slow.
    Duration maxLeaseDuration(Duration lease) const;
    Instant unconfirmedLeaseExpiry(const Worker &worker) const;
    Instant runExpiry(const Worker &worker, const RunKey &run) const;
    void giveRequestedStops(Instant now, Orders &orders);
    const std::string &serviceOf(const Job &job) const;
    void planService(const std::string &service, std::vector<Job *> &queue, Round &round);
    void planStep(Job &job, std::size_t occurrence, std::size_t step, Round &round);
    void planGang(Job &job, std::size_t occurrence, std::size_t step, Round &round);
    Worker *choose(const Job &job, const jobs::Task &task, const TaskId &id, Round &round);
    void collectLateStarts(Round &round);
    void waitForLateStart(jobs::Task &task, const TaskId &id, const Worker &worker, Instant now);
    bool waitsForRack(const Job &job, jobs::Task &task, const TaskId &id, Round &round);
    void noteNearWaitOver(jobs::Task &task, const TaskId &id, const std::string &dataRack,
                          const Worker &worker, Instant now);
    void updateRackDemand(Instant now);
    void start(Job &job, const TaskId &id, Worker &worker, Round &round);
    void noteEnded(const Worker &worker, EndEvidence evidence);
    WorkerCensus censusOf(const std::string &service, Instant now) const;
    std::string waitReasonOf(const Job &job, Instant now) const;
    void note(std::string event, std::string subject, std::string detail);

    SchedulerTimes times;
    std::int64_t runBase;
    Instant tookOverAt;
    std::int64_t newestFence = 0;
    Instant leadConfirmedAt = Instant::max(); // max: no other process can lead
    Configuration config;
    std::unordered_map<std::string, std::size_t> customerNumbers; // places in `config.customers`
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs; // unfinished
    struct FinishedJob
    {
        JobState state = JobState::Unknown;
        std::string customer;
    };
    std::unordered_map<std::string, FinishedJob> finished; // final state is in the store
    std::map<std::string, Worker> workerTable;
    std::size_t listedCount = 0; // workers with `listed`
    std::map<std::string, Instant> inheritedRestarts; // as in `RestartedWorker`, by worker
    Instant restartsKnownUntil = Instant::max(); // the predecessor may have missed later restarts
    std::set<std::string> dirty; // jobs whose row in the store is out of date
    /// Unknown jobs whose runs or ends workers have listed, each with the ends that are applied
    /// once the job is known.
    std::map<std::string, std::vector<ListedEnd>> orphans;
    std::unordered_map<std::string, std::set<std::string>> awaitingWorkers; // by `awaitedJob`
    /// Workers whose first pending end belongs to a job that was added since a row was last
    /// recorded.
    std::set<std::string> attachedWorkers;
    std::vector<StopOrder> requestedStops;
    std::map<std::string, QueueTimes> runTimes; // by queue
    std::map<std::string, Arrivals> arrivals; // by service
    std::map<std::string, Arrivals> rackArrivals; // by rack, of tasks that name it
    std::map<std::string, ArrivalRate> rackDemand; // by rack, of tasks that name it
    RackTrust rackTrust;
    /// Runs that were dropped because the lease of their worker had expired, with the time.
    std::map<std::pair<std::string, RunKey>, Instant> expiredRuns;
    std::vector<DecisionNote> notes;
    SchedulerCounts counters;
    bool allWorkersKnown = false;
    bool isSurveyOver =
        false; // as of the last round: all workers that can be reached have answered
    VmWorkers vmWorkers; // without those that have ended
    std::set<std::string> heldVms; // VMs with an open order
    std::set<std::string> reconciledServices; // services without unreported runs
    /// Reconciled services with a worker that has restarted since, and may have runs of inherited
    /// jobs until it has reported again.
    std::set<std::string> reopenedServices;
};

} // namespace sassafrasferry::scheduling
