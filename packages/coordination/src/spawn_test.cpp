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

TEST_CASE("An exception that ends a coroutine is passed to its failure handler")
{
    sassafrasferry::http::asio::io_context context;
    int runs = 0;
    std::string reported;
    spawn(
        context.get_executor(), "part", [&] { return failOnce(runs); },
        [&](const std::string &error) { reported = error; });
    context.run();
    CHECK(runs == 1);
    CHECK(reported == "no number");
}

TEST_CASE("A loop is restarted after an exception")
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
