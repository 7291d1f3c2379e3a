// Random decisions of a simulation, from its seed.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <cstdint>
#include <random>

namespace sassafrasferry::scheduling::tests {

class SimRandom
{
public:
    explicit SimRandom(std::uint64_t seed)
        : random(seed)
    {}

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    double between(double least, double most)
    {
        return std::uniform_real_distribution<double>(least, most)(this->random);
    }

    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(this->random);
    }

    policy::Duration between(policy::Duration least, policy::Duration most)
    {
        return policy::Duration(this->between(std::int64_t{least.count()}, most.count()));
    }

private:
    std::mt19937_64 random;
};

} // namespace sassafrasferry::scheduling::tests
