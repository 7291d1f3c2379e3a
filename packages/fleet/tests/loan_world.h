// A fleet with a pool that borrows and a spare pool that lends, on a virtual clock, and two entry
// VMs of which one reads the rows late. Checks at every moment what must hold.
#pragma once

#include "fleet_world.h"

#include <sassafrasferry/fakes/run.h>

#include <array>
#include <string>
#include <vector>

namespace sassafrasferry::fleet {

constexpr std::size_t poolSize = 8;
constexpr std::size_t spareSize = 4;
constexpr std::size_t poolMayBeOut = 2; // 0.75 of eight stay
constexpr std::size_t spareMayBeOut = 3; // 0.25 of four stay
constexpr int mostSteps = 400;

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
    lending.weights = {100, 1, 0.1}; // roll-out weighs most: borrows
    lending.demand = model::MovePolicy::Always;
    result.lending = lending;
    return result;
}

/// The pools in which an entry VM uses VMs, by the rows as it read them last.
struct Entry
{
    std::int64_t version = store::absent;
    std::vector<VmRow> rows;

    // Empty if it does not use the VM.
    std::string poolOf(const std::string &vm, const std::string &home) const
    {
        for (const auto &row : this->rows) {
            if (row.name == vm)
                return row.state == VmState::Lent ? row.pool : "";
        }
        return home;
    }
};

/// The world; `failure` names the first violated promise.
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
        FaultyTables tablesSeen{this->tables, faults};
        FaultyVms vmsSeen{this->vms, faults};
        Runner runner(tablesSeen, vmsSeen, [](const FleetDecision &) {});
        FleetView view{this->fleet, this->failed, 1, ++this->now};
        view.fleetVersionEverywhere = this->entries[0].version;
        if (!this->isSecondSilent)
            view.fleetVersionEverywhere =
                std::min(view.fleetVersionEverywhere, this->entries[1].version);
        view.busy = this->busy;
        view.wishes = this->wishes;
        boost::asio::io_context context(1);
        (void)fakes::run(context, runner.step(view, stepFence));
        this->check();
    }

    // Time passes: at the platform, and for entry VMs, the second of which reads late.
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

    bool isOver() const
    {
        const auto wave = this->tables.readNow({waveKey("weekly")});
        return waveFrom(wave.at(0))->state == WaveState::Finished && this->rows().empty();
    }

    // The wave to its end and every loan home, with the faults of the first process.
    std::string finish(CallFaults &faults)
    {
        faults.whilePaused = [&] {
            this->takeOver();
            this->steps(4);
        };
        carryThrough(*this, faults, mostSteps);
        if (this->failure.empty() && !this->isOver())
            this->failure = "the wave or its loans do not end";
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
    std::size_t mayBeOut = poolMayBeOut; // of p, without borrowed VMs
    std::size_t mostLent = 0;
    bool isSecondSilent = false; // the late entry VM counts as gone, and reads nothing
    std::string failure; // the first violated promise

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
        this->mostLent = std::max(this->mostLent, p.borrowed.size());
        if (p.out.size() > this->mayBeOut + p.borrowed.size())
            this->fail("too many of p are out");
        if (this->budget("reserve").out.size() > spareMayBeOut)
            this->fail("too many of the spare pool are away");
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
