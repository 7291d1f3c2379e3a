// Acquires the control lease and does the work of its holder: waves, moves and deletion of old
// claims.
#include "control.h"
#include "sleep.h"

#include <sassafrasferry/http/clock.h>

#include <algorithm>

#include <glog/logging.h>

namespace sassafrasferry::entry {

namespace {

namespace asio = boost::asio;
using http::unixNow;
constexpr auto now = http::steadyNow;

constexpr auto leasePeriod = std::chrono::milliseconds(500);

} // namespace

Awaitable<void> Control::leaseLoop()
{
    asio::steady_timer timer(this->context);
    bool held = false;
    while (!this->isStopping) {
        co_await this->updateLease();
        if (this->holdsLease()) {
            auto view = this->fleetView();
            view.wishes = this->demandWishes();
            const auto status = co_await this->waves.step(view, this->lease.fence());
            if (!status.ok())
                LOG(WARNING) << "event=waves-failed " << status;
            // Every entry VM must know of a fleet change before its next step, so announce it now.
            if (std::exchange(this->fleetChanged, false))
                this->documentTimer.cancel();
            co_await this->sweepClaims();
        }
        if (!this->holdsLease())
            this->demandPlanner.reset();
        if (this->holdsLease() != held) {
            held = !held;
            this->parts.log.write(
                {"lease",
                 "",
                 {{"held", held ? "yes" : "no"}, {"epoch", std::to_string(this->leaseEpoch())}}});
        }
        co_await sleepFor(timer, leasePeriod);
    }
}

Awaitable<void> Control::updateLease()
{
    const bool isCutOff = this->parts.membership.locked(
        [](policy::Membership &membership) { return membership.cutOff(now()); });
    if (!isCutOff) {
        co_await this->lease.step(now);
        co_return;
    }
    // A holder that receives no heartbeats cannot learn that its peers know of a drain, so every
    // wave would stall until the partition ends. It releases the lease so that a
    // connected entry VM can take over.
    if (this->holdsLease())
        co_await this->lease.release();
}

Awaitable<void> Control::sweepClaims()
{
    const auto deleted = co_await this->sweeper.step(unixNow(), this->lease.fence());
    if (!deleted.ok()) {
        LOG(WARNING) << "event=claims-not-deleted " << deleted.status();
        co_return;
    }
    if (*deleted > 0)
        this->parts.log.write({"claims-deleted", "", {{"count", std::to_string(*deleted)}}});
}

Awaitable<absl::StatusOr<fleet::FleetRows>> Control::fleetRows()
{
    return this->fleetStore.load();
}

Awaitable<store::Commit> Control::setWave(fleet::WaveRow wave)
{
    return this->fleetStore.setWave(std::move(wave), nullptr);
}

fleet::FleetView Control::fleetView()
{
    this->viewedVersion = this->versions.current();
    fleet::FleetView view{
        this->viewedVersion->document, {}, this->viewedVersion->texts.revision, unixNow()};
    for (const auto &name : this->leavingVms) {
        if (!this->fleetSnapshot.unavailable.contains(name))
            view.failed.insert(name);
    }
    view.minEntryFleetVersion = this->fleetSnapshot.version;
    const auto busyHere = this->busyDrainingVms();
    view.busy.insert(busyHere.begin(), busyHere.end());
    this->parts.membership.locked([&](policy::Membership &membership) {
        for (const auto &name : membership.live(now())) {
            const auto peer = membership.peer(name);
            if (!peer)
                continue;
            view.minEntryRevision = std::min(view.minEntryRevision, peer->revision);
            view.minEntryFleetVersion = std::min(view.minEntryFleetVersion, peer->fleetVersion);
            view.busy.insert(peer->busy.begin(), peer->busy.end());
        }
    });
    return view;
}

} // namespace sassafrasferry::entry
