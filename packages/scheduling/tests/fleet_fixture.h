// A fixture of pools of VMs with their workers, a scheduler and a planner, for tests that pass
// events to these one by one.
#pragma once

#include <sassafrasferry/scheduling/fleet_planner.h>

namespace sassafrasferry::scheduling {

using namespace std::chrono_literals;

inline const Instant start(1h);
constexpr std::int64_t vmCores = 32000;

/// Two pools and a standby pool of VMs. Each VM outside the standby pool has a worker.
struct FleetFixture
{
    FleetFixture(std::size_t first, std::size_t second, std::size_t standby,
                 const SchedulerTimes &times = {})
        : scheduler(times, 0, start)
        , planner(FleetPlannerOptions{})
    {
        Configuration configuration;
        configuration.version = 1;
        for (const auto *name : {"one", "two"}) {
            Queue queue;
            queue.terms = {name, name, 0, 3, 2, 600ms};
            configuration.queues.push_back(queue);
            configuration.services.push_back({name, true, false});
        }
        configuration.services.push_back({"off", true, true});
        this->scheduler.setConfiguration(configuration);
        this->scheduler.setAllWorkersKnown();
        this->addPool("one", first);
        this->addPool("two", second);
        this->addPool("off", standby);
        this->planner.updateVms(this->vms, this->now);
    }

    void addPool(const std::string &pool, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const auto name = pool + std::to_string(i);
            this->vms.push_back(
                {name, pool, VmState::Up, "a", "r", {vmCores, 100000, 0}, "w-" + name});
            if (pool != "off")
                this->addWorker(name, pool);
        }
    }

    void addWorker(const std::string &vm, const std::string &pool, const std::string &id = "")
    {
        WorkerListing listing;
        listing.id = id.empty() ? "w-" + vm : id;
        listing.vm = vm;
        listing.born = ++this->incarnationCount;
        listing.service = pool;
        listing.rack = "r";
        listing.capacity = {vmCores, 100000, 0};
        this->scheduler.listWorker(listing, this->now);
        this->report(listing.id);
    }

    void report(const std::string &id)
    {
        const auto *worker = this->scheduler.findWorker(id);
        WorkerReport report{id, worker->listing.born, 1000 + (this->now - start) / 1ms, {}, {}};
        for (const auto &run : worker->runs)
            report.running.push_back({run.first.task, run.first.number, "", 100, 0});
        this->scheduler.leaseUntil(id, this->now);
        this->scheduler.report(report, this->now, this->now);
    }

    void reportAll()
    {
        std::vector<std::string> ids;
        for (const auto &entry : this->scheduler.workers()) {
            if (entry.second.listed)
                ids.push_back(entry.first);
        }
        for (const auto &id : ids)
            this->report(id);
    }

    /// Adds a job with one step and starts its tasks.
    void addRunningJob(const std::string &queue, std::size_t tasks, std::int64_t cpu,
                       bool lasting = false)
    {
        jobs::StepSpec step;
        step.count = tasks;
        step.need = {cpu, 10, 0};
        step.lasting = lasting;
        step.perVmLimit = lasting ? 1 : 0;
        step.maxUnavailable = lasting ? 1 : 0;
        this->addJob(queue, step);
        this->startAll();
    }

    /// Adds a job with one step, whose tasks are expected to take a second.
    void addJob(const std::string &queue, jobs::StepSpec step)
    {
        step.estimate = 1s;
        const auto *found = this->scheduler.configuration().findQueue(queue);
        this->scheduler.addJob(std::make_unique<Job>("j" + std::to_string(++this->jobCount),
                                                     jobs::JobSpec{"", {step}, 0, 0, 0ms},
                                                     found->terms, this->now));
    }

    /// Ends the runs of a worker, except for `left` of them.
    void endRunsExcept(const std::string &id, std::size_t left)
    {
        const auto *worker = this->scheduler.findWorker(id);
        WorkerReport report{id, worker->listing.born, 1000 + (this->now - start) / 1ms, {}, {}};
        std::int64_t number = 0;
        for (const auto &run : worker->runs) {
            if (report.running.size() < left)
                report.running.push_back({run.first.task, run.first.number, "", 100, 0});
            else
                report.ended.push_back(
                    {++number, run.first.task, run.first.number, jobs::RunEnd::Done, ""});
        }
        this->scheduler.report(report, this->now, this->now);
    }

    void startAll()
    {
        for (const auto &order : this->scheduler.plan(this->now, 0).starts)
            this->scheduler.startAnswered(order, OrderAnswer::Accepted, this->now);
    }

    std::vector<FleetOrder> plan()
    {
        return this->planner.plan(this->scheduler, this->now, 0);
    }

    std::size_t count(const std::vector<FleetOrder> &orders, FleetAction action,
                      const std::string &pool = "")
    {
        std::size_t result = 0;
        for (const auto &order : orders)
            result += order.action == action && (pool.empty() || order.pool == pool) ? 1 : 0;
        return result;
    }

    Instant now = start;
    std::int64_t incarnationCount = 100;
    std::size_t jobCount = 0;
    std::vector<Vm> vms;
    Scheduler scheduler;
    FleetPlanner planner;
};

} // namespace sassafrasferry::scheduling
