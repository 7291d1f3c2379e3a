// Parses HTTP requests, runs them through the idempotent or keyed flow, and builds HTTP responses.
#include "caller_handler.h"

#include "idempotent_flow.h"
#include "keyed_flow.h"

#include <sassafrasferry/http/json.h>
#include <sassafrasferry/store/digest.h>

#include <cmath>

#include <absl/strings/numbers.h>

#include <glog/logging.h>

namespace sassafrasferry::entry {

namespace {

namespace asio = boost::asio;

constexpr std::size_t maxKeyBytes = 255;
constexpr std::size_t maxIdBytes = 64;
constexpr std::int64_t maxTimeoutMilliseconds = 24LL * 3600 * 1000;
constexpr int fingerprintHexDigits = 16;

// State of one request, kept until its caller has an answer and the request has finished.
struct RequestContext
{
    VersionPointer version;
    const policy::ServiceSpec *service = nullptr;
    CallerRequest request;
    Cancellation cancellation;
};

struct RequestError
{
    std::string message; // empty if the request is valid
};

std::string serviceOf(const std::string &target)
{
    const auto end = target.find_first_of("/?", 1);
    return target.size() < 2 ? std::string()
                             : target.substr(1, end == std::string::npos ? end : end - 1);
}

bool isPlainId(const std::string &text)
{
    const auto isPlain = [](unsigned char character) {
        return std::isgraph(character) != 0;
    };
    return !text.empty() && text.size() <= maxIdBytes
           && std::all_of(text.begin(), text.end(), isPlain);
}

RequestError readDeadline(const http::Request &message, RequestContext &context,
                          policy::Instant now)
{
    auto timeout = context.service ? context.service->deadline : std::chrono::milliseconds(1000);
    const auto text = http::fieldOf(message, http::header::requestTimeout);
    std::int64_t milliseconds = 0;
    if (!text.empty()) {
        if (!absl::SimpleAtoi(text, &milliseconds) || milliseconds < 1
            || milliseconds > maxTimeoutMilliseconds)
            return {"Request-Timeout-Ms must be a number of milliseconds"};
        timeout = std::chrono::milliseconds(milliseconds);
    }
    context.request.deadline = now + timeout;
    return {};
}

RequestError readClass(const http::Request &message, RequestContext &context)
{
    const auto text = http::fieldOf(message, http::header::requestClass);
    if (context.service)
        context.request.requestClass = context.service->requestClass;
    if (text.empty())
        return {};
    const auto requested = model::valueOf<model::RequestClass>(text);
    if (!requested)
        return {"Request-Class must be one of " + model::allNames<model::RequestClass>()};
    // A caller may lower the priority of its request, but not raise it above the service's class.
    context.request.requestClass = std::max(context.request.requestClass, *requested);
    return {};
}

RequestError readRequest(http::Request &message, RequestContext &context, const std::string &newId,
                         policy::Instant now)
{
    auto &request = context.request;
    const auto givenId = http::fieldOf(message, http::header::requestId);
    request.id = isPlainId(givenId) ? givenId : newId;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.service = serviceOf(request.target);
    request.contentType = http::fieldOf(message, "Content-Type");
    request.callerId = http::fieldOf(message, http::header::callerId);
    request.idempotencyKey = http::fieldOf(message, http::header::idempotencyKey);
    request.body = std::move(message.body());
    context.service = context.version->table.service(request.service);
    if (request.idempotencyKey.size() > maxKeyBytes)
        return {"Idempotency-Key is longer than 255 bytes"};
    auto error = readDeadline(message, context, now);
    if (!error.message.empty())
        return error;
    error = readClass(message, context);
    if (!error.message.empty())
        return error;
    request.fingerprint =
        store::sha256(request.method + "\n" + request.target + "\n" + request.body);
    request.job = std::strtoull(request.fingerprint.substr(0, fingerprintHexDigits).c_str(),
                                nullptr, fingerprintHexDigits);
    return {};
}

std::string reasonText(const CallerAnswer &answer)
{
    if (answer.reason == AnswerReason::Refused)
        return std::string(model::nameOf(answer.refusal));
    return std::string(model::nameOf(answer.reason));
}

http::Response responseOf(const CallerAnswer &answer, const std::string &requestId)
{
    http::Response response;
    response.version(11);
    response.result(static_cast<unsigned>(answer.status));
    response.set(http::header::requestId, requestId);
    response.set(http::header::outcome, std::string(model::nameOf(answer.outcome)));
    if (answer.reason != AnswerReason::None)
        response.set(http::header::reason, reasonText(answer));
    if (answer.retryAfter > policy::Duration{}) {
        const auto wholeSeconds = static_cast<int>(std::ceil(policy::seconds(answer.retryAfter)));
        response.set(http::Field::retry_after, std::to_string(wholeSeconds));
    }
    if (answer.replayed)
        response.set(http::header::replayed, "true");
    if (!answer.contentType.empty())
        response.set(http::Field::content_type, answer.contentType);
    response.body() = answer.body;
    response.prepare_payload();
    return response;
}

// Returns the answer of a keyed request, or `DeadlinePassed` if there is none by the deadline. The
// request then continues in the background.
Awaitable<CallerAnswer> answerByDeadline(TrafficEnvironment &environment,
                                         std::shared_ptr<RequestContext> context)
{
    using Done = std::function<void(CallerAnswer)>;
    struct Race
    {
        Done done; // reset when the answer has been delivered
        asio::steady_timer timer;
    };
    auto race = std::make_shared<Race>(Race{nullptr, asio::steady_timer(environment.executor())});
    return http::awaitCallback<CallerAnswer>([&environment, context, race](Done done) {
        race->done = std::move(done);
        race->timer.expires_at(context->request.deadline);
        race->timer.async_wait(
            [&environment, context, race](const boost::system::error_code &error) {
                if (error || !race->done)
                    return;
                const auto retryAfter = environment.retryAfter(context->request.service);
                std::exchange(race->done, nullptr)(
                    entryAnswer(model::Outcome::Unknown, AnswerReason::DeadlinePassed, retryAfter));
            });
        asio::co_spawn(
            environment.executor(),
            [&environment, context, race]() -> Awaitable<void> {
                KeyedFlow<TrafficEnvironment> flow(environment, context->request, *context->service,
                                                   context->cancellation);
                auto answer = co_await flow.run();
                race->timer.cancel();
                if (race->done)
                    std::exchange(race->done, nullptr)(std::move(answer));
            },
            asio::detached);
    });
}

Awaitable<CallerAnswer> serve(TrafficEnvironment &environment,
                              std::shared_ptr<RequestContext> context)
{
    if (!context->service) {
        // Services are unknown until the first document is loaded, so the caller should retry soon.
        const bool isStarting = context->version->texts.revision == 0;
        const policy::Refusal refusal{{},
                                      isStarting ? policy::RefusalReason::Starting
                                                 : policy::RefusalReason::UnknownService,
                                      isStarting ? std::chrono::seconds(1) : policy::Duration{}};
        co_return refusalAnswer(refusal, false);
    }
    if (!context->service->idempotent) {
        auto answer = co_await answerByDeadline(environment, context);
        co_return answer;
    }
    IdempotentFlow<TrafficEnvironment> flow(environment, context->request, context->cancellation);
    auto answer = co_await flow.run();
    co_return answer;
}

void logAnswer(TrafficEnvironment &environment, const RequestContext &context,
               const CallerAnswer &answer, policy::Duration latency)
{
    const auto milliseconds = policy::seconds(latency) * 1000;
    environment.process().log.write({"answer",
                                     context.request.id,
                                     {{"service", context.request.service},
                                      {"outcome", std::string(model::nameOf(answer.outcome))},
                                      {"status", std::to_string(answer.status)},
                                      {"reason", reasonText(answer)},
                                      {"worker", answer.worker.empty() ? "-" : answer.worker},
                                      {"replayed", answer.replayed ? "yes" : "no"},
                                      {"revision", std::to_string(context.version->table.revision)},
                                      {"ms", std::to_string(milliseconds)}}});
}

} // namespace

Awaitable<http::Response> handleCaller(TrafficEnvironment &environment,
                                       const VersionHolder &versions, http::Request message,
                                       std::shared_ptr<http::Disconnect> disconnect)
{
    auto context = std::make_shared<RequestContext>();
    context->version = versions.current();
    const auto begin = environment.now();
    const auto error = readRequest(message, *context, environment.newOperationId(), begin);
    if (!error.message.empty()) {
        auto response = http::textResponse(http::Status::bad_request, error.message + "\n");
        response.set(http::header::outcome, "not-run");
        co_return response;
    }
    const InFlightRequests::Registration registration(environment.process().inFlight,
                                                      context->request.id);
    disconnect->onDisconnect([context] { context->cancellation.request(); });
    const auto answer = co_await serve(environment, context);
    environment.reached(context->request, RequestStep::CallerAnswered);
    const auto latency = environment.now() - begin;
    environment.process().metrics.recordAnswer(context->request.requestClass, answer, latency);
    logAnswer(environment, *context, answer, latency);
    co_return responseOf(answer, context->request.id);
}

} // namespace sassafrasferry::entry
