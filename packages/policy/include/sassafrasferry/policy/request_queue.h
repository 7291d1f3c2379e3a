// The requests of one service that wait for a slot, by class, oldest first.
#pragma once

#include <sassafrasferry/model/vocabulary.h>
#include <sassafrasferry/policy/routing_table.h>
#include <sassafrasferry/policy/time.h>
#include <sassafrasferry/policy/worker_health.h>

#include <array>
#include <deque>
#include <unordered_map>
#include <vector>

namespace sassafrasferry::policy {

/// Names a request within one entry VM.
enum class RequestId : std::uint64_t {};

/// A request as the dispatcher sees it.
struct Submission
{
    RequestId id{};
    std::string service;
    model::RequestClass requestClass = model::RequestClass::Normal;
    Instant deadline{};
    JobFingerprint job = 0;
    bool isRetry = false;
    int preemptions = 0; ///< times it was stopped for an urgent request
    Instant arrived{}; ///< set when it is submitted
    std::vector<std::string> avoid; ///< workers that this request failed on
    std::string avoidRack; ///< the rack of the last of them; another one is preferred
};

/// Waiting requests of one service.
class RequestQueue
{
public:
    void push(Submission request);
    /// True if the request was waiting.
    bool erase(RequestId id);
    /// The oldest request of a class, or nullptr.
    const Submission *front(model::RequestClass requestClass);
    std::size_t size() const;
    std::size_t size(model::RequestClass requestClass) const;
    /// Requests of this class or a more pressing one.
    std::size_t sizeUpTo(model::RequestClass requestClass) const;
    /// Waiting requests of a class that arrived at this moment or before.
    std::size_t countSince(model::RequestClass requestClass, Instant arrived) const;
    /// Takes everything out.
    std::vector<Submission> clear();

private:
    std::unordered_map<RequestId, Submission> waiting;
    // May hold ids that are no longer waiting; they are skipped when they come to the front, so
    // that a cancellation costs the same however long the queue is.
    std::array<std::deque<RequestId>, model::requestClassCount> order;
    std::array<std::size_t, model::requestClassCount> counts{};
};

/// Chooses which class is served next on one pool: the most pressing one that waits, but after
/// `patience` grants that passed a waiting class over, that class has its turn. Background work
/// gives way and yet never starves.
class ClassTurns
{
public:
    static constexpr std::uint32_t patience = 15;

    /// `waiting[c]`: whether class c has a request that waits. At least one must.
    model::RequestClass next(const std::array<bool, model::requestClassCount> &waiting) const;
    /// A request of class `served` was granted.
    void granted(model::RequestClass served,
                 const std::array<bool, model::requestClassCount> &waiting);

private:
    std::array<std::uint32_t, model::requestClassCount> passedOver{};
};

} // namespace sassafrasferry::policy
