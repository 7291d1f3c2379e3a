// The API keys of customers: digests of those in the configuration, and the one of a request.
#include <sassafrasferry/coordination/customer_keys.h>

#include <sassafrasferry/http/json.h>
#include <sassafrasferry/store/digest.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace sassafrasferry::coordination {

namespace {

constexpr absl::string_view scheme = "Token";
constexpr std::size_t maxKeyLength = 256;
constexpr std::size_t prefixLength = 8; // of a digest, by which it is found

std::string prefixOf(std::string_view digest)
{
    return std::string(digest.substr(0, prefixLength));
}

bool isKey(absl::string_view text)
{
    return !text.empty() && text.size() <= maxKeyLength
           && std::all_of(text.begin(), text.end(),
                          [](unsigned char character) { return absl::ascii_isgraph(character); });
}

} // namespace

CustomerKeys::CustomerKeys(const std::vector<scheduling::Customer> &customers)
{
    for (const auto &customer : customers) {
        for (const auto &digest : customer.keyDigests)
            this->entries.emplace(prefixOf(digest), Entry{digest, customer.name});
    }
}

const std::string *CustomerKeys::holderOf(std::string_view digest) const
{
    const auto [begin, end] = this->entries.equal_range(prefixOf(digest));
    const std::string *holder = nullptr;
    for (auto at = begin; at != end; ++at) {
        if (store::equalInConstantTime(at->second.digest, digest))
            holder = &at->second.customer;
    }
    return holder;
}

PresentedKey presentedKey(const http::Request &request)
{
    const auto [begin, end] = request.equal_range(http::Field::authorization);
    if (begin == end)
        return {policy::KeyState::Missing, ""};
    const absl::string_view value(begin->value().data(), begin->value().size());
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(value, absl::MaxSplits(' ', 1));
    const auto key = absl::StripAsciiWhitespace(parts.second);
    if (std::next(begin) != end || !absl::EqualsIgnoreCase(parts.first, scheme) || !isKey(key))
        return {policy::KeyState::Malformed, ""};
    return {policy::KeyState::Unknown, store::sha256({key.data(), key.size()})};
}

Caller identifyCaller(const http::Request &request, const scheduling::Queue &queue,
                      const CustomerKeys &keys)
{
    if (queue.isAnonymous)
        return {};
    auto presented = presentedKey(request);
    Caller caller;
    caller.key = presented.state;
    if (const auto *holder = keys.holderOf(presented.digest)) {
        caller.key = policy::KeyState::Held;
        caller.customer = *holder;
        caller.keyDigest = std::move(presented.digest);
    }
    return caller;
}

http::Response keyRequired()
{
    auto response = http::textResponse(http::Status::unauthorized, "a valid API key is required\n");
    response.set(http::Field::www_authenticate, std::string(scheme));
    return response;
}

} // namespace sassafrasferry::coordination
