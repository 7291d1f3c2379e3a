// Reading the key of a request and finding its holder.
#include <sassafrasferry/coordination/customer_keys.h>
#include <sassafrasferry/store/digest.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using policy::KeyState;

namespace {

scheduling::Customer customerWith(const std::string &name, const std::vector<std::string> &keys)
{
    scheduling::Customer customer;
    customer.name = name;
    for (const auto &key : keys)
        customer.keyDigests.push_back(store::sha256(key));
    return customer;
}

} // namespace

TEST_CASE("a key is read from exactly one header of the expected form")
{
    struct Row
    {
        std::vector<std::string> headers;
        KeyState state;
    };
    const std::vector<Row> rows{
        {{}, KeyState::Missing},
        {{"Token abc"}, KeyState::Unknown},
        {{"token abc"}, KeyState::Unknown},
        {{"Token  abc "}, KeyState::Unknown},
        {{""}, KeyState::Malformed},
        {{"Token"}, KeyState::Malformed},
        {{"Token "}, KeyState::Malformed},
        {{"Tokenabc"}, KeyState::Malformed},
        {{"Bearer abc"}, KeyState::Malformed},
        {{"Token a b"}, KeyState::Malformed},
        {{"Token a\x01"}, KeyState::Malformed},
        {{"Token a\xc3\xa9"}, KeyState::Malformed},
        {{"Token " + std::string(256, 'k')}, KeyState::Unknown},
        {{"Token " + std::string(257, 'k')}, KeyState::Malformed},
        {{"Token abc", "Token abc"}, KeyState::Malformed},
    };
    for (const auto &row : rows) {
        http::Request request{http::Verb::get, "/", 11};
        for (const auto &header : row.headers)
            request.insert(http::Field::authorization, header);
        CAPTURE(row.headers);
        const auto presented = presentedKey(request);
        CHECK(presented.state == row.state);
        CHECK(presented.digest.empty() == (row.state != KeyState::Unknown));
    }
}

TEST_CASE("a key is found by its digest, and only the whole digest counts")
{
    const CustomerKeys keys({customerWith("a", {"k1", "k2"}), customerWith("b", {"k3"})});
    REQUIRE(keys.holderOf(store::sha256("k1")));
    CHECK(*keys.holderOf(store::sha256("k2")) == "a");
    CHECK(*keys.holderOf(store::sha256("k3")) == "b");
    CHECK(keys.holderOf(store::sha256("k4")) == nullptr);
    CHECK(keys.holderOf("") == nullptr);
    CHECK(keys.holderOf("k1") == nullptr);
    CHECK(keys.holderOf(store::sha256("k1").substr(0, 63)) == nullptr);
}

// Guards against a caller that is let in because a customer has no keys.
TEST_CASE("a customer without keys lets nobody in")
{
    const CustomerKeys keys({customerWith("a", {})});
    CHECK(keys.holderOf("") == nullptr);
    CHECK(keys.holderOf(store::sha256("")) == nullptr);
}

// By hand: prints the time of a lookup with its digest, beside 1,000 customers with 10 keys each.
TEST_CASE("the time to find the holder of a key", "[.measure]")
{
    constexpr int lookups = 200000;
    std::vector<scheduling::Customer> customers;
    for (int i = 0; i < 1000; ++i) {
        std::vector<std::string> keys;
        for (int j = 0; j < 10; ++j)
            keys.push_back("key-" + std::to_string(i) + "-" + std::to_string(j));
        customers.push_back(customerWith("customer" + std::to_string(i), keys));
    }
    const CustomerKeys keys(customers);
    http::Request request{http::Verb::get, "/", 11};
    request.set(http::Field::authorization, "Token key-500-5");
    const scheduling::Queue queue;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < lookups; ++i)
        REQUIRE(identifyCaller(request, queue, keys).key == KeyState::Held);
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    WARN(took.count() / lookups << " us a call");
}
