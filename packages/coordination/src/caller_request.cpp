// Parses the headers and job ids of callers' job requests, and builds their common responses.
#include <sassafrasferry/coordination/caller_request.h>

#include <sassafrasferry/http/json.h>

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cctype>

namespace sassafrasferry::coordination {

namespace {

constexpr std::chrono::milliseconds defaultPatience(3000); // if the header is absent or invalid
constexpr std::chrono::milliseconds answerMargin(400); // for the response to reach the caller
constexpr std::size_t maxIdLength = 100;

} // namespace

std::string_view hostOf(const http::Request &request)
{
    const auto at = request.find(http::Field::host);
    if (at == request.end())
        return {};
    const std::string_view host(at->value().data(), at->value().size());
    return host.substr(0, host.find(':'));
}

Instant deadlineOf(const http::Request &request, const std::string &deadlineHeader)
{
    std::int64_t patience = defaultPatience.count();
    const auto text = http::fieldOf(request, deadlineHeader);
    if (!text.empty() && !absl::SimpleAtoi(text, &patience))
        patience = defaultPatience.count();
    return bootNow() + std::chrono::milliseconds(patience) - answerMargin;
}

bool isJobId(const std::string &text)
{
    return !text.empty() && text.size() <= maxIdLength
           && std::all_of(text.begin(), text.end(), [](unsigned char character) {
                  return std::isalnum(character) != 0 || character == '-' || character == '_';
              });
}

http::Response retryLater(const std::string &why, std::chrono::seconds wait)
{
    auto response = http::textResponse(http::Status::service_unavailable, why + "\n");
    response.set(http::Field::retry_after, std::to_string(wait.count()));
    return response;
}

http::Response pendingResponse(std::size_t count)
{
    return http::jsonResponse(http::Status::ok, {{"pending", count}});
}

http::Response aboveCap()
{
    return http::textResponse(http::Status::too_many_requests,
                              "a task of the job needs more than the customer's cap\n");
}

http::Response idTaken()
{
    return http::textResponse(http::Status::conflict, "the id can't be used\n");
}

http::Response cancelledBefore()
{
    return http::textResponse(http::Status::gone, "the job was cancelled before it was stored\n");
}

http::Response noSuchJob()
{
    return http::textResponse(http::Status::gone, "no such job\n");
}

} // namespace sassafrasferry::coordination
