// The table service's HTTP protocol, as a client.
#include <sassafrasferry/store/table_client.h>

#include <glog/logging.h>

namespace sassafrasferry::store {

namespace {

using http::ExchangeState;
using http::Status;
using http::Verb;

absl::StatusOr<std::vector<Row>> rowsFrom(const Json &json)
{
    std::vector<Row> rows;
    try {
        for (const auto &row : json.at("rows"))
            rows.push_back(rowFrom(row));
    } catch (const Json::exception &error) {
        return absl::DataLossError(error.what());
    }
    return rows;
}

Commit commitFrom(const http::Response &response)
{
    const auto json = http::parseJson(response.body());
    Commit commit;
    try {
        if (response.result() == Status::ok) {
            commit.version = json.at("version").get<std::int64_t>();
            commit.state = CommitState::Committed;
        } else if (response.result() == Status::conflict) {
            commit.failed = json.at("failed").get<std::vector<std::size_t>>();
            commit.state = CommitState::Conflict;
        } else if (response.result() == Status::service_unavailable) {
            // The service's promise: an answer 503 means that nothing was written.
            commit.state = CommitState::NotApplied;
        }
    } catch (const Json::exception &error) {
        LOG(ERROR) << "event=store-answer-unreadable error=\"" << error.what() << '"';
        commit = {};
    }
    return commit;
}

} // namespace

TableClient::TableClient(http::asio::any_io_executor executor, const model::Endpoint &endpoint,
                         std::chrono::milliseconds timeout)
    : client(std::move(executor), endpoint, {})
    , timeout(timeout)
{}

Awaitable<Commit> TableClient::commit(Transaction transaction)
{
    auto request = http::jsonRequest(Verb::post, "/v1/transactions", toJson(transaction));
    const auto exchange = co_await this->client.exchange(std::move(request), this->timeout);
    if (exchange.state == ExchangeState::NotSent)
        co_return Commit{CommitState::NotApplied, absent, {}};
    if (exchange.state == ExchangeState::Broken)
        co_return Commit{CommitState::Unknown, absent, {}};
    co_return commitFrom(exchange.response);
}

Awaitable<absl::StatusOr<Json>> TableClient::ask(http::Request request)
{
    const auto exchange = co_await this->client.exchange(std::move(request), this->timeout);
    if (exchange.state != ExchangeState::Answered)
        co_return exchange.status;
    if (exchange.response.result() != Status::ok)
        co_return absl::UnavailableError("the table service answered "
                                         + std::to_string(exchange.response.result_int()));
    co_return http::parseJson(exchange.response.body());
}

Awaitable<absl::StatusOr<std::vector<Row>>> TableClient::read(std::vector<RowKey> keys)
{
    auto wanted = Json::array();
    for (const auto &key : keys)
        wanted.push_back(toJson(key));
    const auto body = Json{{"keys", std::move(wanted)}};
    const auto answer = co_await this->ask(http::jsonRequest(Verb::post, "/v1/reads", body));
    if (!answer.ok())
        co_return answer.status();
    co_return rowsFrom(*answer);
}

Awaitable<absl::StatusOr<std::vector<Row>>> TableClient::scan(ScanRange range)
{
    const Json body{{"table", range.table}, {"after", range.after}, {"limit", range.limit}};
    const auto answer = co_await this->ask(http::jsonRequest(Verb::post, "/v1/scans", body));
    if (!answer.ok())
        co_return answer.status();
    co_return rowsFrom(*answer);
}

} // namespace sassafrasferry::store
