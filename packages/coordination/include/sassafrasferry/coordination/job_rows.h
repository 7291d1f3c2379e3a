// Keys, parts and contents of the rows of jobs in the store.
#pragma once

#include <sassafrasferry/jobs/job.h>
#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/store/part_rows.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// Tables of the job scheduler in the store.
namespace table {
constexpr const char *intake = "intake"; ///< accepted jobs, cancellations; written by entry VMs
constexpr const char *progress = "progress"; ///< state of jobs; written by the leader
constexpr const char *chain = "chain"; ///< one row per part with the leader's fencing token
constexpr const char *waves = "waves"; ///< VMs maintained in each wave; written by the leader
constexpr const char *lease = "lease"; ///< a single row with the leader's lease
} // namespace table

/// The parts among which the rows of jobs are divided. All rows of a job share a part, so that one
/// transaction can change them together.
///
/// The store carries out the transactions of a part one after another, a limited number per second.
/// With too few parts the entry VMs of a large fleet wait for one another; each part more costs the
/// leader transactions of its own.
///
/// Invariant: the parts of a layout are among those of each layout with more parts.
class JobParts
{
public:
    /// Of a store whose rates are unknown, and of versions before layouts of other sizes.
    static constexpr std::size_t minCount = 2;

    explicit JobParts(std::size_t count = minCount);

    /// Enough parts for half of the store's transactions; the rest is for other rows.
    /// Both rates are transactions per second, `partRate` those of one part.
    static JobParts forRates(double storeRate, double partRate);

    std::size_t count() const;
    std::string partOf(const std::string &job) const;
    std::vector<std::string> all() const;
    /// Parts that may hold the job: first that of this layout, then that of the smallest one.
    std::vector<std::string> candidatesOf(const std::string &job) const;

private:
    std::size_t partCount;
};

/// Key of the job's cancellation row in the intake table; it sorts right after the job's own key.
std::string cancellationKey(const std::string &job);

/// Key of the row that a new leader writes to the intake table of each part before it reads the
/// part. It sorts after the keys of all jobs.
constexpr const char *takeoverKey = "~takeover";
std::string takeoverValue(std::int64_t fence);
/// The fencing token of the leader that wrote the takeover row; nothing for any other row.
std::optional<std::int64_t> takeoverFence(const store::PartRow &row);

/// Stands in a job's intake row after the job was cancelled while the store had no row of it. A
/// hand-in that is carried out later finds the row and doesn't store the job.
///
/// Ids are chosen by callers, so customers may use the same one without knowing of each other. A
/// withdrawal binds the hand-ins of those who asked for it and of nobody else.
struct Withdrawal
{
    std::set<std::string> customers; ///< who asked for it; empty text: a caller without a key

    /// Whether it applies to hand-ins of the customer's jobs.
    bool binds(const std::string &customer) const;
};
std::string withdrawalValue(const Withdrawal &withdrawal);
/// The withdrawal in a row of the intake table; nothing for any other row.
std::optional<Withdrawal> withdrawalIn(const store::PartRow &row);

/// A parsed key of the intake table: the job, and whether the row is its cancellation.
struct IntakeKey
{
    std::string job;
    bool isCancellation = false;
};
IntakeKey parseIntakeKey(const std::string &key);

/// Intake row of a job. The caller adds the time of acceptance and the configuration version.
messages::JobRecord recordOf(const jobs::JobSpec &spec, const jobs::QueueTerms &terms);
jobs::QueueTerms termsFrom(const messages::JobRecord &record);

/// The customer of the job in a record of the intake table.
std::string customerOfRecord(const std::string &record);

/// The customer of the job in a row of the intake or progress table; empty if the row names none.
std::string customerOfRow(const store::PartRow &row);

/// Whether a submitted record repeats the job of a row. Rows of earlier versions name no customer.
bool hasSameCustomer(const std::string &record, const store::PartRow &row);

} // namespace sassafrasferry::coordination
