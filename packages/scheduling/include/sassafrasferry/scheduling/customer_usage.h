// What the tasks of each customer may be using, against the customers' caps.
#pragma once

#include <sassafrasferry/scheduling/queue.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace sassafrasferry::scheduling {

/// Adds up the resources of the tasks of customers that have a cap.
///
/// Load pattern: an operator cuts a cap far below what the customer runs and goes on sending, and a
/// new leader doesn't know all runs of its predecessor yet. Whoever adds up has to include every
/// run that may exist, as a start must not bring the customer above its cap.
class CustomerUsage
{
public:
    /// Resources of a customer that are in use or count as such.
    struct Entry
    {
        jobs::Resources cap; ///< in each resource 0 is no limit
        jobs::Resources used;
    };

    CustomerUsage() = default;
    explicit CustomerUsage(const std::vector<Customer> &customers);

    /// False if no customer has a cap, so that there is nothing to add up.
    bool hasCaps() const;
    void add(const std::string &customer, const jobs::Resources &need);
    /// True if the need, `count` times, fits in what the customer's cap leaves. Always true without
    /// a cap.
    bool hasRoom(const std::string &customer, const jobs::Resources &need,
                 std::size_t count = 1) const;
    /// Adds the need if there is room for it.
    bool take(const std::string &customer, const jobs::Resources &need);
    const std::unordered_map<std::string, Entry> &entries() const;

private:
    std::unordered_map<std::string, Entry> byCustomer; // only those with a cap
};

/// Whether a customer with this cap can ever run all tasks of the job: each task, and each gang as
/// a whole, fits in the cap.
bool canEverRun(const jobs::JobSpec &job, const jobs::Resources &cap);

} // namespace sassafrasferry::scheduling
