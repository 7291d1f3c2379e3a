// What the dispatcher says of a request, and what is reported back to it.
#pragma once

#include <sassafrasferry/policy/request_queue.h>
#include <sassafrasferry/policy/worker_choice.h>

#include <string>
#include <variant>

namespace sassafrasferry::policy {

/// A request has a slot of a worker; `Dispatcher::finish` gives it back.
struct Grant
{
    RequestId id{};
    Index worker = noIndex; ///< valid until `finish`
    std::string workerName;
    std::string rack;
    model::Endpoint address;
    RouteReason reason = RouteReason::FreeShare;
    bool overflowed = false; ///< it runs on the service's spare pool
    bool preemptible = false; ///< it may be named by `Changes::preempted`
};

/// Why a request was refused; none of these was given to a worker.
enum class RefusalReason {
    UnknownService,
    NoWorkers, ///< no worker of its pools is in service
    DeadlineUnreachable, ///< the predicted wait passes its deadline
    QueueFull,
    QuotaReached, ///< its team's quota of processors leaves no room in time
    QuotaTooSmall, ///< no request fits its team's quota, whatever else runs
    HopelessJob, ///< it failed on several workers that serve others well
    TooManyRefusals, ///< several workers in turn were full
    Starting, ///< this entry VM has no document yet
};

constexpr auto enumNames(RefusalReason)
{
    using model::EnumName;
    return std::array{EnumName{RefusalReason::UnknownService, "unknown-service"},
                      EnumName{RefusalReason::NoWorkers, "no-workers"},
                      EnumName{RefusalReason::DeadlineUnreachable, "deadline-unreachable"},
                      EnumName{RefusalReason::QueueFull, "queue-full"},
                      EnumName{RefusalReason::QuotaReached, "quota-reached"},
                      EnumName{RefusalReason::QuotaTooSmall, "quota-too-small"},
                      EnumName{RefusalReason::HopelessJob, "hopeless-job"},
                      EnumName{RefusalReason::TooManyRefusals, "too-many-refusals"},
                      EnumName{RefusalReason::Starting, "starting"}};
}

/// A request that will not be given to a worker, and when a new try makes sense.
struct Refusal
{
    RequestId id{};
    RefusalReason reason = RefusalReason::NoWorkers;
    Duration retryAfter{}; ///< zero: a new try makes no sense
};

/// The request waits; a later `Changes` grants or refuses it.
struct Queued
{
    std::size_t ahead = 0;
    Duration predictedWait{};
};

using Admission = std::variant<Grant, Queued, Refusal>;

/// What became of a granted request.
enum class RunResult {
    Succeeded,
    Failed, ///< the worker answered that it failed, broke off, or timed out
    Refused, ///< the worker had no slot free; not run
    Leaving, ///< the worker refused since it is leaving; not run
    Unreachable, ///< no connection could be opened; not run
    Cancelled, ///< given up by the caller; says nothing about the worker
};

constexpr auto enumNames(RunResult)
{
    using model::EnumName;
    return std::array{EnumName{RunResult::Succeeded, "succeeded"},
                      EnumName{RunResult::Failed, "failed"},
                      EnumName{RunResult::Refused, "refused"},
                      EnumName{RunResult::Leaving, "leaving"},
                      EnumName{RunResult::Unreachable, "unreachable"},
                      EnumName{RunResult::Cancelled, "cancelled"}};
}

/// The report that ends a grant.
struct RunReport
{
    Index worker = noIndex;
    std::string service;
    RunResult result = RunResult::Succeeded;
    RouteReason reason = RouteReason::FreeShare;
    Duration runTime{};
    JobFingerprint job = 0;
    RequestId id{}; ///< as in the grant
};

} // namespace sassafrasferry::policy
