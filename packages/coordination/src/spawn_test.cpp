#include <sassafrasferry/coordination/spawn.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

using namespace sassafrasferry::coordination;

namespace {

Awaitable<void> failOnce(int &runs)
{
    if (++runs == 1)
        throw std::runtime_error("no number");
    co_return;
}

} // namespace

TEST_CASE("The error that ends a coroutine is told to its owner")
{
    sassafrasferry::http::asio::io_context context;
    int runs = 0;
    std::string told;
    spawn(
        context.get_executor(), "part", [&] { return failOnce(runs); },
        [&](const std::string &error) { told = error; });
    context.run();
    CHECK(runs == 1);
    CHECK(told == "no number");
}

TEST_CASE("A loop that an error ended runs again")
{
    sassafrasferry::http::asio::io_context context;
    int runs = 0;
    bool failed = false;
    spawn(
        context.get_executor(), "loop",
        [&] { return restarted("loop", [&] { return failOnce(runs); }); },
        [&](const std::string &) { failed = true; });
    context.run();
    CHECK(runs == 2);
    CHECK_FALSE(failed);
}
