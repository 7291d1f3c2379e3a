// Estimates that are off, as jobs declare them.
#include <sassafrasferry/scheduling/estimate_model.h>

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace sassafrasferry::scheduling;
using sassafrasferry::jobs::Milliseconds;

namespace {

struct Errors
{
    double trusted = 0; ///< mean distance of the logarithm, of the estimate as it came
    double learned = 0;
};

/// Work of 1 s on average whose estimates are off by a factor of e^spread, after `seen` of it.
Errors errorsAfter(int seen, double spread, double bias)
{
    std::mt19937_64 random(7);
    std::normal_distribution<double> normal;
    EstimateModel model;
    const auto draw = [&] {
        const double actual = 1000 * std::exp(0.5 * normal(random));
        const double estimate = actual * bias * std::exp(spread * normal(random));
        return std::make_pair(Milliseconds(std::llround(estimate)),
                              Milliseconds(std::llround(actual)));
    };
    for (int i = 0; i < seen; ++i) {
        const auto [estimate, actual] = draw();
        model.observe(estimate, actual);
    }
    Errors errors;
    constexpr int tries = 500;
    for (int i = 0; i < tries; ++i) {
        const auto [estimate, actual] = draw();
        const auto distance = [&](Milliseconds guess) {
            return std::abs(std::log(static_cast<double>(guess.count()))
                            - std::log(static_cast<double>(actual.count())))
                   / tries;
        };
        errors.trusted += distance(estimate);
        errors.learned += distance(model.median(estimate));
    }
    return errors;
}

} // namespace

TEST_CASE("learned run times are closer than the estimates that came with the work")
{
    struct Case
    {
        const char *name;
        int seen;
        double spread;
        double bias;
        double atMost; ///< of the trusted estimate's error
    };
    const std::vector<Case> cases{
        {"nothing seen", 0, 0.9, 1, 1.0},
        {"far off, a surge seen", 400, 0.9, 1, 0.65},
        {"far off, soon after a takeover", 40, 0.9, 1, 0.85},
        {"close estimates stay", 400, 0.1, 1, 1.05},
        {"all too low", 400, 0.1, 0.4, 0.25},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        const auto errors = errorsAfter(row.seen, row.spread, row.bias);
        CHECK(errors.learned <= row.atMost * errors.trusted);
    }
}

TEST_CASE("work without an estimate gets none")
{
    EstimateModel model;
    model.observe(Milliseconds(0), Milliseconds(500));
    CHECK(model.median(Milliseconds(0)) == Milliseconds(0));
    CHECK(model.mean(Milliseconds(800)) == Milliseconds(800));
}
