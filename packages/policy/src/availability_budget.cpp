// The arithmetic of availability.
#include <sassafrasferry/policy/availability_budget.h>

#include <cmath>

namespace sassafrasferry::policy {

std::size_t AvailabilityBudget::mayBeOut() const
{
    const auto available = this->members + this->borrowed;
    return available > this->required ? available - this->required : 0;
}

AvailabilityBudget budgetOf(std::size_t members, double availability, std::size_t borrowed)
{
    // 0.9 of 10 must be 9, and not 10 because 0.9 * 10 is a little above 9 in binary.
    constexpr double rounding = 1e-9;
    const double exact = static_cast<double>(members) * availability;
    return {members, borrowed, static_cast<std::size_t>(std::ceil(exact - rounding))};
}

} // namespace sassafrasferry::policy
