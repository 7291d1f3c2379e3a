// Carries waves and moves on, one step at a time. It keeps nothing between steps: each reads the
// rows and the platform's word, and does what is due, so that whoever holds the control lease next
// goes on where the last holder stopped.
#pragma once

#include <sassafrasferry/fleet/fleet_store.h>
#include <sassafrasferry/fleet/vm_control.h>
#include <sassafrasferry/model/document.h>
#include <sassafrasferry/policy/wave_planner.h>

#include <functional>
#include <set>

namespace sassafrasferry::fleet {

/// What a step knows of the world around it.
struct FleetView
{
    const model::Document &document;
    std::set<std::string> failed; ///< VMs out of service that no wave took out
    std::int64_t revisionEverywhere = 0; ///< the lowest revision of any live entry VM
    std::int64_t now = 0; ///< Unix milliseconds; numbers orders
};

/// A decision of the runner, for the log.
struct FleetDecision
{
    std::string event;
    std::string subject; ///< the VM or the wave
    std::string reason;
};

/// Runs waves and moves.
template<platform::TableService Tables, VmControl Control>
class WaveRunner
{
public:
    using Log = std::function<void(const FleetDecision &)>;

    WaveRunner(Tables &tables, Control &control, Log log)
        : store(tables)
        , control(control)
        , log(std::move(log))
    {}

    /// One step. `fence`: the control lease's condition.
    Awaitable<absl::Status> step(const FleetView &view, platform::Condition fence)
    {
        auto rows = co_await this->store.load();
        if (!rows.ok())
            co_return rows.status();
        for (const auto &vm : rows->vms)
            co_await this->advance(vm, view, fence);
        // What has just returned changed its rows; the next plan must rest on them.
        rows = co_await this->store.load();
        if (!rows.ok())
            co_return rows.status();
        for (const auto &wave : rows->waves) {
            if (wave.state == WaveState::Running)
                co_await this->plan(wave, *rows, view, fence);
        }
        co_return absl::OkStatus();
    }

private:
    // An order that failed is given again by the next step.
    void noteOrder(const std::string &vm, const absl::Status &status)
    {
        if (!status.ok())
            this->log({"order-failed", vm, std::string(status.message())});
    }

    Awaitable<void> advance(VmRow vm, const FleetView &view, platform::Condition fence)
    {
        const auto report = co_await this->control.report(vm.name);
        if (!report.ok())
            co_return;
        switch (vm.state) {
        case VmState::Draining:
            co_await this->advanceDraining(vm, view, *report, fence);
            break;
        case VmState::InMaintenance:
        case VmState::BackFailing:
            co_await this->advanceMaintenance(vm, *report, fence);
            break;
        }
    }

    Awaitable<void> advanceDraining(VmRow vm, const FleetView &view, VmReport report,
                                    platform::Condition fence)
    {
        if (report.drainedOrder < vm.order) {
            this->noteOrder(vm.name, co_await this->control.drain(vm.name, vm.order));
            co_return;
        }
        if (!vm.target.empty()) {
            // An entry VM that has not adopted the move yet would still use it in the old pool.
            const bool isKnown = view.revisionEverywhere >= vm.revision;
            if (report.phase == VmPhase::Empty && isKnown)
                this->noteOrder(vm.name, co_await this->control.resume(vm.name, vm.order));
            if (report.phase == VmPhase::Serving && isKnown)
                co_await this->giveBack(vm, "moved to " + vm.target, fence);
            co_return;
        }
        if (report.phase == VmPhase::Draining)
            co_return;
        vm.state = VmState::InMaintenance;
        const auto commit = co_await this->store.advance(vm, fence);
        if (commit.state == platform::CommitState::Committed)
            this->noteOrder(vm.name, co_await this->control.maintain(vm.name, vm.order));
    }

    Awaitable<void> advanceMaintenance(VmRow vm, VmReport report, platform::Condition fence)
    {
        if (report.maintainedOrder < vm.order) {
            if (report.phase != VmPhase::Maintaining)
                this->noteOrder(vm.name, co_await this->control.maintain(vm.name, vm.order));
            co_return;
        }
        if (report.phase != VmPhase::Serving)
            co_return;
        if (!report.isFailing) {
            co_await this->giveBack(vm, "maintained", fence);
        } else if (vm.state != VmState::BackFailing) {
            vm.state = VmState::BackFailing;
            const auto commit = co_await this->store.advance(vm, fence);
            if (commit.state == platform::CommitState::Committed)
                this->log({"vm-back-failing", vm.name, "its check fails after maintenance"});
        }
    }

