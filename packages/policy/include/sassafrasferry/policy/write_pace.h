// Bounds the transactions that all entry VMs together send to the store for claims: each takes an
// equal part of one rate. What was not used is kept for a short burst, so that a lone request
// waits for nothing and a surge is gathered into batches.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <cstddef>

namespace sassafrasferry::policy {

/// When this entry VM may send its next transaction.
///
/// ```
/// WritePace pace(280, 7); // 40 a second for each of seven entry VMs
/// if (pace.next(now) <= now)
///     pace.taken(now);
/// ```
class WritePace
{
public:
    /// Transactions that may follow each other at once after a pause.
    static constexpr int burst = 4;

    /// `perSecond`: of all entry VMs together; `entries`: how many share it.
    WritePace(double perSecond, std::size_t entries);

    /// Another number of entry VMs shares the rate from now on.
    void setEntries(std::size_t entries);
    /// The earliest moment for the next transaction; it may lie in the past.
    Instant next() const;
    /// A transaction is sent.
    void taken(Instant now);
    /// The time between two transactions at the full rate.
    Duration interval() const;

private:
    double perSecond;
    Duration between{};
    Instant spent{}; // the moment at which all that was taken will have been earned
};

} // namespace sassafrasferry::policy
