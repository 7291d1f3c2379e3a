// Runs store operations on the control thread and returns their results to the caller.
#include "control_store.h"

namespace sassafrasferry::entry {

namespace asio = boost::asio;

ControlStore::ControlStore(asio::any_io_executor control, const model::Settings &settings,
                           std::string incarnationName)
    : control(control)
    , tableClient(control, settings.platform, settings.control.storeTimeout)
    , batcher(control, this->tableClient,
              {policy::WritePace(static_cast<double>(settings.control.claimWrites),
                                 settings.peers.size() + 1),
               2 * settings.control.storeTimeout, std::chrono::milliseconds(50)})
    , objects(control, settings.platform, settings.control.storeTimeout)
    , incarnationName(std::move(incarnationName))
    , claimRetention(settings.control.claimRetention)
{}

template<typename T, typename Operation>
Awaitable<T> ControlStore::onControl(Operation operation)
{
    return http::awaitCallback<T>(
        [this, operation = std::move(operation)](std::function<void(T)> done) {
            asio::co_spawn(
                this->control,
                [operation, done = std::move(done)]() -> Awaitable<void> {
                    auto result = co_await operation();
                    done(std::move(result));
                },
                asio::detached);
        });
}

Awaitable<absl::StatusOr<store::VersionedClaim>> ControlStore::readClaim(std::string key)
{
    using Result = absl::StatusOr<store::VersionedClaim>;
    return this->onControl<Result>([this, key = std::move(key)]() -> Awaitable<Result> {
        const auto row = co_await this->batcher.read(store::claimKey(key));
        if (!row.ok())
            co_return row.status();
        co_return store::claimFrom(*row);
    });
}

Awaitable<store::WriteResult> ControlStore::writeClaim(policy::Claim claim, std::int64_t version)
{
    store::RowWrite write;
    write.key = store::claimKey(claim.key);
    write.expectedVersion = version;
    write.value = store::toJson(claim);
    write.writeId = this->incarnationName + "." + std::to_string(++this->lastWriteId);
    if (claim.state == policy::ClaimState::Claimed)
        write.expiresAt = claim.claimedAt + this->claimRetention.count();
    using Result = store::WriteResult;
    return this->onControl<Result>([this, write = std::move(write)]() -> Awaitable<Result> {
        co_return co_await this->batcher.write(write);
    });
}

Awaitable<absl::Status> ControlStore::putObject(std::string name, std::string body)
{
    using Result = absl::Status;
    return this->onControl<Result>(
        [this, name = std::move(name), body = std::move(body)]() -> Awaitable<Result> {
            co_return co_await this->objects.put(name, body);
        });
}

Awaitable<absl::StatusOr<std::string>> ControlStore::getObject(std::string name)
{
    using Result = absl::StatusOr<std::string>;
    return this->onControl<Result>([this, name = std::move(name)]() -> Awaitable<Result> {
        co_return co_await this->objects.get(name);
    });
}

void ControlStore::setEntries(std::size_t entries)
{
    this->batcher.setEntries(entries);
}

store::TableClient &ControlStore::tables()
{
    return this->tableClient;
}

store::ObjectClient &ControlStore::objectStore()
{
    return this->objects;
}

std::size_t ControlStore::transactions() const
{
    return this->batcher.transactions();
}

} // namespace sassafrasferry::entry
