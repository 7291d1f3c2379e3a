// The interface of a client of a worker.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/scheduling/orders.h>

#include <concepts>
#include <optional>

namespace sassafrasferry::coordination {

/// Extends the lease of all runs of a worker and requests a report of them (a heartbeat).
struct HoldRequest
{
    std::int64_t fence = 0;
    std::int64_t acknowledged = 0; ///< the worker drops its ends of runs up to this number
    std::optional<std::int64_t> until; ///< end of the lease by the worker's clock
    /// How long the worker waits for an end of a run before it answers.
    std::chrono::milliseconds wait{0};
    /// Timeout of the answer in addition to `wait`. If empty, the timeout of other calls applies.
    /// Ignored by calls through a relay.
    std::optional<std::chrono::milliseconds> answerTimeout;
};

struct HoldAnswer
{
    scheduling::OrderAnswer answer = scheduling::OrderAnswer::NoAnswer;
    scheduling::WorkerReport report; ///< valid if `answer` is Accepted
};

template<typename T>
concept WorkerCalls = requires(T &worker, HoldRequest hold, const scheduling::StartOrder &start,
                               const scheduling::StopOrder &stop, const scheduling::PaceOrder &pace,
                               std::int64_t number)
{
    {
        worker.hold(hold)
        } -> std::same_as<Awaitable<HoldAnswer>>;
    {
        worker.start(start, number, number)
        } -> std::same_as<Awaitable<scheduling::OrderReply>>;
    {
        worker.stop(stop, number)
        } -> std::same_as<Awaitable<scheduling::OrderReply>>;
    {
        worker.pace(pace, number)
        } -> std::same_as<Awaitable<scheduling::OrderAnswer>>;
};

} // namespace sassafrasferry::coordination
