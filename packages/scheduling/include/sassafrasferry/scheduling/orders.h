// Orders from the scheduler to workers, and the possible answers.
#pragma once

#include <sassafrasferry/scheduling/worker.h>

#include <optional>

namespace sassafrasferry::scheduling {

/// Starts a run.
struct StartOrder
{
    std::string worker;
    TaskId task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket; ///< from the queue's policy service; empty if none is needed
    Instant expires{}; ///< not sent after this time
    std::int64_t fence = 0; ///< token that it was sent with
};

/// Stops a run, or prevents it from starting if its start has not arrived yet.
struct StopOrder
{
    std::string worker;
    TaskId task;
    std::int64_t run = 0;
    std::string reason;
    std::int64_t fence = 0; ///< token that it was sent with
};

/// Sets the share of its full speed at which a run works.
struct PaceOrder
{
    std::string worker;
    TaskId task;
    std::int64_t run = 0;
    int percent = 100;
};

/// All orders from one planning round.
struct Orders
{
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
};

/// The outcome of an order.
enum class OrderAnswer {
    Accepted,
    NoRoom, ///< the worker lacks the resources
    NoTicket, ///< the ticket is missing or has expired
    Fenced, ///< the worker knows a newer leader
    Outdated, ///< the worker knows a newer call of this leader and did not carry it out
    Superseded, ///< the worker has ended a run of the task with this or a higher number
    Expired, ///< the lease sent with it has expired
    Unhealthy, ///< the worker is unhealthy and did not carry it out
    OtherIncarnation, ///< another incarnation or worker answered at the address
    Malformed, ///< the worker could not parse it
    NotSent, ///< no byte of it was sent
    NoAnswer, ///< unknown: it may have been carried out or still be
};

constexpr auto enumNames(OrderAnswer)
{
    return std::array{
        model::EnumName{OrderAnswer::Accepted, "accepted"},
        model::EnumName{OrderAnswer::NoRoom, "no-room"},
        model::EnumName{OrderAnswer::NoTicket, "no-ticket"},
        model::EnumName{OrderAnswer::Fenced, "fenced"},
        model::EnumName{OrderAnswer::Outdated, "outdated"},
        model::EnumName{OrderAnswer::Superseded, "superseded"},
        model::EnumName{OrderAnswer::Expired, "expired"},
        model::EnumName{OrderAnswer::Unhealthy, "unhealthy"},
        model::EnumName{OrderAnswer::OtherIncarnation, "other-incarnation"},
        model::EnumName{OrderAnswer::Malformed, "malformed"},
        model::EnumName{OrderAnswer::NotSent, "not-sent"},
        model::EnumName{OrderAnswer::NoAnswer, "no-answer"},
    };
}

/// A worker's answer to an order.
struct OrderReply
{
    OrderAnswer answer = OrderAnswer::NoAnswer;
    std::optional<std::int64_t> clock; ///< reading of the worker's clock, milliseconds
};

} // namespace sassafrasferry::scheduling
