// Plans the first step of a maintenance wave over eight VMs in four racks; six VMs must stay in
// service.
#include <sassafrasferry/policy/wave_planner.h>

#include <iostream>

int main()
{
    using namespace sassafrasferry::policy;
    WavePool pool;
    pool.name = "invoicing";
    pool.availability = 0.75;
    for (int i = 0; i < 8; ++i)
        pool.vms.push_back(
            {"w" + std::to_string(i), "dc1", "r" + std::to_string(i / 2), WaveVmState::Pending});
    const auto step = planWave(pool);
    std::cout << sassafrasferry::model::nameOf(step.verdict) << ": " << step.reason << "\n";
    for (const auto &vm : step.drain)
        std::cout << "  " << vm << "\n";
}
