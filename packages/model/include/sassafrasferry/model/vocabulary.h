// The small vocabularies that the whole system shares: outcomes and request classes.
#pragma once

#include <sassafrasferry/model/names.h>

namespace sassafrasferry::model {

/// What became of a request, named in every answer's `Outcome` header.
enum class Outcome {
    Completed, ///< An upstream ran it, and this is its whole answer.
    NotRun, ///< No upstream started it, and none will.
    Unknown, ///< It may have run; the same idempotency key settles it later.
};

constexpr auto enumNames(Outcome)
{
    return std::array{EnumName{Outcome::Completed, "completed"},
                      EnumName{Outcome::NotRun, "not-run"}, EnumName{Outcome::Unknown, "unknown"}};
}

/// Request classes, most pressing first.
enum class RequestClass { Urgent, Normal, Background };

constexpr std::size_t requestClassCount = 3;

constexpr auto enumNames(RequestClass)
{
    return std::array{EnumName{RequestClass::Urgent, "urgent"},
                      EnumName{RequestClass::Normal, "normal"},
                      EnumName{RequestClass::Background, "background"}};
}

/// How an entry VM chooses a worker. All but `Loans` are baselines for measurement.
enum class RoutingPolicy {
    Loans, ///< Slots divided among the live entry VMs, and lent by those that leave them idle.
    Trials, ///< The same division, and trials beyond the share.
    LoansTrials, ///< The same division, with loans and trials.
    FixedShares, ///< The same division, and nothing beyond the share.
    LeastOutstanding, ///< Fewest requests outstanding from this entry VM.
    RoundRobin, ///< In turn.
    Random, ///< Uniformly at random.
    Assigned, ///< Each worker belongs to one entry VM.
};

constexpr auto enumNames(RoutingPolicy)
{
    return std::array{EnumName{RoutingPolicy::Loans, "loans"},
                      EnumName{RoutingPolicy::Trials, "trials"},
                      EnumName{RoutingPolicy::LoansTrials, "loans-trials"},
                      EnumName{RoutingPolicy::FixedShares, "fixed-shares"},
                      EnumName{RoutingPolicy::LeastOutstanding, "least-outstanding"},
                      EnumName{RoutingPolicy::RoundRobin, "round-robin"},
                      EnumName{RoutingPolicy::Random, "random"},
                      EnumName{RoutingPolicy::Assigned, "assigned"}};
}

/// How an entry VM decides whether a request may wait for a slot.
enum class AdmissionPolicy {
    Deadline, ///< Refused at once when the predicted wait passes its deadline.
    FixedBound, ///< Refused when the queue has reached a fixed length.
    Unbounded, ///< Never refused before its deadline.
};

constexpr auto enumNames(AdmissionPolicy)
{
    return std::array{EnumName{AdmissionPolicy::Deadline, "deadline"},
                      EnumName{AdmissionPolicy::FixedBound, "fixed-bound"},
                      EnumName{AdmissionPolicy::Unbounded, "unbounded"}};
}

/// How moves of spare VMs to pools whose demand has outgrown them are decided.
enum class MovePolicy {
    Outlasting, ///< Only if the turn of demand is likely to outlast the move.
    Always, ///< As soon as demand passes capacity, and back as soon as it does not.
    Never,
};

constexpr auto enumNames(MovePolicy)
{
    return std::array{EnumName{MovePolicy::Outlasting, "outlasting"},
                      EnumName{MovePolicy::Always, "always"}, EnumName{MovePolicy::Never, "never"}};
}

} // namespace sassafrasferry::model
