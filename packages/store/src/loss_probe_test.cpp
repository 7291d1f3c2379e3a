#include <sassafrasferry/store/loss_probe.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace sassafrasferry;
using std::chrono::milliseconds;

namespace {

/// When the call's answer comes.
enum class Answer {
    AtOnce,
    DuringProbe,
    AfterProbe,
    Never,
};

struct Case
{
    std::string name;
    Answer answer;
    bool isQuick; ///< the store, when probed
    bool probes;
    bool arrives;
};

const std::vector<Case> cases{
    {"a quick store", Answer::AtOnce, true, false, true},
    {"a lost answer", Answer::Never, true, true, false},
    {"a slow store", Answer::AfterProbe, false, true, true},
    {"an answer that comes beside a quick probe", Answer::DuringProbe, true, true, true},
    {"an answer that comes beside a slow probe", Answer::DuringProbe, false, true, true},
};

/// Ends when told to.
struct Gate
{
    explicit Gate(http::asio::io_context &context)
        : timer(context, std::chrono::steady_clock::time_point::max())
    {}

    http::Awaitable<int> wait()
    {
        boost::system::error_code ignored;
        co_await this->timer.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, ignored));
        co_return 7;
    }

    void open()
    {
        this->timer.expires_at(std::chrono::steady_clock::time_point::min());
    }

    http::asio::steady_timer timer;
};

} // namespace

// A caller's job waits behind a write whose answer was lost, or the same write is repeated to a
// store that needs its time: the first lets jobs run late, the second slows the store down more.
TEST_CASE("An answer is given up only while the store is quick")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    http::asio::io_context context;
    Gate gate(context);
    bool probed = false;
    std::optional<std::optional<int>> result;
    const auto call = [&]() -> http::Awaitable<int> {
        if (row.answer == Answer::AtOnce)
            co_return 7;
        co_return co_await gate.wait();
    };
    const auto probe = [&]() -> http::Awaitable<bool> {
        probed = true;
        if (row.answer == Answer::DuringProbe) {
            gate.open();
            co_await http::asio::post(context, http::asio::use_awaitable);
        }
        if (row.answer == Answer::AfterProbe)
            http::asio::post(context, [&] { gate.open(); });
        co_return row.isQuick;
    };
    const auto suspicion = row.answer == Answer::AtOnce ? milliseconds(3600000) : milliseconds(1);
    const auto body = [&]() -> http::Awaitable<void> {
        result = co_await store::answerUnlessLost(context.get_executor(), call, probe, suspicion);
    };
    http::asio::co_spawn(context, body, [](std::exception_ptr failure) { CHECK_FALSE(failure); });
    while (!result)
        context.run_one();
    CHECK(probed == row.probes);
    CHECK(result->has_value() == row.arrives);
    gate.open();
    context.run();
}
