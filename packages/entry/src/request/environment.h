// Interface of a request flow to its entry VM: clock, dispatcher, workers and store. The daemon
// implements it over sockets; tests implement fakes on a virtual clock.
#pragma once

#include "cancellation.h"
#include "request_step.h"
#include "request_types.h"

#include <sassafrasferry/store/claim_rows.h>
#include <sassafrasferry/store/row_batcher.h>

#include <concepts>

namespace sassafrasferry::entry {

using http::Awaitable;

template<typename T>
concept RequestEnvironment = requires(T &environment, policy::Submission submission,
                                      Cancellation &cancellation, const policy::Grant &grant,
                                      const CallerRequest &request, SendOptions options,
                                      policy::RunReport report, std::string text,
                                      policy::Claim claim, std::int64_t version,
                                      ClaimFollowUp followUp, RequestStep step,
                                      policy::Duration duration, std::uint64_t number)
{
    {
        environment.now()
        } -> std::same_as<policy::Instant>;
    {
        environment.unixNow()
        } -> std::same_as<policy::UnixMilliseconds>;
    {
        environment.pause(duration)
        } -> std::same_as<Awaitable<void>>;
    {
        environment.entryName()
        } -> std::convertible_to<std::string>;
    {
        environment.incarnation()
        } -> std::convertible_to<std::uint64_t>;
    {
        environment.newOperationId()
        } -> std::same_as<std::string>;
    // Reports that the request has reached a step.
    {environment.reached(request, step)};

    // Dispatcher
    {
        environment.slot(submission, cancellation)
        } -> std::same_as<Awaitable<SlotResult>>;
    {environment.finish(report)};
    {
        environment.jobFailed(report.job, report.worker)
        } -> std::same_as<bool>;
    {
        environment.takeRetry(text)
        } -> std::same_as<bool>;
    {
        environment.retryAfter(text)
        } -> std::same_as<policy::Duration>;

    // Workers
    {
        environment.send(grant, request, options, cancellation)
        } -> std::same_as<Awaitable<SendResult>>;
    {
        environment.queryWorker(text, text)
        } -> std::same_as<Awaitable<policy::WorkerWord>>;

    // Store
    {
        environment.readClaim(text)
        } -> std::same_as<Awaitable<absl::StatusOr<store::VersionedClaim>>>;
    {
        environment.writeClaim(claim, version)
        } -> std::same_as<Awaitable<store::WriteResult>>;
    {
        environment.putObject(text, text)
        } -> std::same_as<Awaitable<absl::Status>>;
    {
        environment.getObject(text)
        } -> std::same_as<Awaitable<absl::StatusOr<std::string>>>;

    // Marks an operation of this entry VM as in progress or as ended.
    {environment.setActive(text, true)};
    // Returns true if the request that wrote the claim may still be in progress.
    {
        environment.isPossiblyActive(claim)
        } -> std::same_as<bool>;
    // Settles a claim in the background after its request was answered.
    {environment.scheduleFollowUp(claim, version, followUp)};
};

} // namespace sassafrasferry::entry
