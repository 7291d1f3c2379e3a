// Tests how the leader's side of a relay handles answers.
#include <sassafrasferry/coordination/call_relay.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;

namespace {

/// The leader's side of a relay in one process, and the calls that it has sent.
struct Process
{
    explicit Process(http::asio::io_context &context)
        : relay(context.get_executor(), {"127.0.0.1", 7060},
                [this](const model::Endpoint &, const messages::JobEnvelope &envelope) {
                    this->sent.push_back(envelope.calls());
                    return true;
                })
    {
        this->relay.addRelay({"127.0.0.2", 7060});
    }

    void call(http::asio::io_context &context)
    {
        spawn(context.get_executor(), "call", [this]() -> Awaitable<void> {
            auto record = holdCall(HoldRequest{});
            record.set_worker("w");
            const auto answer = co_await this->relay.call(std::move(record), callTimeout);
            this->answers.push_back(static_cast<scheduling::OrderAnswer>(answer.answer()));
        });
        context.restart();
        context.run_for(std::chrono::milliseconds(20));
    }

    static constexpr std::chrono::milliseconds callTimeout{1000};

    RelayClient relay;
    std::vector<messages::WorkerCalls> sent;
    std::vector<scheduling::OrderAnswer> answers;
};

messages::WorkerCallAnswers acceptedAnswersTo(const messages::WorkerCalls &calls)
{
    messages::WorkerCallAnswers answers;
    for (const auto &call : calls.calls()) {
        auto &answer = *answers.add_answers();
        answer.set_number(call.number());
        answer.set_answer(static_cast<std::uint32_t>(scheduling::OrderAnswer::Accepted));
    }
    return answers;
}

} // namespace

// Guards against taking one worker's report for another's: a relay answers a call of the previous
// process at this address, whose call numbers would be the same if each process began at 1.
TEST_CASE("An answer to a call of an earlier process is ignored")
{
    http::asio::io_context context;
    Process former(context);
    Process present(context);
    former.call(context);
    present.call(context);
    REQUIRE(former.sent.size() == 1);
    REQUIRE(present.sent.size() == 1);
    present.relay.take(acceptedAnswersTo(former.sent[0]));
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
    CHECK(present.answers.empty());
    present.relay.take(acceptedAnswersTo(present.sent[0]));
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
    CHECK(present.answers.size() == 1);
}

// Guards against the same fault in questions about jobs, which use the same kind of numbers.
TEST_CASE("Call numbers of two processes at one address are distinct")
{
    constexpr int calls = 1000;
    CallNumbers former;
    CallNumbers present;
    std::set<std::uint64_t> numbers;
    for (int i = 0; i < calls; ++i) {
        numbers.insert(former.next());
        numbers.insert(present.next());
    }
    CHECK(numbers.size() == 2 * calls);
}
