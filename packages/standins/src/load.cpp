// The load of callers.
#include <sassafrasferry/standins/load.h>

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

constexpr int mostResends = 20;
constexpr std::chrono::milliseconds resendPause{500};
constexpr std::chrono::milliseconds answerSlack{5000}; // beyond the deadline, then it is lost

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

Load::Load(asio::any_io_executor executor, LoadPlan plan)
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

// The platform's balancer: it sends to entry VMs whose health check passes, and to all of them if
// none does.
Awaitable<void> Load::watchHealth(std::size_t entry)
{
    constexpr std::chrono::milliseconds period{100};
    http::Client::Options options;
    http::Client prober(this->executor, this->plan.health[entry], options);
    asio::steady_timer timer(this->executor);
    while (!this->isOver) {
        http::Request question{http::Verb::get, "/healthz", 11};
        const auto exchange = co_await prober.exchange(std::move(question), 5 * period);
        this->healthy[entry] = exchange.state == ExchangeState::Answered
                               && exchange.response.result() == http::Status::ok;
        timer.expires_after(period);
        co_await timer.async_wait(asio::use_awaitable);
    }
    --this->open;
}

http::Client &Load::pickClient()
{
    std::vector<std::size_t> choices;
    for (std::size_t i = 0; i < this->clients.size(); ++i) {
        if (this->healthy[i])
            choices.push_back(i);
    }
    if (choices.empty())
        return *this->clients[this->random() % this->clients.size()];
    return *this->clients[choices[this->random() % choices.size()]];
}

bool Load::surges(std::size_t service, Clock::time_point at) const
{
    const auto phase = static_cast<std::size_t>((at - this->begin) / this->plan.phase);
    return phase == service;
}

double Load::rateOf(std::size_t service, Clock::time_point at) const
{
    const auto phase = static_cast<std::size_t>((at - this->begin) / this->plan.phase);
    if (phase == service)
        return this->plan.meanRate * this->plan.surge;
    if (phase == service + 1)
        return this->plan.meanRate * this->plan.lull;
    return this->plan.meanRate;
}

Awaitable<LoadTally> Load::run()
{
    this->begin = Clock::now();
    this->end =
        this->begin + this->plan.phase * static_cast<std::int64_t>(this->plan.services.size() + 1);
    for (std::size_t i = 0; i < this->plan.services.size(); ++i) {
        ++this->open;
        asio::co_spawn(
            this->executor, [this, i] { return this->offer(i); }, asio::detached);
    }
    this->healthy.assign(this->clients.size(), true);
    for (std::size_t i = 0; i < this->plan.health.size(); ++i)
        asio::co_spawn(
            this->executor, [this, i] { return this->watchHealth(i); }, asio::detached);
    asio::steady_timer timer(this->executor);
    while (this->open > 0) {
        timer.expires_after(std::chrono::milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
    }
    // The health checks end by themselves, and only then may this object go.
    this->isOver = true;
    this->open = this->plan.health.size();
    while (this->open > 0) {
        timer.expires_after(std::chrono::milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return std::move(this->tally);
}

Awaitable<void> Load::offer(std::size_t service)
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
            continue; // a long gap: the rate may have changed meanwhile
        ++this->open;
        const auto number = ++this->numbers;
        asio::co_spawn(
            this->executor, [this, service, number] { return this->one(service, number); },
            asio::detached);
    }
    --this->open;
}

http::Request Load::requestOf(const LoadService &service, const std::string &body,
                              const std::string &key)
{
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const auto runTime = static_cast<double>(this->plan.runTime.count()) * spread(this->random);
    const auto target = "/" + service.name
                        + "/job?run-ms=" + std::to_string(static_cast<int>(std::lround(runTime)));
    http::Request request{http::Verb::post, target, 11};
    request.set(http::header::callerId, "load");
    request.set(http::header::requestTimeout, std::to_string(this->plan.deadline.count()));
    if (service.keyed)
        request.set(http::header::idempotencyKey, key);
    request.body() = body;
    request.prepare_payload();
    return request;
}

Awaitable<void> Load::one(std::size_t serviceIndex, std::uint64_t number)
{
    const auto &service = this->plan.services[serviceIndex];
    auto &seen = this->tally.classes[static_cast<std::size_t>(service.requestClass)];
    const auto body = std::to_string(this->plan.seed) + "-" + std::to_string(number);
    const auto request = this->requestOf(service, body, body);
    const bool isCancelled =
        std::uniform_real_distribution<double>(0, 1)(this->random) < this->plan.cancelled;
    ++seen.offered;
    const auto start = Clock::now();
    const bool inSurge = this->surges(serviceIndex, start);
    this->tally.bystandersOffered += inSurge ? 0 : 1;
    std::chrono::milliseconds patience = this->plan.deadline + answerSlack;
    if (isCancelled)
        patience = this->plan.runTime / 4;
    asio::steady_timer timer(this->executor);
    for (int attempt = 0; attempt <= mostResends; ++attempt) {
        auto &target = this->pickClient();
        const auto exchange = co_await target.exchange(request, patience);
        const bool isAnswered = exchange.state == ExchangeState::Answered;
        const auto outcome =
            isAnswered ? http::fieldOf(exchange.response, http::header::outcome) : "";
        if (outcome == "completed") {
            const auto answer = http::parseJson(exchange.response.body());
            const bool isOwn = answer.is_object() && answer.value("echo", "") == body;
            seen.strangers += isOwn || exchange.response.result_int() >= 500 ? 0 : 1;
            const auto took = millisecondsBetween(start, Clock::now());
            const bool isLate =
                took > static_cast<double>(this->plan.deadline.count()) || attempt > 0;
            (isLate ? seen.late : seen.completed) += 1;
            seen.milliseconds.push_back(took);
            ++this->tally.completedByService[service.name];
            this->tally.surgeCompleted += inSurge && !isLate ? 1 : 0;
            this->tally.bystandersCompleted += !inSurge && !isLate ? 1 : 0;
            if (service.keyed)
                this->tally.completedKeys.push_back(body);
            break;
        }
        if (outcome == "not-run") {
            ++seen.refused;
            if (service.keyed)
                this->tally.notRunKeys.push_back(body);
            break;
        }
        if (!service.keyed) {
            (isAnswered ? seen.unknown : seen.broken) += isCancelled ? 0 : 1;
            break;
        }
        if (attempt == mostResends) {
            ++seen.unknown;
            ++this->tally.unsettled;
            break;
        }
        ++this->tally.resent;
        patience = this->plan.deadline + answerSlack;
        timer.expires_after(resendPause);
        co_await timer.async_wait(asio::use_awaitable);
    }
    --this->open;
}

} // namespace sassafrasferry::standins
