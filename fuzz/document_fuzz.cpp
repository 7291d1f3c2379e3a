// Fuzzes the document parser: splitting preserves every byte, and in a valid document each VM
// belongs to one pool.
#include <sassafrasferry/model/sections.h>

#include <set>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasferry::model;
    const std::string text(reinterpret_cast<const char *>(data), size);
    Findings findings;
    const auto sections = splitSections(text, "fuzz", findings);
    if (!findings.empty())
        return 0;
    std::string joined;
    for (const auto &section : sections)
        joined += section.text;
    if (joined != text)
        __builtin_trap();
    const auto document = parseDocument(sections, 1, findings);
    if (!findings.empty())
        return 0;
    std::set<std::string> names;
    for (const auto &pool : document.pools) {
        for (const auto &vm : pool.vms) {
            if (!names.insert(vm.name).second)
                __builtin_trap();
        }
    }
    return 0;
}
