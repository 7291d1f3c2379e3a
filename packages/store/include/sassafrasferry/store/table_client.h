// The table service over HTTP. Its protocol is described in docs/DESIGN.md.
#pragma once

#include <sassafrasferry/http/client.h>
#include <sassafrasferry/store/rows.h>

namespace sassafrasferry::store {

/// A client of the table service; for use on one executor.
class TableClient
{
public:
    TableClient(http::asio::any_io_executor executor, const model::Endpoint &endpoint,
                std::chrono::milliseconds timeout);

    Awaitable<Commit> commit(Transaction transaction);
    Awaitable<absl::StatusOr<std::vector<Row>>> read(std::vector<RowKey> keys);
    Awaitable<absl::StatusOr<std::vector<Row>>> scan(ScanRange range);
    http::ClientTraffic traffic() const
    {
        return this->client.traffic();
    }

private:
    Awaitable<absl::StatusOr<Json>> ask(http::Request request);

    http::Client client;
    std::chrono::milliseconds timeout;
};

} // namespace sassafrasferry::store
