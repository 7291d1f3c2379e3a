// measure-fleet: simulates maintenance waves and VM moves between pools on a virtual clock and
// compares the planners with simple baselines. Prints one table of waves, for two deployments, and
// one of moves. Starts no processes and opens no sockets.
#include <sassafrasferry/policy/capacity_planner.h>
#include <sassafrasferry/policy/wave_planner.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

// ---- maintenance waves

enum class WavePolicy { Planner, OneAtATime, FixedTenth };

struct Deployment
{
    std::string name;
    std::vector<std::size_t> pools; // number of VMs by pool
    std::size_t spare = 6;
    double availability = 0.8;
    Duration drain; // mean time until a VM is empty
    Duration maintenance = 10min;
    FleetWeights weights;
};

struct WaveFigures
{
    double rollOutHours = 0;
    double bufferVmHours = 0;
    double moves = 0;
    double overBudgetSeconds = 0; // time for which drains exceeded the budget
    double belowRequiredSeconds = 0; // time with fewer VMs in service than required, for any cause
};

struct SimulatedVm
{
    WaveVm vm;
    Duration until{}; // end of the current state
};

// Simulates one pool during a wave, with random VM failures and the loss of one rack.
class PoolSimulation
{
public:
    PoolSimulation(const Deployment &deployment, std::size_t size, WavePolicy policy, unsigned seed)
        : deployment(deployment)
        , policy(policy)
        , random(seed)
    {
        constexpr std::size_t perRack = 4;
        for (std::size_t i = 0; i < size; ++i) {
            const auto rack = std::to_string(i % perRack) + std::to_string(i / (4 * perRack));
            this->vms.push_back({{"w" + std::to_string(100 + i), "dc" + std::to_string(i % 4),
                                  "r" + rack, WaveVmState::Pending},
                                 {}});
        }
        this->pool.availability = deployment.availability;
        const auto budget = budgetOf(size, deployment.availability, 0);
        this->required = budget.required;
        if (policy == WavePolicy::Planner)
            this->pool.borrowed = chooseBorrowed(budget, deployment.spare, deployment.maintenance,
                                                 deployment.weights);
    }

