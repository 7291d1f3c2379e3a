// Simulates a fleet with a borrowing pool, a spare pool that lends, and two entry VMs of which one
// reads the rows late, on a virtual clock. Checks the invariants after every step.
#pragma once

#include "fleet_world.h"

#include <sassafrasferry/fakes/run.h>

#include <array>
#include <string>
#include <vector>

namespace sassafrasferry::fleet {

constexpr std::size_t poolSize = 8;
constexpr std::size_t spareSize = 4;
constexpr std::size_t poolMaxOut = 2; // 75 % of eight stay in service
constexpr std::size_t spareMaxOut = 3; // 25 % of four stay in service
constexpr int maxSteps = 400;

inline model::Pool pool(const std::string &name, std::size_t size)
{
    model::Pool result{name, "s", name == "reserve", {}};
    for (std::size_t i = 0; i < size; ++i) {
        model::Vm vm;
        vm.name = name + std::to_string(i);
        vm.dataCentre = "dc" + std::to_string(i / 2);
        vm.rack = name + "r" + std::to_string(i / 2);
        result.vms.push_back(vm);
    }
    return result;
}

inline model::Document lendingDocument()
{
    model::Document result;
    result.revision = 1;
    result.pools = {pool("p", poolSize), pool("reserve", spareSize)};
    model::Service service;
    service.name = "x";
    service.pool = "p";
    service.overflow = "reserve";
    result.services.push_back(service);
    service.name = "archive";
    service.pool = "reserve";
    service.overflow = "";
    service.availability = 0.25;
    result.services.push_back(service);
    model::Wave wave;
    wave.name = "weekly";
    wave.pools = {"p"};
    result.waves.push_back(wave);
    model::Lending lending;
    lending.weights = {100, 1, 0.1}; // roll-out has the highest weight, so that the wave borrows
    lending.demand = model::MovePolicy::Always;
    result.lending = lending;
    return result;
}

/// An entry VM, with the rows that it last read.
struct Entry
{
    std::int64_t version = store::absent;
    std::vector<VmRow> rows;

    // The pool in which this entry VM uses the VM; empty if it does not use it.
    std::string poolOf(const std::string &vm, const std::string &home) const
    {
        for (const auto &row : this->rows) {
            if (row.name == vm)
                return row.state == VmState::Lent ? row.pool : "";
        }
        return home;
    }
};

/// The simulated fleet.
class LoanWorld
{
public:
    using Runner = WaveRunner<FaultyTables, FaultyVms>;

    LoanWorld()
    {
        for (const auto &item : this->fleet.pools) {
            for (const auto &vm : item.vms)
                this->vms.vms[vm.name] = {};
        }
        this->tables.commitNow({{}, {{fleetHeadKey(), Json::object()}}, {}});
        this->takeOver();
        for (auto &entry : this->entries)
            this->refresh(entry);
    }

    void startWave()
    {
        this->tables.commitNow(
            {{}, {{waveKey("weekly"), toJson(WaveRow{})}, {fleetHeadKey(), Json::object()}}, {}});
    }

    void takeOver()
    {
        this->fence = takeLease(this->tables, this->epoch);
    }

    void step(CallFaults &faults, store::Condition stepFence)
    {
        FaultyTables faultyTables{this->tables, faults};
        FaultyVms faultyVms{this->vms, faults};
        Runner runner(faultyTables, faultyVms, [](const FleetDecision &) {});
        FleetView view{this->fleet, this->failed, 1, ++this->now};
        view.minEntryFleetVersion = this->entries[0].version;
        if (!this->isSecondSilent)
            view.minEntryFleetVersion =
                std::min(view.minEntryFleetVersion, this->entries[1].version);
        view.busy = this->busy;
        view.wishes = this->wishes;
        boost::asio::io_context context(1);
        (void)fakes::run(context, runner.step(view, stepFence));
        this->check();
    }

    // Advances the platform by one tick and refreshes the entry VMs; the second one reads late.
    void pass()
    {
        this->vms.tick();
        this->refresh(this->entries[0]);
        if (this->now % 3 == 0 && !this->isSecondSilent)
            this->refresh(this->entries[1]);
        this->check();
    }

    void steps(int count)
    {
        CallFaults none;
        for (int i = 0; i < count; ++i) {
            this->step(none, this->fence);
            this->pass();
        }
    }

    bool isFinished() const
    {
        const auto wave = this->tables.readNow({waveKey("weekly")});
        return waveFrom(wave.at(0))->state == WaveState::Finished && this->rows().empty();
    }

    // Runs until the wave has finished and every loan is returned. `faults` hit the first process.
    std::string finish(CallFaults &faults)
    {
        faults.whilePaused = [&] {
            this->takeOver();
            this->steps(4);
        };
        runToEnd(*this, faults, maxSteps);
        if (this->failure.empty() && !this->isFinished())
            this->failure = "the wave does not finish, or a loan is not returned";
        return this->failure;
    }

    std::size_t out() const
    {
        return this->budget("p").out.size();
    }

    std::size_t lent() const
    {
        return this->budget("p").borrowed.size();
    }

    std::vector<VmRow> rows() const
    {
        std::vector<VmRow> rows;
        for (const auto &row : this->tables.scanNow({"vms", ""}))
            rows.push_back(*vmFrom(row));
        return rows;
    }

    fakes::MemoryTables tables;
    FakeVms vms;
    model::Document fleet = lendingDocument();
    store::Condition fence;
    std::set<std::string> failed;
    std::set<std::string> busy;
    std::vector<policy::PoolWish> wishes;
    std::size_t maxOut = poolMaxOut; // limit for p, not counting borrowed VMs
    std::size_t maxLent = 0;
    bool isSecondSilent = false; // the late entry VM counts as dead, and reads nothing
    std::string failure; // the first violated invariant

private:
    BudgetRow budget(const std::string &name) const
    {
        const auto rows = this->tables.readNow({budgetKey(name)});
        return rows.empty() ? BudgetRow{name, {}, {}, 0} : *budgetFrom(rows[0]);
    }

    void refresh(Entry &entry)
    {
        entry.version = this->tables.readNow({fleetHeadKey()}).at(0).version;
        entry.rows = this->rows();
    }

    void fail(const std::string &what)
    {
        if (this->failure.empty())
            this->failure = what + " at step " + std::to_string(this->now);
    }

    void check()
    {
        const auto p = this->budget("p");
        this->maxLent = std::max(this->maxLent, p.borrowed.size());
        if (p.out.size() > this->maxOut + p.borrowed.size())
            this->fail("too many VMs of p are out");
        if (this->budget("reserve").out.size() > spareMaxOut)
            this->fail("too many VMs of the spare pool are out");
        for (const auto &item : this->fleet.pools) {
            for (const auto &vm : item.vms)
                this->checkVm(vm.name, item.name);
        }
    }

    void checkVm(const std::string &vm, const std::string &home)
    {
        const auto first = this->entries[0].poolOf(vm, home);
        const auto second = this->entries[1].poolOf(vm, home);
        if (!first.empty() && !second.empty() && first != second)
            this->fail(vm + " is used in " + first + " and in " + second);
        const bool isUsed = !first.empty() || !second.empty();
        if (isUsed && this->vms.vms[vm].report.phase != VmPhase::Serving)
            this->fail(vm + " is drained while an entry VM uses it");
    }

    std::array<Entry, 2> entries;
    std::int64_t epoch = 0;
    std::int64_t now = 0;
};

} // namespace sassafrasferry::fleet
