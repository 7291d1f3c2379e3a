// Generates the numbers by which answers of other entry VMs are matched with requests.
#pragma once

#include <cstdint>
#include <random>

namespace sassafrasferry::coordination {

/// Consecutive numbers that begin at a random one in each process. An entry VM may still answer a
/// request of an earlier process at this address, and that answer must not match a request of this
/// process.
class CallNumbers
{
public:
    std::uint64_t next()
    {
        return ++this->last;
    }

private:
    static std::uint64_t randomStart()
    {
        std::random_device random;
        return std::uint64_t(random()) << 32 | random();
    }

    std::uint64_t last = randomStart();
};

} // namespace sassafrasferry::coordination
