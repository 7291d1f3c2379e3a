// What a client of a worker must offer.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/scheduling/orders.h>

#include <concepts>
#include <optional>

namespace sassafrasferry::coordination {

/// Lengthens the lease of all that runs on a worker, and asks what does.
struct HoldRequest
{
    std::int64_t fence = 0;
    std::int64_t acknowledged = 0; ///< ends up to this number need not be listed again
    std::optional<std::int64_t> until; ///< end of the lease, by the worker's clock
    std::chrono::milliseconds wait{0}; ///< for an end, before it answers
    /// For the answer, beyond `wait`; nothing: as for any call. Not for calls through a relay.
    std::optional<std::chrono::milliseconds> patience;
};

struct HoldAnswer
{
    scheduling::OrderAnswer answer = scheduling::OrderAnswer::NoAnswer;
    scheduling::WorkerReport report; ///< if accepted
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
        } -> std::same_as<Awaitable<scheduling::OrderAnswer>>;
    {
        worker.stop(stop, number)
        } -> std::same_as<Awaitable<scheduling::OrderAnswer>>;
    {
        worker.pace(pace, number)
        } -> std::same_as<Awaitable<scheduling::OrderAnswer>>;
};

} // namespace sassafrasferry::coordination
