// Collects metrics with Boost.Accumulators and serialises them with prometheus-cpp.
#include "metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace sassafrasferry::entry {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};

template<typename Enum>
prometheus::MetricFamily countersOf(const std::string &name, const std::string &help,
                                    const std::string &label,
                                    const std::map<Enum, std::uint64_t> &counts)
{
    prometheus::MetricFamily family;
    family.name = name;
    family.help = help;
    family.type = prometheus::MetricType::Counter;
    for (const auto &row : enumNames(Enum{})) {
        prometheus::ClientMetric metric;
        metric.label.push_back({label, std::string(row.name)});
        const auto at = counts.find(row.value);
        metric.counter.value = at == counts.end() ? 0 : static_cast<double>(at->second);
        family.metric.push_back(std::move(metric));
    }
    return family;
}

prometheus::MetricFamily familyOf(const MetricSample &sample)
{
    prometheus::MetricFamily family;
    family.name = sample.name;
    family.help = sample.help;
    family.type =
        sample.isCounter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
    return family;
}

prometheus::ClientMetric metricOf(const MetricSample &sample)
{
    prometheus::ClientMetric metric;
    if (!sample.labelName.empty())
        metric.label.push_back({sample.labelName, sample.labelValue});
    if (sample.isCounter)
        metric.counter.value = sample.value;
    else
        metric.gauge.value = sample.value;
    return metric;
}

} // namespace

Metrics::Metrics()
{
    for (std::size_t i = 0; i < model::requestClassCount; ++i)
        this->latencies.emplace_back(accumulators::extended_p_square_probabilities = quantiles);
}

void Metrics::recordAnswer(model::RequestClass requestClass, const CallerAnswer &answer,
                           policy::Duration latency)
{
    const std::lock_guard lock(this->mutex);
    ++this->outcomes[answer.outcome];
    if (answer.reason == AnswerReason::Refused)
        ++this->refusals[answer.refusal];
    if (answer.outcome == model::Outcome::Completed)
        this->latencies[static_cast<std::size_t>(requestClass)](policy::seconds(latency));
}

void Metrics::recordRoute(policy::RouteReason reason)
{
    const std::lock_guard lock(this->mutex);
    ++this->routes[reason];
}

void Metrics::recordRun(policy::RunResult result)
{
    const std::lock_guard lock(this->mutex);
    ++this->runs[result];
}

std::string Metrics::exposition(const std::vector<MetricSample> &samples)
{
    std::vector<prometheus::MetricFamily> families;
    {
        const std::lock_guard lock(this->mutex);
        families.push_back(countersOf("sassafrasferry_answers_total", "Answers by outcome.",
                                      "outcome", this->outcomes));
        families.push_back(countersOf("sassafrasferry_refusals_total", "Refusals by reason.",
                                      "reason", this->refusals));
        families.push_back(countersOf("sassafrasferry_routes_total",
                                      "Requests given to workers, by why that worker.", "reason",
                                      this->routes));
        families.push_back(countersOf("sassafrasferry_runs_total",
                                      "Requests given to workers, by what became of them.",
                                      "result", this->runs));
        prometheus::MetricFamily latency;
        latency.name = "sassafrasferry_latency_seconds";
        latency.help = "Time from a request to its completed answer, by class.";
        latency.type = prometheus::MetricType::Summary;
        for (const auto &row : enumNames(model::RequestClass{})) {
            const auto &source = this->latencies[static_cast<std::size_t>(row.value)];
            prometheus::ClientMetric metric;
            metric.label.push_back({"class", std::string(row.name)});
            metric.summary.sample_count = accumulators::count(source);
            metric.summary.sample_sum = accumulators::sum(source);
            auto value = accumulators::extended_p_square(source).begin();
            for (const double quantile : quantiles)
                metric.summary.quantile.push_back({quantile, *value++});
            latency.metric.push_back(std::move(metric));
        }
        families.push_back(std::move(latency));
    }
    for (const auto &sample : samples) {
        if (families.back().name != sample.name)
            families.push_back(familyOf(sample));
        families.back().metric.push_back(metricOf(sample));
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace sassafrasferry::entry
