// Fuzzes the parsers of administration requests: any path and body parses or yields an error.
#include "../packages/entry/src/process/admin_request.h"

#include <sassafrasferry/http/json.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasferry;
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto target =
        entry::parseAdminTarget(size % 2 == 0 ? http::Verb::get : http::Verb::post, text);
    // Names are echoed in responses; invalid UTF-8 would make JSON serialization throw.
    (void)http::jsonResponse(http::Status::ok, {{"name", target.name}});
    const auto change = entry::parseSectionChange("fleet", text);
    if (change.ok())
        (void)http::jsonResponse(http::Status::ok, {{"text", change->text}});
    (void)entry::parseWaveOrder(text);
    return 0;
}
