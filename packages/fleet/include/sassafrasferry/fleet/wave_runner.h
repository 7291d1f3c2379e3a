// Runs waves, moves and loans, one step at a time. It keeps no state between steps: each step reads
// the rows and the platform's reports and does what is due, so that the next holder of the control
// lease continues where the last one stopped.
#pragma once

#include <sassafrasferry/fleet/fleet_store.h>
#include <sassafrasferry/fleet/fleet_view.h>
#include <sassafrasferry/fleet/pool_view.h>
#include <sassafrasferry/fleet/vm_control.h>
#include <sassafrasferry/fleet/vm_lender.h>
#include <sassafrasferry/fleet/vm_mover.h>
#include <sassafrasferry/policy/wave_planner.h>

namespace sassafrasferry::fleet {

/// Reconciles the fleet with its waves, moves and loans.
template<store::TableService Tables, VmControl Control>
class WaveRunner
{
public:
    WaveRunner(Tables &tables, Control &control, FleetLog log)
        : store(tables)
        , log(std::move(log))
        , mover(this->store, control, this->log)
        , lender(this->store, this->log)
    {}

    WaveRunner(const WaveRunner &) = delete; // members hold references to other members
    WaveRunner &operator=(const WaveRunner &) = delete;

    /// Runs one step. `fence`: the condition of the control lease.
    Awaitable<absl::Status> step(const FleetView &view, store::Condition fence)
    {
        auto rows = co_await this->store.load();
        if (!rows.ok())
            co_return rows.status();
        for (const auto &vm : rows->vms)
            co_await this->mover.advance(vm, view, fence);
        // VMs that have just returned changed rows that the plans below depend on.
        rows = co_await this->store.load();
        if (!rows.ok())
            co_return rows.status();
        if (co_await this->lender.step(*rows, view, fence))
            co_return absl::OkStatus(); // the next step plans the waves from the changed rows
        for (const auto &wave : rows->waves) {
            if (wave.state == WaveState::Running)
                co_await this->plan(wave, *rows, view, fence);
        }
        co_return absl::OkStatus();
    }

private:
    Awaitable<void> plan(WaveRow row, const FleetRows &rows, const FleetView &view,
                         store::Condition fence)
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
            const auto step = policy::planWave(poolView(*pool, *wave, row, rows, view));
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
        if (commit.state == store::CommitState::Committed)
            this->log({"wave-" + std::string(model::nameOf(row.state)), row.name, reason});
    }

    Awaitable<void> drain(std::vector<std::string> names, std::string pool, WaveRow wave,
                          const FleetRows &rows, const FleetView &view, store::Condition fence)
    {
        auto budget = rows.budget(pool);
        for (const auto &name : names) {
            VmRow vm;
            vm.name = name;
            vm.pool = pool;
            vm.wave = wave.name;
            vm.order = view.now;
            vm.revision = view.document.revision;
            const auto commit = co_await this->store.permit(vm, budget, fence);
            if (commit.state != store::CommitState::Committed)
                co_return; // the next step plans from fresh rows
            budget.out.push_back(name);
            budget.version = commit.version;
            this->log({"drain", name, "wave " + wave.name});
        }
    }

    FleetStore<Tables> store;
    FleetLog log;
    VmMover<Tables, Control> mover;
    VmLender<Tables> lender;
};

} // namespace sassafrasferry::fleet
