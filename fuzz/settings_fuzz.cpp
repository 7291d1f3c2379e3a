// Fuzzes the settings parser: any text yields findings or complete settings.
#include <sassafrasferry/model/settings.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasferry::model;
    Findings findings;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto settings = parseSettings(text, "fuzz", findings);
    if (findings.empty() && (settings.name.empty() && settings.callers.port == 0))
        __builtin_trap(); // no findings although a required key is missing
    return 0;
}
