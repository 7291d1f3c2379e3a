// The retry bucket.
#include <sassafrasferry/policy/retry_budget.h>

#include <algorithm>

namespace sassafrasferry::policy {

RetryBudget::RetryBudget(double ratio)
    : ratio(ratio)
    , tokens(ratio > 0 ? capacity : 0)
{}

void RetryBudget::firstAttempt()
{
    this->tokens = std::min(capacity, this->tokens + this->ratio);
}

bool RetryBudget::take()
{
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

} // namespace sassafrasferry::policy
