// What the scheduler wants done at workers, and how they may answer.
#pragma once

#include <sassafrasferry/scheduling/worker.h>

namespace sassafrasferry::scheduling {

/// Start a run.
struct StartOrder
{
    std::string worker;
    TaskId task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket; ///< of the queue's advice; empty: none needed
    Instant expires{}; ///< not sent any more after this
};

/// Stop a run, or keep it from starting if its start has not arrived yet.
struct StopOrder
{
    std::string worker;
    TaskId task;
    std::int64_t run = 0;
    std::string reason;
};

/// Let a run work at a share of its full speed.
struct PaceOrder
{
    std::string worker;
    TaskId task;
    std::int64_t run = 0;
    int percent = 100;
};

/// Everything that one round of planning decided.
struct Orders
{
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
};

/// How an order ended.
enum class OrderAnswer {
    Accepted,
    NoRoom, ///< the worker has not the room
    NoTicket, ///< the ticket is missing or has run out
    Fenced, ///< the worker has heard a newer leader
    Superseded, ///< the run number is not higher than one that ended there
    Expired, ///< the lease that came with it is over
    Unhealthy, ///< the worker did nothing and cannot now
    OtherIncarnation, ///< another incarnation of a worker answers there
    Malformed, ///< the worker does not understand it
    NotSent, ///< no byte of it left
    NoAnswer, ///< it may be carried out, now or later
};

constexpr auto enumNames(OrderAnswer)
{
    return std::array{
        model::EnumName{OrderAnswer::Accepted, "accepted"},
        model::EnumName{OrderAnswer::NoRoom, "no-room"},
        model::EnumName{OrderAnswer::NoTicket, "no-ticket"},
        model::EnumName{OrderAnswer::Fenced, "fenced"},
        model::EnumName{OrderAnswer::Superseded, "superseded"},
        model::EnumName{OrderAnswer::Expired, "expired"},
        model::EnumName{OrderAnswer::Unhealthy, "unhealthy"},
        model::EnumName{OrderAnswer::OtherIncarnation, "other-incarnation"},
        model::EnumName{OrderAnswer::Malformed, "malformed"},
        model::EnumName{OrderAnswer::NotSent, "not-sent"},
        model::EnumName{OrderAnswer::NoAnswer, "no-answer"},
    };
}

} // namespace sassafrasferry::scheduling