    WaveFigures run()
    {
        constexpr auto step = 5s;
        constexpr auto longest = 48h;
        while (this->now < longest && !this->isDone()) {
            this->now += step;
            this->failAndRecover(step);
            this->startDrains();
            this->recordStep(step);
        }
        this->figures.rollOutHours = seconds(this->now) / 3600;
        this->figures.bufferVmHours =
            static_cast<double>(this->pool.borrowed) * this->figures.rollOutHours;
        this->figures.moves = 2.0 * static_cast<double>(this->pool.borrowed);
        return this->figures;
    }

private:
    bool isDone() const
    {
        return std::all_of(this->vms.begin(), this->vms.end(),
                           [](const SimulatedVm &vm) { return vm.vm.state == WaveVmState::Done; });
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    void failAndRecover(Duration step)
    {
        // A VM fails about every 70 days; a rack is lost for 20 minutes once in each wave.
        const double failure = seconds(step) / (70.0 * 86400);
        const bool losesRack = !this->hasLostRack && this->now >= 25min;
        for (auto &vm : this->vms) {
            const bool inService =
                vm.vm.state == WaveVmState::Pending || vm.vm.state == WaveVmState::Done;
            if (inService && (this->uniform() < failure || (losesRack && vm.vm.rack == "r20"))) {
                vm.vm.state = vm.vm.state == WaveVmState::Pending ? WaveVmState::Failed
                                                                  : WaveVmState::BackFailing;
                vm.until = this->now + 20min;
            } else if (!inService && this->now >= vm.until) {
                this->advance(vm);
            }
        }
        this->hasLostRack = this->hasLostRack || losesRack;
    }

    void advance(SimulatedVm &vm)
    {
        switch (vm.vm.state) {
        case WaveVmState::Draining:
            vm.vm.state = WaveVmState::InMaintenance;
            vm.until = this->now + this->deployment.maintenance;
            break;
        case WaveVmState::Failed:
            vm.vm.state = WaveVmState::Pending;
            break;
        default:
            vm.vm.state = WaveVmState::Done;
            break;
        }
    }

    std::size_t outOfServiceCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->vms.begin(), this->vms.end(), [](const SimulatedVm &vm) {
                return vm.vm.state != WaveVmState::Pending && vm.vm.state != WaveVmState::Done;
            }));
    }

    std::vector<std::string> nextDrains()
    {
        if (this->policy == WavePolicy::Planner) {
            this->pool.vms.clear();
            for (const auto &vm : this->vms) {
                this->pool.vms.push_back(vm.vm);
                // The simulated failures are not caused by maintenance, so they must not stop the
                // wave.
                if (vm.vm.state == WaveVmState::BackFailing)
                    this->pool.vms.back().state = WaveVmState::Failed;
            }
            return planWave(this->pool).drain;
        }
        const auto planned = static_cast<std::size_t>(
            std::count_if(this->vms.begin(), this->vms.end(), [](const SimulatedVm &vm) {
                return vm.vm.state == WaveVmState::Draining
                       || vm.vm.state == WaveVmState::InMaintenance;
            }));
        const double tenth = std::ceil(static_cast<double>(this->vms.size()) / 10);
        const auto maxPlanned =
            this->policy == WavePolicy::OneAtATime ? 1 : static_cast<std::size_t>(tenth);
        std::vector<std::string> names;
        for (const auto &vm : this->vms) {
            if (vm.vm.state == WaveVmState::Pending && planned + names.size() < maxPlanned)
                names.push_back(vm.vm.name);
        }
        return names;
    }

    void startDrains()
    {
        for (const auto &name : this->nextDrains()) {
            for (auto &vm : this->vms) {
                if (vm.vm.name != name)
                    continue;
                vm.vm.state = WaveVmState::Draining;
                const double drainFactor = 0.5 + this->uniform();
                vm.until = this->now + fromSeconds(seconds(this->deployment.drain) * drainFactor);
            }
            if (this->outOfServiceCount() > this->outOfServiceLimit())
                this->isOverBudget = true;
        }
    }

    std::size_t outOfServiceLimit() const
    {
        return this->vms.size() + this->pool.borrowed - this->required;
    }

    void recordStep(Duration step)
    {
        const auto isBelowRequired = this->outOfServiceCount() > this->outOfServiceLimit();
        if (isBelowRequired)
            this->figures.belowRequiredSeconds += seconds(step);
        if (isBelowRequired && this->isOverBudget)
            this->figures.overBudgetSeconds += seconds(step);
        this->isOverBudget = this->isOverBudget && isBelowRequired;
    }

    const Deployment &deployment;
    WavePolicy policy;
    std::minstd_rand random;
    std::vector<SimulatedVm> vms;
    WavePool pool;
    std::size_t required = 0;
    Duration now{};
    bool hasLostRack = false;
    bool isOverBudget = false; // since a drain exceeded the budget, until the pool has recovered
    WaveFigures figures;
};

void printWaves(const Deployment &deployment)
{
    struct Row
    {
        const char *name;
        WavePolicy policy;
    };
    constexpr int seeds = 20;
    for (const auto &row :
         {Row{"planner", WavePolicy::Planner}, Row{"one at a time", WavePolicy::OneAtATime},
          Row{"10% at a time", WavePolicy::FixedTenth}}) {
        WaveFigures sum;
        double longest = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            double slowest = 0;
            for (std::size_t i = 0; i < deployment.pools.size(); ++i) {
                PoolSimulation wave(deployment, deployment.pools[i], row.policy,
                                    seed * 100 + static_cast<unsigned>(i));
                const auto figures = wave.run();
                slowest = std::max(slowest, figures.rollOutHours);
                sum.bufferVmHours += figures.bufferVmHours;
                sum.moves += figures.moves;
                sum.overBudgetSeconds += figures.overBudgetSeconds;
                sum.belowRequiredSeconds += figures.belowRequiredSeconds;
            }
            sum.rollOutHours += slowest;
            longest = std::max(longest, slowest);
        }
        std::printf("| %s | %s | %.2f | %.2f | %.1f | %.1f | %.0f | %.0f |\n",
                    deployment.name.c_str(), row.name, sum.rollOutHours / seeds, longest,
                    sum.bufferVmHours / seeds, sum.moves / seeds, sum.overBudgetSeconds / seeds,
                    sum.belowRequiredSeconds / seeds);
    }
}

// ---- moves between pools

struct MoveFigures
{
    double moves = 0;
    double served = 0; // share of the offered work that was served
    double bufferVmHours = 0; // VM hours borrowed from the spare pool
};

