// Request counters and latencies of this entry VM, and their export in Prometheus format.
#pragma once

#include "../request/request_types.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sassafrasferry::entry {

/// A gauge or counter whose value is read at the time of a scrape.
struct MetricSample
{
    std::string name;
    std::string help;
    std::string labelName; ///< empty if there is no label
    std::string labelValue;
    double value = 0;
    bool isCounter = false;
};

/// Thread-safe metrics.
class Metrics
{
public:
    Metrics();

    void recordAnswer(model::RequestClass requestClass, const CallerAnswer &answer,
                      policy::Duration latency);
    void recordRoute(policy::RouteReason reason);
    void recordRun(policy::RunResult result);

    /// All metrics in the Prometheus text format.
    std::string exposition(const std::vector<MetricSample> &samples);

private:
    using Latency = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::extended_p_square>>;

    std::mutex mutex;
    std::vector<Latency> latencies; // of completed requests, in seconds; one for each class
    std::map<model::Outcome, std::uint64_t> outcomes;
    std::map<policy::RefusalReason, std::uint64_t> refusals;
    std::map<policy::RouteReason, std::uint64_t> routes;
    std::map<policy::RunResult, std::uint64_t> runs;
};

} // namespace sassafrasferry::entry
