// Fault matrix of requests that are not idempotent: every fault at every step, alone and in pairs.
// After each run the faults are removed, and the caller resends the same key through another entry
// VM until it knows the outcome. Answers are compared with the runs that the workers started.
#include "../../tests/fault_matrix.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::entry;

TEST_CASE("a request without faults reaches every step")
{
    // No fault would ever be injected at a step that no request reaches.
    Run run(Mutation::None, large);
    CHECK(run.violation({}).empty());
    CHECK(run.reachedSteps().size() == enumNames(RequestStep{}).size());
}

TEST_CASE("a keyed request runs at most once under any single fault at any step")
{
    const auto tally = runSingleFaults(Mutation::None);
    std::cout << "fault matrix: " << enumNames(Fault{}).size() << " faults x "
              << enumNames(RequestStep{}).size() << " steps x 2 answer sizes, " << tally.runs
              << " runs, " << tally.violations << " violations\n";
    INFO(tally.firstViolation);
    CHECK(tally.violations == 0);
}

TEST_CASE("a keyed request runs at most once under any pair of faults")
{
    Tally tally;
    const auto cells = allCells();
    for (const auto &a : cells) {
        if (a.fault == Fault::None)
            continue;
        for (const auto &b : cells) {
            if (b.fault == Fault::None || b.step < a.step)
                continue;
            tally.add({a, b}, Run(Mutation::None, small).violation({a, b}));
        }
    }
    std::cout << "fault matrix, pairs: " << tally.runs << " runs, " << tally.violations
              << " violations\n";
    INFO(tally.firstViolation);
    CHECK(tally.violations == 0);
}

TEST_CASE("the fault matrix fails when a safeguard is disabled")
{
    const auto mutation =
        GENERATE(Mutation::WorkersStartLate, Mutation::ClaimsUnconditional, Mutation::ClaimsSkipped,
                 Mutation::BrokenMeansNotRun, Mutation::RestartsHidden);
    const auto tally = mutation == Mutation::RestartsHidden ? runRestartsBeforeDeaths(mutation)
                                                            : runSingleFaults(mutation);
    std::cout << "without safeguard (" << model::nameOf(mutation) << "): " << tally.violations
              << " of " << tally.runs << " runs violate, first: " << tally.firstViolation << "\n";
    CHECK(tally.violations > 0);
}
