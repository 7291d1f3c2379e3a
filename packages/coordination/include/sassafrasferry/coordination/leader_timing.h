// Times and limits of a leader's work.
#pragma once

#include <sassafrasferry/coordination/timing.h>

#include <cstddef>
#include <cstdint>

namespace sassafrasferry::coordination {

// Exceeds the number of starts of one task in one term, so that run numbers of different terms
// are distinct.
constexpr std::int64_t runsPerTerm = 1000;
constexpr auto loadPeriod = std::chrono::seconds(1);
constexpr auto planTick = std::chrono::milliseconds(50);
// Ends and answers that arrive within this time are handled by one planning round.
constexpr auto planBatchDelay = std::chrono::milliseconds(2);
// The pause between two rounds is this many times the duration of the last round, so that
// planning leaves time to process answers.
constexpr int planPauseFactor = 4;
// Delay between reads of the worker entries, by which a drain becomes known. Workers write their
// entries every one or two seconds.
constexpr std::chrono::milliseconds listPause{250};
// Of the feeds of jobs and workers. A feed without changes proves that there were none only
// when it answers, and pending counts must be less than two seconds old.
constexpr std::chrono::milliseconds feedWait{500};
} // namespace sassafrasferry::coordination
