// A token bucket, kept as the moment at which it is full again.
#include <sassafrasferry/policy/write_pace.h>

#include <algorithm>

namespace sassafrasferry::policy {

WritePace::WritePace(double perSecond, std::size_t entries)
    : perSecond(perSecond)
{
    this->setEntries(entries);
}

void WritePace::setEntries(std::size_t entries)
{
    const auto sharers = static_cast<double>(std::max<std::size_t>(1, entries));
    this->between = fromSeconds(sharers / this->perSecond);
}

Instant WritePace::next() const
{
    return this->spent - (burst - 1) * this->between;
}

void WritePace::taken(Instant now)
{
    this->spent = std::max(this->spent, now) + this->between;
}

Duration WritePace::interval() const
{
    return this->between;
}

} // namespace sassafrasferry::policy
