// Lets a call pass or refuses it, by its key and the known configuration.
#pragma once

#include <sassafrasferry/coordination/caller_request.h>
#include <sassafrasferry/coordination/configuration_reader.h>
#include <sassafrasferry/coordination/customer_keys.h>
#include <sassafrasferry/policy/retry_advice.h>

#include <optional>

namespace sassafrasferry::coordination {

/// A caller, and the answer to its call if the call is refused.
struct CheckedCaller
{
    Caller caller;
    std::optional<http::Response> refusal;
};

/// Checks calls against the newest configuration that the entry VM knows.
template<typename Platform>
class CallerCheck
{
public:
    /// `checksKeys`: callers need a customer's key, but on anonymous queues.
    CallerCheck(const ConfigurationReader<Platform> &operators, bool checksKeys)
        : operators(operators)
        , checksKeys(checksKeys)
    {}

    CheckedCaller check(const http::Request &request, const scheduling::Queue &queue) const
    {
        CheckedCaller result;
        if (this->checksKeys)
            result.caller = identifyCaller(request, queue, this->operators.keys());
        const auto age = this->operators.age();
        const auto access =
            policy::decideAccess(result.caller.key, age, this->operators.bounds().keyTimes());
        if (access == policy::Access::Allowed)
            return result;
        LOG(INFO) << "event=call-refused queue=" << queue.terms.queue
                  << " access=" << model::nameOf(access)
                  << " key=" << model::nameOf(result.caller.key)
                  << " customer=" << result.caller.customer
                  << " config=" << this->operators.configuration().version
                  << " age-ms=" << age / std::chrono::milliseconds(1);
        result.refusal = access == policy::Access::Unauthenticated
                             ? keyRequired()
                             : retryLater("the keys can't be checked now",
                                          policy::retryAfter(age, request.target()));
        return result;
    }

private:
    const ConfigurationReader<Platform> &operators;
    bool checksKeys;
};

} // namespace sassafrasferry::coordination
