// JSON helpers.
#include <sassafrasferry/http/json.h>

namespace sassafrasferry::http {

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
    return Json::parse(body, nullptr, false);
}

} // namespace sassafrasferry::http
