// Queues by class, with lazy removal.
#include <sassafrasferry/policy/request_queue.h>

namespace sassafrasferry::policy {

namespace {

std::size_t indexOf(model::RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

} // namespace

void RequestQueue::push(Submission request)
{
    const auto at = indexOf(request.requestClass);
    // A request that comes back after a failure has waited before: it goes to the front.
    if (request.isRetry)
        this->order[at].push_front(request.id);
    else
        this->order[at].push_back(request.id);
    ++this->counts[at];
    this->waiting.emplace(request.id, std::move(request));
}

bool RequestQueue::erase(RequestId id)
{
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end())
        return false;
    --this->counts[indexOf(found->second.requestClass)];
    this->waiting.erase(found);
    return true;
}

const Submission *RequestQueue::front(model::RequestClass requestClass)
{
    auto &ids = this->order[indexOf(requestClass)];
    while (!ids.empty()) {
        const auto found = this->waiting.find(ids.front());
        if (found != this->waiting.end())
            return &found->second;
        ids.pop_front();
    }
    return nullptr;
}

std::size_t RequestQueue::size() const
{
    return this->waiting.size();
}

std::size_t RequestQueue::size(model::RequestClass requestClass) const
{
    return this->counts[indexOf(requestClass)];
}

std::size_t RequestQueue::sizeUpTo(model::RequestClass requestClass) const
{
    std::size_t sum = 0;
    for (std::size_t i = 0; i <= indexOf(requestClass); ++i)
        sum += this->counts[i];
    return sum;
}

std::size_t RequestQueue::countSince(model::RequestClass requestClass, Instant arrived) const
{
    std::size_t count = 0;
    if (this->size(requestClass) == 0)
        return count;
    for (const auto id : this->order[indexOf(requestClass)]) {
        const auto found = this->waiting.find(id);
        count += found != this->waiting.end() && found->second.arrived <= arrived ? 1 : 0;
    }
    return count;
}

std::vector<Submission> RequestQueue::clear()
{
    std::vector<Submission> all;
    for (auto &[id, request] : this->waiting)
        all.push_back(std::move(request));
    this->waiting.clear();
    this->order = {};
    this->counts = {};
    return all;
}

model::RequestClass
ClassTurns::next(const std::array<bool, model::requestClassCount> &waiting) const
{
    std::size_t chosen = model::requestClassCount;
    for (std::size_t i = model::requestClassCount; i-- > 0;) {
        if (!waiting[i])
            continue;
        if (this->passedOver[i] >= patience)
            return static_cast<model::RequestClass>(i);
        chosen = i;
    }
    return static_cast<model::RequestClass>(chosen);
}

void ClassTurns::granted(model::RequestClass served,
                         const std::array<bool, model::requestClassCount> &waiting)
{
    for (std::size_t i = 0; i < model::requestClassCount; ++i) {
        if (i == indexOf(served) || !waiting[i])
            this->passedOver[i] = 0;
        else
            ++this->passedOver[i];
    }
}

} // namespace sassafrasferry::policy
