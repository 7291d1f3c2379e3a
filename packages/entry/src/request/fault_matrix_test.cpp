// The fault matrix of requests that are not idempotent: every fault at every named step, alone and
// in pairs. After each run the faults are healed and the caller sends the same key again through
// another entry VM until it knows the outcome. Checked against what the workers really ran.
#include "../../tests/fault_matrix.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::entry;

TEST_CASE("without a fault every step is passed")
{
    // A step that no request passes would leave its row of the matrix empty.
    Run run(Sabotage::None, large);
    CHECK(run.violation({}).empty());
    CHECK(run.seen().size() == enumNames(RequestStep{}).size());
}

TEST_CASE("every fault at every step")
{
    const auto tally = runSingles(Sabotage::None);
    std::cout << "fault matrix: " << enumNames(Fault{}).size() << " faults x "
              << enumNames(RequestStep{}).size() << " steps x 2 answer sizes, " << tally.runs
              << " runs, " << tally.violations << " violations\n";
    INFO(tally.firstViolation);
    CHECK(tally.violations == 0);
}

TEST_CASE("every two faults, at every two steps")
{
    Tally tally;
    const auto cells = allCells();
    for (const auto &a : cells) {
        if (a.fault == Fault::None)
            continue;
        for (const auto &b : cells) {
            if (b.fault == Fault::None || b.step < a.step)
                continue;
            tally.add({a, b}, Run(Sabotage::None, small).violation({a, b}));
        }
    }
    std::cout << "fault matrix, pairs: " << tally.runs << " runs, " << tally.violations
              << " violations\n";
    INFO(tally.firstViolation);
    CHECK(tally.violations == 0);
}

TEST_CASE("the matrix notices when a safeguard is taken out")
{
    const auto sabotage =
        GENERATE(Sabotage::WorkersStartLate, Sabotage::ClaimsUnconditional, Sabotage::ClaimsSkipped,
                 Sabotage::BrokenMeansNotRun, Sabotage::RestartsHidden);
    const auto tally = sabotage == Sabotage::RestartsHidden ? runRestartsBeforeDeaths(sabotage)
                                                            : runSingles(sabotage);
    std::cout << "without safeguard (" << model::nameOf(sabotage) << "): " << tally.violations
              << " of " << tally.runs << " runs violate, first: " << tally.firstViolation << "\n";
    CHECK(tally.violations > 0);
}
