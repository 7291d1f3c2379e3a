// The `/metrics` page: process metrics in addition to the request metrics of `Metrics`.
#include "admin_api.h"

#include <fstream>

#include <unistd.h>

namespace sassafrasferry::entry {

namespace {

using http::Status;

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double processorSeconds(clockid_t clock)
{
    timespec spent{};
    clock_gettime(clock, &spent);
    constexpr double nanoseconds = 1e-9;
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * nanoseconds;
}

} // namespace

http::Response AdminApi::metrics() const
{
    const auto &link = this->control.link();
    const auto gauge = [](const char *name, const char *help, double value) {
        return MetricSample{name, help, "", "", value, false};
    };
    const auto counter = [](const char *name, const char *help, double value) {
        return MetricSample{name, help, "", "", value, true};
    };
    std::vector<MetricSample> samples{
        gauge("sassafrasferry_revision", "Document revision in force.",
              static_cast<double>(this->versions.current()->texts.revision)),
        gauge("sassafrasferry_resident_bytes", "Resident memory of the process.", residentBytes()),
        counter("sassafrasferry_control_cpu_seconds_total", "Processor time of the control thread.",
                processorSeconds(CLOCK_THREAD_CPUTIME_ID)),
        counter("sassafrasferry_cpu_seconds_total", "Processor time of the process.",
                processorSeconds(CLOCK_PROCESS_CPUTIME_ID)),
        counter("sassafrasferry_peer_sent_bytes_total", "Bytes of messages sent to peers.",
                static_cast<double>(link.sent().bytes)),
        counter("sassafrasferry_peer_sent_messages_total", "Messages sent to peers.",
                static_cast<double>(link.sent().messages)),
        counter("sassafrasferry_peer_received_bytes_total",
                "Bytes of messages received from peers.",
                static_cast<double>(link.received().bytes)),
        counter("sassafrasferry_store_sent_bytes_total",
                "Bytes sent to the platform's table service and VM list.",
                static_cast<double>(this->control.platformTraffic().sent)),
        counter("sassafrasferry_store_received_bytes_total",
                "Bytes received from the platform's table service and VM list.",
                static_cast<double>(this->control.platformTraffic().received)),
        counter("sassafrasferry_claim_transactions_total",
                "Store transactions that carried claims.",
                static_cast<double>(this->parts.store.transactions())),
        gauge("sassafrasferry_claims_left_over",
              "Claims being finished after their request was answered.",
              static_cast<double>(this->parts.pendingFollowUps))};
    const auto pools = this->parts.dispatcher.locked([](policy::Dispatcher &dispatcher) {
        return dispatcher.poolStatus(std::chrono::steady_clock::now());
    });
    for (const auto &pool : pools)
        samples.push_back({"sassafrasferry_pool_waiting", "Requests that wait, by pool.", "pool",
                           pool.name, static_cast<double>(pool.waiting), false});
    for (const auto &pool : pools)
        samples.push_back({"sassafrasferry_pool_in_use", "Slots in use by this entry VM.", "pool",
                           pool.name, static_cast<double>(pool.inUse), false});
    const auto teams = this->parts.dispatcher.locked([](policy::Dispatcher &dispatcher) {
        return dispatcher.teamStatus(std::chrono::steady_clock::now());
    });
    for (const auto &team : teams)
        samples.push_back({"sassafrasferry_team_processors",
                           "Processors that requests of a team with a quota hold here.", "team",
                           team.name, static_cast<double>(team.inUse), false});
    return http::textResponse(Status::ok, this->parts.metrics.exposition(samples));
}

} // namespace sassafrasferry::entry
