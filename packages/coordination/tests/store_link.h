// One client's way to a store that it shares with others.
#pragma once

#include "feed_store.h"

namespace sassafrasferry::coordination {

/// Satisfies `store::PartStore`. While it is cut, the client's calls fail without an effect, and
/// the other clients of the store notice nothing.
class StoreLink
{
public:
    explicit StoreLink(FeedStore &store)
        : store(store)
    {}

    bool isCut = false;

    http::Awaitable<store::PartCommit> commit(store::PartTransaction transaction)
    {
        if (this->isCut) {
            store::PartCommit commit;
            commit.state = store::CommitState::NotApplied;
            co_return commit;
        }
        co_return co_await this->store.commit(std::move(transaction));
    }

    http::Awaitable<absl::StatusOr<store::PartPage>>
    scan(store::PartRange range, const std::shared_ptr<http::Abort> & = nullptr)
    {
        if (this->isCut)
            co_return absl::UnavailableError("the link is cut");
        co_return co_await this->store.scan(std::move(range));
    }

    http::Awaitable<absl::StatusOr<std::vector<std::string>>> parts(std::string table)
    {
        if (this->isCut)
            co_return absl::UnavailableError("the link is cut");
        co_return co_await this->store.parts(std::move(table));
    }

    http::Awaitable<absl::StatusOr<store::FeedPage>> feed(std::string table, std::int64_t after,
                                                          std::chrono::milliseconds wait,
                                                          const std::shared_ptr<http::Abort> &abort)
    {
        auto page = co_await this->store.feed(std::move(table), after, wait, abort);
        if (this->isCut)
            co_return absl::UnavailableError("the link is cut");
        co_return page;
    }

private:
    FeedStore &store;
};

} // namespace sassafrasferry::coordination
