// Numbers by which answers of other entry VMs are matched with what was asked.
#pragma once

#include <cstdint>
#include <random>

namespace sassafrasferry::coordination {

/// Rises by one. Each process begins at a random number: an entry VM may yet answer what an earlier
/// process at this address has asked, and that answer must not be taken for another one's.
class CallNumbers
{
public:
    std::uint64_t next()
    {
        return ++this->last;
    }

private:
    static std::uint64_t anyNumber()
    {
        std::random_device random;
        return std::uint64_t(random()) << 32 | random();
    }

    std::uint64_t last = anyNumber();
};

} // namespace sassafrasferry::coordination
