// The platform's store as traffic threads use it: every call runs on the control thread.
#pragma once

#include <sassafrasferry/platform/claim_rows.h>
#include <sassafrasferry/platform/object_client.h>
#include <sassafrasferry/platform/row_batcher.h>
#include <sassafrasferry/platform/table_client.h>

#include <atomic>

namespace sassafrasferry::entry {

using http::Awaitable;

/// Claims and objects, callable from any executor.
class ControlStore
{
public:
    ControlStore(http::asio::any_io_executor control, const model::Settings &settings,
                 std::string incarnationName);

    Awaitable<absl::StatusOr<platform::VersionedClaim>> readClaim(std::string key);
    Awaitable<platform::WriteResult> writeClaim(policy::Claim claim, std::int64_t version);
    Awaitable<absl::Status> putObject(std::string name, std::string body);
    Awaitable<absl::StatusOr<std::string>> getObject(std::string name);

    /// The number of live entry VMs, which share the store's writes. For the control thread only.
    void setEntries(std::size_t entries);
    /// For the control thread only.
    platform::TableClient &tables();
    platform::ObjectClient &objectStore();
    /// Transactions that carried claims.
    std::size_t transactions() const;

private:
    template<typename T, typename Operation>
    Awaitable<T> onControl(Operation operation);

    http::asio::any_io_executor control;
    platform::TableClient tableClient;
    platform::RowBatcher<platform::TableClient> batcher;
    platform::ObjectClient objects;
    std::string incarnationName;
    std::chrono::milliseconds claimRetention;
    std::atomic<std::uint64_t> lastWriteId{0};
};

} // namespace sassafrasferry::entry
