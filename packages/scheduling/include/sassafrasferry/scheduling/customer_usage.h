// What the tasks of each customer may be using, against the customers' caps.
#pragma once

#include <sassafrasferry/scheduling/queue.h>

#include <string>
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
        std::string customer;
        jobs::Resources cap; ///< in each resource 0 is no limit
        jobs::Resources used;
    };

    /// The use of one customer, for many tasks after one lookup. Valid as long as the usage.
    class Account
    {
    public:
        /// True if the need, `count` times, fits in what the customer's cap leaves. Always true
        /// without a cap.
        bool hasRoom(const jobs::Resources &need, std::size_t count = 1) const;
        void add(const jobs::Resources &need);
        /// Adds the need if there is room for it.
        bool take(const jobs::Resources &need);

    private:
        friend class CustomerUsage;
        explicit Account(Entry *entry);

        Entry *entry; // null without a cap
    };

    CustomerUsage() = default;
    explicit CustomerUsage(const std::vector<Customer> &customers);

    /// `number`: the customer's place in the list; from its length on, no customer.
    Account accountOf(std::size_t number);
    /// Of all customers, in the order of the list.
    const std::vector<Entry> &entries() const;

private:
    std::vector<Entry> accounts;
};

/// Whether a customer with this cap can ever run all tasks of the job: each task, and each gang as
/// a whole, fits in the cap.
bool canEverRun(const jobs::JobSpec &job, const jobs::Resources &cap);

} // namespace sassafrasferry::scheduling
