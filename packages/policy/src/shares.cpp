// Rendezvous hashing and the division of slots.
#include <sassafrasferry/policy/shares.h>

#include <algorithm>

#include <xxhash.h>

namespace sassafrasferry::policy {

namespace {

struct Weighted
{
    std::uint64_t weight = 0;
    std::string entry;
};

std::uint64_t weightOf(const std::string &worker, const std::string &entry)
{
    const auto seed = XXH3_64bits(worker.data(), worker.size());
    return XXH3_64bits_withSeed(entry.data(), entry.size(), seed);
}

} // namespace

std::uint32_t partOf(std::uint32_t whole, std::size_t parts, std::size_t rank)
{
    const auto count = static_cast<std::uint32_t>(parts);
    const std::uint32_t remainder = whole % count;
    return whole / count + (rank < remainder ? 1 : 0);
}

std::vector<std::string> sharersOf(const std::string &worker,
                                   const std::vector<std::string> &liveEntries)
{
    std::vector<std::string> sharers;
    if (liveEntries.size() <= mostSharers) {
        sharers = liveEntries;
    } else {
        std::vector<Weighted> weighted;
        for (const auto &entry : liveEntries)
            weighted.push_back({weightOf(worker, entry), entry});
        std::partial_sort(weighted.begin(), weighted.begin() + mostSharers, weighted.end(),
                          [](const Weighted &a, const Weighted &b) { return a.weight > b.weight; });
        for (std::size_t i = 0; i < mostSharers; ++i)
            sharers.push_back(std::move(weighted[i].entry));
    }
    std::sort(sharers.begin(), sharers.end());
    return sharers;
}

Share shareOf(const Divisible &worker, const std::string &entry,
              const std::vector<std::string> &liveEntries)
{
    const auto sharers = sharersOf(worker.worker, liveEntries);
    const auto at = std::find(sharers.begin(), sharers.end(), entry);
    if (at == sharers.end())
        return {};
    const auto position = static_cast<std::size_t>(at - sharers.begin());
    const auto rank = (position + worker.ordinal) % sharers.size();
    return {partOf(worker.slots, sharers.size(), rank),
            partOf(worker.connections, sharers.size(), rank)};
}

} // namespace sassafrasferry::policy
