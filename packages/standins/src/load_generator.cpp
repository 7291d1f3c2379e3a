// Generates the requests and tallies the answers.
#include <sassafrasferry/standins/load_generator.h>

#include <sassafrasferry/http/json.h>

#include <algorithm>
#include <cmath>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafrasferry::standins {

namespace {

namespace asio = boost::asio;
using http::Awaitable;
using http::ExchangeState;

constexpr int maxResends = 20;
constexpr std::chrono::milliseconds resendDelay{500};
// Time past the deadline after which a request counts as unanswered.
constexpr std::chrono::milliseconds answerTimeoutMargin{5000};

double millisecondsBetween(std::chrono::steady_clock::time_point a,
                           std::chrono::steady_clock::time_point b)
{
    return std::chrono::duration<double, std::milli>(b - a).count();
}

} // namespace

double quantileOf(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

LoadGenerator::LoadGenerator(asio::any_io_executor executor, LoadPlan plan)
    : executor(executor)
    , plan(std::move(plan))
    , random(this->plan.seed)
{
    for (const auto &entry : this->plan.entries) {
        http::Client::Options options;
        options.idleConnections = 512;
        this->clients.push_back(std::make_unique<http::Client>(executor, entry, options));
    }
}

// Probes one entry VM as the platform's load balancer does. Requests go to entry VMs whose health
// check passes, or to all of them if none passes.
Awaitable<void> LoadGenerator::probeHealth(std::size_t entry)
{
    constexpr std::chrono::milliseconds period{100};
    http::Client::Options options;
    http::Client prober(this->executor, this->plan.healthEndpoints[entry], options);
    asio::steady_timer timer(this->executor);
    while (!this->isFinished) {
        http::Request question{http::Verb::get, "/healthz", 11};
        const auto exchange = co_await prober.exchange(std::move(question), 5 * period);
        this->isHealthy[entry] = exchange.state == ExchangeState::Answered
                                 && exchange.response.result() == http::Status::ok;
        timer.expires_after(period);
        co_await timer.async_wait(asio::use_awaitable);
    }
    --this->openTasks;
}

http::Client &LoadGenerator::pickClient()
{
    std::vector<std::size_t> choices;
    for (std::size_t i = 0; i < this->clients.size(); ++i) {
        if (this->isHealthy[i])
            choices.push_back(i);
    }
    if (choices.empty())
        return *this->clients[this->random() % this->clients.size()];
    return *this->clients[choices[this->random() % choices.size()]];
}

bool LoadGenerator::isInSurge(std::size_t service, Clock::time_point at) const
{
    const auto phase = static_cast<std::size_t>((at - this->begin) / this->plan.phaseLength);
    return phase == service;
}

double LoadGenerator::rateOf(std::size_t service, Clock::time_point at) const
{
    const auto phase = static_cast<std::size_t>((at - this->begin) / this->plan.phaseLength);
    if (phase == service)
        return this->plan.meanRate * this->plan.surgeFactor;
    if (phase == service + 1)
        return this->plan.meanRate * this->plan.lullFactor;
    return this->plan.meanRate;
}

Awaitable<LoadTally> LoadGenerator::run()
{
    this->begin = Clock::now();
    this->end =
        this->begin
        + this->plan.phaseLength * static_cast<std::int64_t>(this->plan.services.size() + 1);
    for (std::size_t i = 0; i < this->plan.services.size(); ++i) {
        ++this->openTasks;
        asio::co_spawn(
            this->executor, [this, i] { return this->generateRequests(i); }, asio::detached);
    }
    this->isHealthy.assign(this->clients.size(), true);
    for (std::size_t i = 0; i < this->plan.healthEndpoints.size(); ++i)
        asio::co_spawn(
            this->executor, [this, i] { return this->probeHealth(i); }, asio::detached);
    asio::steady_timer timer(this->executor);
    while (this->openTasks > 0) {
        timer.expires_after(std::chrono::milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
    }
    // The health probes refer to this object, so wait until they have ended.
    this->isFinished = true;
    this->openTasks = this->plan.healthEndpoints.size();
    while (this->openTasks > 0) {
        timer.expires_after(std::chrono::milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return std::move(this->tally);
}

Awaitable<void> LoadGenerator::generateRequests(std::size_t service)
{
    asio::steady_timer timer(this->executor);
    auto next = Clock::now();
    while (next < this->end) {
        std::exponential_distribution<double> gap(this->rateOf(service, next));
        const auto step = std::min(0.1, gap(this->random));
        next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(step));
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        if (step >= 0.1)
            continue; // the gap was cut short because the rate may change during it
        ++this->openTasks;
        const auto number = ++this->requestCount;
        asio::co_spawn(
            this->executor, [this, service, number] { return this->sendRequest(service, number); },
            asio::detached);
    }
    --this->openTasks;
}

http::Request LoadGenerator::makeRequest(const LoadService &service, const std::string &body,
                                         const std::string &key)
{
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const auto runTime = static_cast<double>(this->plan.runTime.count()) * spread(this->random);
    const auto target = "/" + service.name
                        + "/job?run-ms=" + std::to_string(static_cast<int>(std::lround(runTime)));
    http::Request request{http::Verb::post, target, 11};
    request.set(http::header::callerId, "load");
    request.set(http::header::requestTimeout, std::to_string(this->plan.deadline.count()));
    if (service.usesIdempotencyKey)
        request.set(http::header::idempotencyKey, key);
    request.body() = body;
    request.prepare_payload();
    return request;
}

Awaitable<void> LoadGenerator::sendRequest(std::size_t serviceIndex, std::uint64_t number)
{
    const auto &service = this->plan.services[serviceIndex];
    auto &classTally = this->tally.classes[static_cast<std::size_t>(service.requestClass)];
    const auto body = std::to_string(this->plan.seed) + "-" + std::to_string(number);
    const auto request = this->makeRequest(service, body, body);
    const bool isCancelled =
        std::uniform_real_distribution<double>(0, 1)(this->random) < this->plan.cancelledShare;
    ++classTally.offered;
    const auto start = Clock::now();
    const bool inSurge = this->isInSurge(serviceIndex, start);
    this->tally.offeredOutsideSurge += inSurge ? 0 : 1;
    std::chrono::milliseconds timeout = this->plan.deadline + answerTimeoutMargin;
    if (isCancelled)
        timeout = this->plan.runTime / 4;
    asio::steady_timer timer(this->executor);
    for (int attempt = 0; attempt <= maxResends; ++attempt) {
        auto &target = this->pickClient();
        const auto exchange = co_await target.exchange(request, timeout);
        const bool isAnswered = exchange.state == ExchangeState::Answered;
        const auto outcome =
            isAnswered ? http::fieldOf(exchange.response, http::header::outcome) : "";
        if (outcome == "completed") {
            const auto answer = http::parseJson(exchange.response.body());
            const bool isOwn = answer.is_object() && answer.value("echo", "") == body;
            classTally.foreignAnswers += isOwn || exchange.response.result_int() >= 500 ? 0 : 1;
            const auto took = millisecondsBetween(start, Clock::now());
            const bool isLate =
                took > static_cast<double>(this->plan.deadline.count()) || attempt > 0;
            (isLate ? classTally.late : classTally.completed) += 1;
            classTally.milliseconds.push_back(took);
            ++this->tally.completedByService[service.name];
            this->tally.completedInSurge += inSurge && !isLate ? 1 : 0;
            this->tally.completedOutsideSurge += !inSurge && !isLate ? 1 : 0;
            if (service.usesIdempotencyKey)
                this->tally.completedKeys.push_back(body);
            break;
        }
        if (outcome == "not-run") {
            ++classTally.refused;
            if (service.usesIdempotencyKey)
                this->tally.notRunKeys.push_back(body);
            break;
        }
        if (!service.usesIdempotencyKey) {
            (isAnswered ? classTally.unknown : classTally.unanswered) += isCancelled ? 0 : 1;
            break;
        }
        if (attempt == maxResends) {
            ++classTally.unknown;
            ++this->tally.unresolved;
            break;
        }
        ++this->tally.resent;
        timeout = this->plan.deadline + answerTimeoutMargin;
        timer.expires_after(resendDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    --this->openTasks;
}

} // namespace sassafrasferry::standins
