// Fuzzes the parsers of stored rows: any JSON yields a value or an error, and a parsed claim
// survives a round trip.
#include <sassafrasferry/fleet/fleet_rows.h>
#include <sassafrasferry/store/claim_rows.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasferry;
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto json = http::parseJson(text);
    if (json.is_discarded())
        return 0;
    const store::Row row{{"t", "k"}, 1, json};
    const auto claim = store::claimFrom(row);
    if (claim.ok() && !store::claimFrom({row.key, 1, store::toJson(claim->claim)}).ok())
        __builtin_trap();
    (void)fleet::vmFrom(row);
    (void)fleet::waveFrom(row);
    (void)fleet::budgetFrom(row);
    return 0;
}