    Awaitable<void> giveBack(VmRow vm, std::string why, platform::Condition fence)
    {
        // Rows may have changed since they were read, by the returns before this one.
        const auto fresh = co_await this->store.load();
        if (!fresh.ok())
            co_return;
        const WaveRow *wave = nullptr;
        for (const auto &row : fresh->waves) {
            if (row.name == vm.wave)
                wave = &row;
        }
        const auto budget = fresh->budget(vm.pool);
        const auto commit = co_await this->store.returned(vm, budget, wave, fence);
        if (commit.state == platform::CommitState::Committed)
            this->log({"vm-in-service", vm.name, why});
    }

    static policy::WaveVmState stateOf(const std::string &name, const WaveRow &wave,
                                       const FleetRows &rows, const FleetView &view)
    {
        if (const auto *row = rows.vm(name)) {
            switch (row->state) {
            case VmState::Draining:
                return policy::WaveVmState::Draining;
            case VmState::InMaintenance:
                return policy::WaveVmState::InMaintenance;
            case VmState::BackFailing:
                return policy::WaveVmState::BackFailing;
            }
        }
        if (view.failed.contains(name))
            return policy::WaveVmState::Failed;
        const bool isDone = std::find(wave.done.begin(), wave.done.end(), name) != wave.done.end();
        return isDone ? policy::WaveVmState::Done : policy::WaveVmState::Pending;
    }

public:
    /// A pool as the planner sees it. Also used to show a wave's progress.
    static policy::WavePool poolOf(const model::Pool &pool, const model::Wave &wave,
                                   const WaveRow &row, const FleetRows &rows, const FleetView &view)
    {
        policy::WavePool result;
        result.name = pool.name;
        result.availability = 0;
        result.haltAfter = static_cast<std::size_t>(wave.haltAfter);
        for (const auto &service : view.document.services) {
            if (service.pool == pool.name)
                result.availability = std::max(result.availability, service.availability);
        }
        for (const auto &vm : pool.vms)
            result.vms.push_back(
                {vm.name, vm.dataCentre, vm.rack, stateOf(vm.name, row, rows, view)});
        return result;
    }

private:
    Awaitable<void> plan(WaveRow row, const FleetRows &rows, const FleetView &view,
                         platform::Condition fence)
    {
        const auto &waves = view.document.waves;
        const auto wave = std::find_if(waves.begin(), waves.end(), [&](const model::Wave &item) {
            return item.name == row.name;
        });
        if (wave == waves.end())
            co_return;
        bool isFinished = true;
        std::string reason;
        for (const auto &name : wave->pools) {
            const auto *pool = view.document.pool(name);
            if (!pool)
                continue;
            const auto step = policy::planWave(poolOf(*pool, *wave, row, rows, view));
            isFinished = isFinished && step.verdict == policy::WaveVerdict::Finished;
            if (step.verdict == policy::WaveVerdict::Halted) {
                row.state = WaveState::Halted;
                reason = name + ": " + step.reason;
                break;
            }
            if (step.verdict != policy::WaveVerdict::Finished)
                reason += (reason.empty() ? "" : "; ") + name + ": " + step.reason;
            co_await this->drain(step.drain, name, row, rows, view, fence);
        }
        if (isFinished)
            row.state = WaveState::Finished;
        if (row.state == WaveState::Running && row.reason == reason)
            co_return;
        row.reason = reason;
        const auto commit = co_await this->store.setWave(row, &fence);
        if (commit.state == platform::CommitState::Committed)
            this->log({"wave-" + std::string(model::nameOf(row.state)), row.name, reason});
    }

    Awaitable<void> drain(std::vector<std::string> names, std::string pool, WaveRow wave,
                          const FleetRows &rows, const FleetView &view, platform::Condition fence)
    {
        auto budget = rows.budget(pool);
        for (const auto &name : names) {
            VmRow vm;
            vm.name = name;
            vm.pool = pool;
            vm.wave = wave.name;
            vm.order = view.now;
            const auto commit = co_await this->store.permit(vm, budget, fence);
            if (commit.state != platform::CommitState::Committed)
                co_return; // the next step reads what stands
            budget.out.push_back(name);
            budget.version = commit.version;
            this->log({"drain", name, "wave " + wave.name});
            this->noteOrder(name, co_await this->control.drain(name, vm.order));
        }
    }

    FleetStore<Tables> store;
    Control &control;
    Log log;
};

} // namespace sassafrasferry::fleet
