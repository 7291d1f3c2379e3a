// The jobs, leaders and times of a `FaultSequenceSimulation`.
#pragma once

#include <sassafrasferry/scheduling/fleet_planner.h>

#include <map>
#include <string>
#include <vector>

namespace sassafrasferry::scheduling::tests {

using namespace std::chrono_literals;

struct FaultSequenceSetup
{
    static constexpr std::size_t vmCount = 3;
    static constexpr int tickCount = 120;
    static constexpr Duration tickTime = 100ms;
    static constexpr std::size_t lastingTasks = 2;
    static constexpr std::size_t maxUnavailable = 1;
    static constexpr std::uint32_t maxAttempts = 4;
    /// How long a leader may send orders after it lost the store.
    static constexpr Duration orderLimit = 6500ms;
    static constexpr Duration takeover = 1600ms; ///< until another leader starts
    static constexpr Duration holdWait = 1s; ///< until a hold is answered if no run ends
    static constexpr Duration retryDelay = 100ms; ///< until an unreachable worker is called again
    static constexpr Duration callTimeout = 800ms;
    static constexpr Duration holdDelay = 300ms;
    static constexpr Duration lateOrderDelay = 2500ms; ///< until a delayed order is executed
    static constexpr Duration downTime = 8s;
    static constexpr Duration partitionTime = 6s;
    /// Until a VM in maintenance has a new worker.
    static constexpr Duration maintenanceTime = 1500ms;
    static constexpr Duration listPeriod = 1s;
    static constexpr Duration plainTime = 2s; ///< run time of a task of the plain job
    /// Until a VM that became reachable again must be in use.
    static constexpr Duration rejoinTime = 2s;
    /// A leader may not know of restarts within this time before it was last confirmed.
    static constexpr Duration restartsMissed = 2s;

    struct SimLeader
    {
        SimLeader(std::int64_t fence, Instant now)
            : fence(fence)
            , scheduler(SchedulerTimes{}, fence * 1000, now)
            , planner(FleetPlannerOptions{})
            , confirmedAt(now)
        {
            this->scheduler.setLeadConfirmed(now);
        }

        void confirm(Instant now)
        {
            this->confirmedAt = now;
            this->scheduler.setLeadConfirmed(now);
            this->recordedRestarts = this->scheduler.restartedWorkers(now);
        }

        /// Takes over what the former leader wrote into the lease row.
        void inheritFrom(const SimLeader &former)
        {
            this->scheduler.inheritRestarts(former.recordedRestarts,
                                            former.confirmedAt - restartsMissed);
        }

        std::int64_t fence;
        Scheduler scheduler;
        FleetPlanner planner;
        bool alive = true;
        bool readsStore = true;
        bool writesStore = true;
        Instant confirmedAt;
        std::vector<RestartedWorker> recordedRestarts; // with its last confirmation
        Instant vmsListedAt{};
        std::map<std::string, Instant> nextHoldAt; // by worker: when the next hold is sent
    };

    static jobs::QueueTerms terms()
    {
        return {"q", "s", 0, maxAttempts, 2, 600ms};
    }

    static Configuration configuration()
    {
        Configuration configuration;
        configuration.version = 1;
        Queue queue;
        queue.terms = terms();
        configuration.queues.push_back(queue);
        configuration.services.push_back({"s", true, false});
        return configuration;
    }

    static Duration durationOf(const TaskId &task)
    {
        return task.job == "lasting" ? Duration(1h) : Duration(plainTime);
    }

    static jobs::StepSpec stepOf(bool lasting)
    {
        jobs::StepSpec step;
        step.count = lasting ? lastingTasks : 1;
        step.need = {1000, 100, 0};
        step.estimate = 1s;
        step.lasting = lasting;
        step.perVmLimit = lasting ? 1 : 0;
        step.maxUnavailable = lasting ? maxUnavailable : 0;
        return step;
    }
};

} // namespace sassafrasferry::scheduling::tests
