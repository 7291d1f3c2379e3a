// A maintenance wave as operators order it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// Every VM named is to be maintained within the time, at most `atOnce` at a time.
struct Wave
{
    std::int64_t number = 0;
    std::vector<std::string> vms;
    std::chrono::milliseconds within{0};
    std::size_t atOnce = 1;
};

/// A VM as the cloud lists it.
struct Vm
{
    std::string name;
    std::string pool;
    std::string state;
    std::string rack;
    std::string worker; ///< the id of its worker; empty: none yet
};

} // namespace sassafrasferry::coordination
