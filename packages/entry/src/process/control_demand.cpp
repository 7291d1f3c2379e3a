// Measures demand and reports it to the holder of the control lease. The holder computes the number
// of VMs to lend to each pool.
#include "control.h"
#include "sleep.h"

#include <sassafrasferry/http/clock.h>

#include <algorithm>
#include <cmath>

namespace sassafrasferry::entry {

namespace {

namespace asio = boost::asio;
constexpr auto now = http::steadyNow;

constexpr auto demandPeriod = std::chrono::seconds(2);
constexpr double milliSlots = 1000;

} // namespace

bool Control::isDemandLendingEnabled() const
{
    const auto version = this->versions.current();
    const auto &lending = version->document.lending;
    return lending && lending->demand != model::MovePolicy::Never;
}

Awaitable<void> Control::demandLoop()
{
    asio::steady_timer timer(this->context);
    for (;;) {
        if (this->isDemandLendingEnabled())
            this->reportDemand();
        co_await sleepFor(timer, demandPeriod);
    }
}

void Control::reportDemand()
{
    const auto current = this->parts.dispatcher.locked(
        [](policy::Dispatcher &dispatcher) { return dispatcher.demand(now()); });
    if (this->holdsLease()) {
        this->demandAggregate.heard(this->settings.name, {current, true});
        return;
    }
    const auto live = this->parts.membership.locked(
        [](policy::Membership &membership) { return membership.live(now()).size(); });
    for (const auto &peer : this->settings.peers) {
        const auto state = this->parts.membership.locked(
            [&](policy::Membership &membership) { return membership.peer(peer.name); });
        if (!state || !state->holdsLease)
            continue;
        const auto report = this->demandReporter.due(current, peer.name, live);
        if (!report.isWhole && report.pools.empty())
            return;
        messages::Envelope envelope;
        auto &message = *envelope.mutable_demand();
        message.set_whole(report.isWhole);
        for (const auto &demand : report.pools) {
            message.add_pools(demand.pool);
            message.add_milli_slots(
                static_cast<std::uint32_t>(std::lround(demand.slots * milliSlots)));
        }
        this->peers.send(peer.name, envelope);
        return;
    }
}

void Control::receiveDemand(const std::string &sender, const messages::Demand &message)
{
    policy::DemandReport report{{}, message.whole()};
    for (int i = 0; i < message.pools_size() && i < message.milli_slots_size(); ++i)
        report.pools.push_back({message.pools(i), message.milli_slots(i) / milliSlots, 0});
    this->demandAggregate.heard(sender, report);
}

std::vector<policy::PoolLoad> Control::poolLoads() const
{
    const auto live = this->parts.membership.locked(
        [](policy::Membership &membership) { return membership.live(now()); });
    std::vector<policy::PoolLoad> loads;
    for (const auto &pool : this->table.pools) {
        policy::PoolLoad load{pool.name, this->demandAggregate.slots(pool.name, live), 0, 0, 0};
        for (const auto index : pool.workers) {
            const auto &worker = this->table.workers[index];
            const bool isOut = this->fleetSnapshot.unavailable.contains(worker.name)
                               || this->leavingVms.contains(worker.name);
            load.capacity += isOut ? 0 : worker.slots;
            load.slotsPerVm = std::max<double>(load.slotsPerVm, worker.slots);
        }
        for (const auto &placement : this->fleetSnapshot.placements)
            load.borrowed += placement.pool == pool.name ? 1 : 0;
        loads.push_back(std::move(load));
    }
    return loads;
}

std::vector<policy::PoolWish> Control::demandWishes()
{
    if (!this->isDemandLendingEnabled())
        return {};
    const auto version = this->versions.current();
    const auto &lending = *version->document.lending;
    if (!this->demandPlanner) {
        policy::CapacityTimes times;
        times.move = lending.move;
        times.steady = lending.steady;
        this->demandPlanner.emplace(lending.demand, times);
    }
    return this->demandPlanner->observe(this->poolLoads(), now());
}

} // namespace sassafrasferry::entry
