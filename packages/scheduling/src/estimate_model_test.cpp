// Tests of the learned run times with inaccurate estimates, as jobs declare them.
#include <sassafrasferry/scheduling/estimate_model.h>

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace sassafrasferry::scheduling;
using sassafrasferry::jobs::Milliseconds;

namespace {

struct Errors
{
    double trusted = 0; ///< mean absolute error of the logarithm of the declared estimate
    double learned = 0; ///< mean absolute error of the logarithm of the learned median
};

/// Errors after `seen` observations of work with a median of 1 s, whose estimates are off by a
/// factor of about e^spread and multiplied by `bias`.
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

TEST_CASE("learned run times are closer to the actual run times than the declared estimates")
{
    struct Case
    {
        const char *name;
        int seen;
        double spread;
        double bias;
        double atMost; ///< largest error of the learned median, relative to that of the estimate
    };
    const std::vector<Case> cases{
        {"no observations", 0, 0.9, 1, 1.0},
        {"inaccurate estimates, after a surge", 400, 0.9, 1, 0.65},
        {"inaccurate estimates, soon after a takeover", 40, 0.9, 1, 0.85},
        {"accurate estimates are kept", 400, 0.1, 1, 1.05},
        {"all estimates too low", 400, 0.1, 0.4, 0.25},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        const auto errors = errorsAfter(row.seen, row.spread, row.bias);
        CHECK(errors.learned <= row.atMost * errors.trusted);
    }
}

TEST_CASE("work without an estimate gets no learned run time")
{
    EstimateModel model;
    model.observe(Milliseconds(0), Milliseconds(500));
    CHECK(model.median(Milliseconds(0)) == Milliseconds(0));
    CHECK(model.mean(Milliseconds(800)) == Milliseconds(800));
}
