// Demand that surges in turns, that stops doing so, and that never did.
#include <sassafrasferry/scheduling/surge_forecast.h>

#include <catch2/catch.hpp>

#include <functional>
#include <random>

using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

const Instant start(1h);
constexpr Duration step = 60ms;

/// Feeds a forecast with jobs of one core-second each, drawn at `rateOf` a service and time.
struct Feed
{
    using RateOf = std::function<double(const std::string &, double)>;

    void run(const std::vector<std::string> &services, double seconds, const RateOf &rateOf)
    {
        const auto end = this->now + sassafrasferry::policy::fromSeconds(seconds);
        while (this->now < end) {
            this->now += step;
            const auto at = sassafrasferry::policy::seconds(this->now - start);
            std::map<std::string, Arrivals> arrivals;
            for (const auto &service : services) {
                const auto mean = rateOf(service, at) * sassafrasferry::policy::seconds(step);
                const auto jobs = std::poisson_distribution<std::size_t>(mean)(this->random);
                arrivals[service] = {jobs, static_cast<double>(jobs)};
            }
            this->forecast.arrived(arrivals, this->now);
            for (const auto &service : services) {
                const bool isIdle = rateOf(service, at) < 2 && rateOf(service, at + 2) < 2;
                if (isIdle && this->forecast.expectedCores(service, this->now) > 0)
                    this->wrongSeconds += sassafrasferry::policy::seconds(step);
            }
        }
    }

    std::mt19937_64 random{3};
    Instant now = start;
    SurgeForecast forecast{SurgeTerms{}};
    double wrongSeconds = 0; // with a surge expected of a service that asks for nothing
};

const std::vector<std::string> four{"a", "b", "c", "d"};

double inTurns(const std::string &service, double at, double length)
{
    const auto turn = static_cast<int>(at / length) % 4;
    return service == four[static_cast<std::size_t>(turn)] ? 20 : 0.25;
}

} // namespace

TEST_CASE("a surge is expected once its turn was seen to follow another")
{
    struct Case
    {
        const char *name;
        double length; ///< of a turn, seconds
    };
    const std::vector<Case> cases{{"short turns", 3}, {"turns of four seconds", 4}, {"long", 9}};
    for (const auto &row : cases) {
        INFO(row.name);
        Feed feed;
        const auto rateOf = [&](const std::string &service, double at) {
            return inTurns(service, at, row.length);
        };
        feed.run(four, 5 * row.length - 1, rateOf);
        CHECK(feed.forecast.expectedCores("b", feed.now) > 10);
        CHECK(feed.forecast.expectedCores("c", feed.now) == 0);
        CHECK(feed.forecast.expectedCores("d", feed.now) == 0);
    }
}

TEST_CASE("nothing is expected of demand without surges")
{
    Feed feed;
    feed.run(four, 60, [](const std::string &, double) { return 5.0; });
    for (const auto &service : four)
        CHECK(feed.forecast.expectedCores(service, feed.now) == 0);
}

TEST_CASE("a single service's period is learned")
{
    Feed feed;
    feed.run({"a"}, 19.0, [](const std::string &, double at) {
        return static_cast<int>(at / 5) % 2 == 0 ? 20.0 : 0.2;
    });
    CHECK(feed.forecast.expectedCores("a", feed.now) > 10);
}

// VMs that come for a surge that does not are paid for nothing.
TEST_CASE("wrong expectations end soon")
{
    struct Case
    {
        const char *name;
        Feed::RateOf rateOf;
        double mostWrong; ///< seconds, of all services together
    };
    const std::vector<Case> cases{
        {"surges stop",
         [](const std::string &service, double at) {
             return at < 24 ? inTurns(service, at, 4) : 0.25;
         },
         4},
        {"the phase shifts",
         [](const std::string &service, double at) {
             return inTurns(service, at < 24 ? at : at + 6, 4);
         },
         8},
        {"the period grows",
         [](const std::string &service, double at) {
             return at < 24 ? inTurns(service, at, 4) : inTurns(service, at, 7);
         },
         12},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        Feed feed;
        feed.run(four, 60, row.rateOf);
        CHECK(feed.wrongSeconds <= row.mostWrong);
    }
}
