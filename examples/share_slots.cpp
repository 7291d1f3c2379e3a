// Divides the slots of three workers among four entry VMs with the function that each entry VM
// runs.
#include <sassafrasferry/policy/shares.h>

#include <iostream>

int main()
{
    using namespace sassafrasferry::policy;
    const std::vector<std::string> live{"e1", "e2", "e3", "e4"};
    for (std::size_t ordinal = 0; ordinal < 3; ++ordinal) {
        const Divisible worker{"w" + std::to_string(ordinal), ordinal, 10, 64};
        std::cout << worker.worker << ":";
        for (const auto &entry : live)
            std::cout << " " << entry << "=" << shareOf(worker, entry, live).slots;
        std::cout << "\n";
    }
}
