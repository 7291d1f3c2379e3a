// The window of run times. It is 64 wide, so that the median costs one partial sort of 64 values.
#include <sassafrasferry/policy/run_times.h>

#include <algorithm>

namespace sassafrasferry::policy {

RunTimes::RunTimes(Duration declared)
    : declared(declared)
{}

void RunTimes::add(Duration runTime)
{
    if (this->count == windowSize)
        this->sum -= this->window[this->next];
    else
        ++this->count;
    this->window[this->next] = runTime;
    this->sum += runTime;
    this->next = (this->next + 1) % windowSize;
}

double RunTimes::meanSeconds() const
{
    constexpr double least = 1e-6;
    if (this->count < enough)
        return std::max(least, seconds(this->declared));
    return std::max(least, seconds(this->sum) / static_cast<double>(this->count));
}

Duration RunTimes::median() const
{
    if (this->count < enough)
        return this->declared;
    auto sorted = this->window;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(this->count);
    const auto rank = static_cast<std::ptrdiff_t>((this->count - 1) / 2);
    std::nth_element(sorted.begin(), sorted.begin() + rank, end);
    return sorted[static_cast<std::size_t>(rank)];
}

} // namespace sassafrasferry::policy
