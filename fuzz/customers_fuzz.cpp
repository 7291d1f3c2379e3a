// Feeds arbitrary bytes to the parsers of customers' keys: the header of a call and the customers
// of a configuration. A key must not show up in a message about a faulty configuration.
#include <sassafrasferry/coordination/customer_keys.h>
#include <sassafrasferry/platform/decode.h>

#include <cstdint>
#include <cstdlib>

namespace {

constexpr const char *key = "key-that-stays-secret";

void parseHeader(const std::string &text)
{
    using namespace sassafrasferry;
    http::Request request{http::Verb::get, "/", 11};
    request.insert(http::Field::authorization, text);
    const auto presented = coordination::presentedKey(request);
    const bool hasDigest = !presented.digest.empty();
    if (hasDigest != (presented.state == policy::KeyState::Unknown))
        std::abort();
}

void parseConfiguration(const std::string &text)
{
    const auto body = R"({"version":1,"tenants":[{"name":"a","api_keys":[")" + std::string(key)
                      + R"("]},)" + text + "]}";
    const auto configuration = sassafrasferry::platform::decodeConfiguration(body);
    if (configuration.status().message().find(key) != std::string::npos)
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    parseHeader(text);
    parseConfiguration(text);
    return 0;
}
