// Settings files: any text gives findings or settings, and never more.
#include <sassafrasferry/model/settings.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasferry::model;
    Findings findings;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto settings = parseSettings(text, "fuzz", findings);
    if (findings.empty() && (settings.name.empty() && settings.callers.port == 0))
        __builtin_trap(); // sound settings without what is required
    return 0;
}
