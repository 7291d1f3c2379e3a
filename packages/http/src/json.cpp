// JSON helpers.
#include <sassafrasferry/http/json.h>

namespace sassafrasferry::http {

namespace {

// Values are copied and written by functions that call themselves for each level: with tens of
// thousands of levels they would exhaust the stack.
constexpr std::size_t maxDepth = 100;

bool isNestedTooDeeply(const std::string &text)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (isInString) {
            if (character == '\\')
                ++i;
            isInString = character != '"';
        } else if (character == '"') {
            isInString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > maxDepth)
                return true;
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace

Response jsonResponse(Status status, const Json &body)
{
    Response response{status, 11};
    response.set(Field::content_type, "application/json");
    response.body() = body.dump();
    response.prepare_payload();
    return response;
}

Response textResponse(Status status, std::string body)
{
    Response response{status, 11};
    response.set(Field::content_type, "text/plain; charset=utf-8");
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

Request jsonRequest(Verb verb, std::string_view target, const Json &body)
{
    Request request{verb, beast::string_view(target.data(), target.size()), 11};
    request.set(Field::content_type, "application/json");
    if (!body.is_null())
        request.body() = body.dump();
    request.prepare_payload();
    return request;
}

Json parseJson(const std::string &body)
{
    if (isNestedTooDeeply(body))
        return Json(Json::value_t::discarded);
    return Json::parse(body, nullptr, false);
}

} // namespace sassafrasferry::http
