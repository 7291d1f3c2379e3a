// What a request needs of the entry VM around it. The daemon provides it over sockets, tests
// provide fakes on a virtual clock.
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
                                      policy::Claim claim, std::int64_t version, LeftOver leftOver,
                                      RequestStep step, policy::Duration duration,
                                      std::uint64_t number)
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
    // The point has been reached.
    {environment.reached(request, step)};

    // The dispatcher.
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

    // The workers.
    {
        environment.send(grant, request, options, cancellation)
        } -> std::same_as<Awaitable<SendResult>>;
    {
        environment.askWorker(text, text)
        } -> std::same_as<Awaitable<policy::WorkerWord>>;

    // The store.
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

    // An operation of this entry VM is under way, or no longer is.
    {environment.setActive(text, true)};
    // True if the request that made the claim may still be under way.
    {
        environment.mayBeActive(claim)
        } -> std::same_as<bool>;
    // Goes on with a claim after its request has been answered.
    {environment.leaveOver(claim, version, leftOver)};
};

} // namespace sassafrasferry::entry
