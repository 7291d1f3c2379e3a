// The API keys of customers: digests of those in the configuration, and the one of a request.
#pragma once

#include <sassafrasferry/http/types.h>
#include <sassafrasferry/policy/caller_access.h>
#include <sassafrasferry/scheduling/queue.h>

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sassafrasferry::coordination {

/// Finds the holder of a key by the key's digest.
class CustomerKeys
{
public:
    CustomerKeys() = default;
    explicit CustomerKeys(const std::vector<scheduling::Customer> &customers);

    /// Name of the customer; nullptr if nobody holds the key. The time taken doesn't tell how much
    /// of a digest is right.
    const std::string *holderOf(std::string_view digest) const;

private:
    struct Entry
    {
        std::string digest;
        std::string customer;
    };

    std::unordered_multimap<std::string, Entry> entries; // by the first characters of the digest
};

/// The key of a request. The key itself is not kept.
struct PresentedKey
{
    policy::KeyState state = policy::KeyState::Missing; ///< Unknown until its holder is looked up
    std::string digest; ///< empty unless the state is Unknown
};

/// Reads `Authorization: Token KEY`.
PresentedKey presentedKey(const http::Request &request);

/// A call that was checked.
struct Caller
{
    policy::KeyState key = policy::KeyState::NotNeeded;
    std::string customer; ///< empty: came without a key
    std::string keyDigest; ///< empty: came without a key
};

/// Looks up the caller of a request to the queue.
Caller identifyCaller(const http::Request &request, const scheduling::Queue &queue,
                      const CustomerKeys &keys);

/// Response 401 that names the scheme.
http::Response keyRequired();

} // namespace sassafrasferry::coordination