// Simulates a day of five pools that have their peak demand in turn, and a spare pool of six VMs.
MoveFigures simulateMoves(MovePolicy policy, Duration phaseLength, unsigned seed)
{
    constexpr std::size_t pools = 5;
    constexpr double poolVms = 10;
    constexpr double spareVms = 6;
    constexpr auto step = 1s;
    // Mean demand as a share of the pool's capacity; the demand is five times as high at its peak.
    constexpr double mean = 0.3;
    CapacityTimes times;
    std::minstd_rand random(seed);
    std::vector<CapacityPlanner> planners(pools, CapacityPlanner(policy, times));
    std::vector<double> borrowed(pools, 0);
    struct Arrival
    {
        Duration at;
        std::size_t pool;
        double vms;
    };
    std::vector<Arrival> arrivals;
    std::vector<double> servingBorrowed(pools, 0); // borrowed VMs that have arrived
    double free = spareVms;
    MoveFigures figures;
    double offered = 0;
    double served = 0;
    for (Duration now{}; now < 24h; now += step) {
        const auto current = static_cast<std::size_t>(now / phaseLength) % (pools + 1);
        std::erase_if(arrivals, [&](const Arrival &arrival) {
            if (arrival.at > now)
                return false;
            if (arrival.vms > 0)
                servingBorrowed[arrival.pool] += arrival.vms;
            else
                free -= arrival.vms;
            return true;
        });
        for (std::size_t i = 0; i < pools; ++i) {
            const double noise = std::uniform_real_distribution<double>(0.9, 1.1)(random);
            const double factor = i == current ? 5 : i + 1 == current ? 0.05 : 1;
            const double demand = mean * factor * noise * poolVms;
            offered += demand;
            served += std::min(demand, poolVms + servingBorrowed[i]);
            const auto wish = planners[i].observe(
                demand / poolVms, static_cast<std::size_t>(borrowed[i]), Instant(now));
            const double wanted = std::ceil(std::max(0.0, demand - poolVms));
            if (wish == MoveWish::Borrow && free > 0 && borrowed[i] < wanted) {
                const double vms = std::min(free, wanted - borrowed[i]);
                free -= vms;
                borrowed[i] += vms;
                figures.moves += vms;
                arrivals.push_back({now + times.move, i, vms});
            } else if (wish == MoveWish::Return && servingBorrowed[i] > 0) {
                figures.moves += servingBorrowed[i];
                arrivals.push_back({now + times.move, i, -servingBorrowed[i]});
                borrowed[i] -= servingBorrowed[i];
                servingBorrowed[i] = 0;
            }
            figures.bufferVmHours += borrowed[i] * seconds(step) / 3600;
        }
    }
    figures.served = served / offered;
    return figures;
}

void printMoves()
{
    for (const auto phaseLength : {Duration(60s), Duration(300s), Duration(1800s)}) {
        for (const auto &row : enumNames(MovePolicy{})) {
            const auto figures = simulateMoves(row.value, phaseLength, 1);
            std::printf("| %.0f s | %s | %.0f | %.4f | %.1f |\n", seconds(phaseLength),
                        std::string(row.name).c_str(), figures.moves, figures.served,
                        figures.bufferVmHours);
        }
    }
}

} // namespace

int main()
{
    // Deployment sizes that the users name: five services of 8 to 12 workers, and the spare pool.
    Deployment bramblewick;
    bramblewick.name = "Bramblewick";
    bramblewick.pools = {8, 9, 10, 11, 12};
    bramblewick.drain = 30s;
    bramblewick.weights = {1, 10, 1};
    Deployment brothline;
    brothline.name = "Brothline";
    brothline.pools = {8, 9, 10, 11, 12};
    brothline.drain = 10min; // simulation jobs run to their end before the VM is empty
    brothline.weights = {10, 1, 0.1};
    std::printf("| deployment | policy | roll-out h, mean | roll-out h, longest | buffer VM h | "
                "VM moves | s over budget by drains | s below promise |\n"
                "|---|---|---|---|---|---|---|---|\n");
    printWaves(bramblewick);
    printWaves(brothline);
    std::printf("\n| turn of demand | moves | VM moves a day | work served | buffer VM h |\n"
                "|---|---|---|---|---|\n");
    printMoves();
    return 0;
}
