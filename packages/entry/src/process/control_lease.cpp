// What the holder of the control lease does: waves, moves, and the deletion of old claims.
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
    while (!this->stopping) {
        co_await this->lease.step(now);
        if (this->holdsLease()) {
            const auto view = this->fleetView();
            const auto status = co_await this->waves.step(view, this->lease.fence());
            if (!status.ok())
                LOG(WARNING) << "event=waves-failed " << status;
            co_await this->sweepClaims();
        }
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

Awaitable<platform::Commit> Control::setWave(fleet::WaveRow wave)
{
    return this->fleetStore.setWave(std::move(wave), nullptr);
}

fleet::FleetView Control::fleetView()
{
    this->viewed = this->versions.current();
    fleet::FleetView view{this->viewed->document, {}, this->viewed->texts.revision, unixNow()};
    for (const auto &name : this->listed) {
        if (!this->draining.contains(name))
            view.failed.insert(name);
    }
    this->parts.membership.locked([&](policy::Membership &membership) {
        for (const auto &name : membership.live(now())) {
            const auto peer = membership.peer(name);
            if (peer)
                view.revisionEverywhere = std::min(view.revisionEverywhere, peer->revision);
        }
    });
    return view;
}

} // namespace sassafrasferry::entry
