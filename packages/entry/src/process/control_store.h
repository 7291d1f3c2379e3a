// Access to the platform's store for traffic threads; every call runs on the control thread.
#pragma once

#include <sassafrasferry/store/claim_rows.h>
#include <sassafrasferry/store/object_client.h>
#include <sassafrasferry/store/row_batcher.h>
#include <sassafrasferry/store/table_client.h>

#include <atomic>

namespace sassafrasferry::entry {

using http::Awaitable;

/// Claims and objects, callable from any executor.
class ControlStore
{
public:
    ControlStore(http::asio::any_io_executor control, const model::Settings &settings,
                 std::string incarnationName);

    Awaitable<absl::StatusOr<store::VersionedClaim>> readClaim(std::string key);
    Awaitable<store::WriteResult> writeClaim(policy::Claim claim, std::int64_t version);
    Awaitable<absl::Status> putObject(std::string name, std::string body);
    Awaitable<absl::StatusOr<std::string>> getObject(std::string name);

    /// Sets the number of live entry VMs that share the store's write budget. Control thread only.
    void setEntries(std::size_t entries);
    /// Control thread only.
    store::TableClient &tables();
    store::ObjectClient &objectStore();
    /// Number of store transactions that contained claims.
    std::size_t transactions() const;

private:
    template<typename T, typename Operation>
    Awaitable<T> onControl(Operation operation);

    http::asio::any_io_executor control;
    store::TableClient tableClient;
    store::RowBatcher<store::TableClient> batcher;
    store::ObjectClient objects;
    std::string incarnationName;
    std::chrono::milliseconds claimRetention;
    std::atomic<std::uint64_t> lastWriteId{0};
};

} // namespace sassafrasferry::entry
