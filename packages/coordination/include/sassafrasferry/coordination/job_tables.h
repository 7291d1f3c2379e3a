// Reads what a new leader needs of the tables of jobs, all parts side by side.
#pragma once

#include <sassafrasferry/coordination/concurrently.h>
#include <sassafrasferry/coordination/job_rows.h>

#include <functional>
#include <optional>
#include <set>

namespace sassafrasferry::coordination {

/// Reads the tables of jobs, and repeats each read until the store answers.
template<store::PartStore Store>
class JobTables
{
public:
    /// `isStopped`: whether the reads should be given up.
    JobTables(Store &store, std::function<bool()> isStopped)
        : store(store)
        , isStopped(std::move(isStopped))
    {}

    /// The parts that hold rows of jobs, and those of `layout`. Entry VMs whose settings name other
    /// rates of the store keep jobs in other parts. Empty if the read was given up.
    Awaitable<std::vector<std::string>> listParts(JobParts layout)
    {
        const auto own = layout.all();
        std::set<std::string> names(own.begin(), own.end());
        const std::vector<std::string> tables{table::intake, table::progress};
        const auto list = [&](std::size_t index) -> Awaitable<bool> {
            auto listed = co_await this->store.parts(tables[index]);
            while (!listed.ok() && !this->isStopped()) {
                co_await pause(retryPause);
                listed = co_await this->store.parts(tables[index]);
            }
            if (this->isStopped())
                co_return false;
            names.insert(listed->begin(), listed->end());
            co_return true;
        };
        const bool isListed = co_await allSucceed(tables.size(), list);
        if (!isListed)
            names.clear();
        co_return std::vector<std::string>(names.begin(), names.end());
    }

    /// Passes the rows of the progress table to `onRows`, part by part. False if the read was given
    /// up.
    Awaitable<bool> loadProgress(std::vector<std::string> parts,
                                 std::function<void(const std::vector<store::PartRow> &)> onRows)
    {
        const auto loadPart = [&](std::size_t index) -> Awaitable<bool> {
            const store::PartRange range{table::progress, parts[index], "", ""};
            auto page = co_await this->store.scan(range);
            while (!page.ok() && !this->isStopped()) {
                co_await pause(retryPause);
                page = co_await this->store.scan(range);
            }
            if (this->isStopped())
                co_return false;
            onRows(page->rows);
            co_return true;
        };
        co_return co_await allSucceed(parts.size(), loadPart);
    }

private:
    static constexpr auto retryPause = std::chrono::milliseconds(50);

    Store &store;
    std::function<bool()> isStopped;
};

} // namespace sassafrasferry::coordination
