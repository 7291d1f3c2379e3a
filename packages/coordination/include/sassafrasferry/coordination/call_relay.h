// Relays calls to workers through other entry VMs. A leader on a small entry VM can't call hundreds
// of workers by itself, so it distributes its calls in batches among the other entry VMs and
// receives the answers in batches. The semantics of a call stay the same: it may be late or remain
// unanswered, and its fence and its end of the lease limit its effect whoever makes it.
#pragma once

#include <sassafrasferry/coordination/call_numbers.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/coordination/worker_calls.h>
#include <sassafrasferry/http/clock.h>
#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/model/settings.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace sassafrasferry::coordination {

messages::WorkerCall holdCall(const HoldRequest &request);
messages::WorkerCall startCall(const scheduling::StartOrder &order, std::int64_t until,
                               std::int64_t fence);
messages::WorkerCall stopCall(const scheduling::StopOrder &order, std::int64_t fence);
messages::WorkerCall paceCall(const scheduling::PaceOrder &order, std::int64_t fence);
HoldAnswer holdAnswerFrom(const std::string &worker, const messages::WorkerCallAnswer &answer);
/// Logs a start that reached its worker late: whether the time passed between leader and relay or
/// in the relay's call. `receivedAt`: by the relay, Unix milliseconds.
void logSlowStart(const messages::WorkerCall &call, std::int64_t receivedAt,
                  scheduling::OrderAnswer answer);
messages::WorkerCallAnswer answerRecord(const HoldAnswer &answer);
messages::WorkerCallAnswer answerRecord(const scheduling::OrderReply &reply);
scheduling::OrderReply orderReplyFrom(const messages::WorkerCallAnswer &answer);

/// The leader's side: sends calls to relays and returns the answers to the callers.
class RelayClient
{
public:
    using Send = std::function<bool(const model::Endpoint &, const messages::JobEnvelope &)>;

    RelayClient(http::asio::any_io_executor executor, model::Endpoint self, Send send);

    /// Notes a message of an entry VM, which makes it a relay until `relayTimeout` has passed.
    void addRelay(const model::Endpoint &peer);
    /// Makes a call through the relay assigned to the worker. After the timeout the result is
    /// NoAnswer, although the call may still reach the worker.
    Awaitable<messages::WorkerCallAnswer> call(messages::WorkerCall call,
                                               std::chrono::milliseconds timeout);
    void take(const messages::WorkerCallAnswers &answers);
    /// True if there are enough relays to reduce the leader's load.
    bool isOpen() const;

private:
    struct Pending
    {
        std::function<void(messages::WorkerCallAnswer)> done;
        Instant expires{};
    };

    const std::string *relayFor(const std::string &worker) const;
    Awaitable<void> flushSoon();
    Awaitable<void> expireLoop();
    void flush();
    void expire(Instant now);
    void finish(std::uint64_t number, messages::WorkerCallAnswer answer);

    http::asio::any_io_executor executor;
    model::Endpoint self;
    Send send;
    std::map<std::string, Instant> relays; // by address: time of the last message
    std::map<std::string, messages::WorkerCalls> batches; // by address of the relay, not sent yet
    std::map<std::uint64_t, Pending> pending; // by call number
    CallNumbers numbers;
    bool flushing = false; // a flush is scheduled
    bool expiring = false; // the loop that expires unanswered calls is running
};

/// The relay to use for so many workers, or null: with few workers the leader calls them directly,
/// since a relay adds a few milliseconds.
inline RelayClient *relayFor(RelayClient *relay, std::size_t workers)
{
    constexpr std::size_t minWorkers = 100;
    return workers >= minWorkers && relay->isOpen() ? relay : nullptr;
}

/// The relay's side: makes calls to workers on behalf of a leader.
template<WorkerCalls Worker>
class RelayServer : public std::enable_shared_from_this<RelayServer<Worker>>
{
public:
    RelayServer(http::asio::any_io_executor executor, RelayClient::Send send)
        : executor(executor)
        , send(std::move(send))
    {}

    void take(const messages::WorkerCalls &calls)
    {
        const auto leader = model::parseEndpoint(calls.address());
        if (!leader)
            return;
        for (const auto &call : calls.calls()) {
            auto worker = this->clientFor(call);
            if (!worker)
                continue;
            spawn(this->executor, "relayed-call",
                  [self = this->shared_from_this(), worker, call, leader = *leader] {
                      return self->make(worker, call, leader);
                  });
        }
    }

private:
    // Bounds the number of clients as workers come and go; the least recently used is dropped.
    static constexpr std::size_t maxClients = 200;
    static constexpr auto batchDelay = std::chrono::milliseconds(2);

    struct Client
    {
        std::string address;
        std::shared_ptr<Worker> worker;
        Instant usedAt{};
    };

    std::shared_ptr<Worker> clientFor(const messages::WorkerCall &call)
    {
        const auto address = model::parseEndpoint(call.address());
        if (!address)
            return nullptr;
        auto &client = this->clients[call.worker()];
        client.usedAt = bootNow();
        if (client.address != call.address()) {
            client.address = call.address();
            client.worker = std::make_shared<Worker>(this->executor, call.worker(), *address);
        }
        auto worker = client.worker;
        if (this->clients.size() > maxClients) {
            const auto oldest = std::min_element(
                this->clients.begin(), this->clients.end(),
                [](const auto &a, const auto &b) { return a.second.usedAt < b.second.usedAt; });
            this->clients.erase(oldest);
        }
        return worker;
    }

    Awaitable<void> make(std::shared_ptr<Worker> worker, messages::WorkerCall call,
                         model::Endpoint leader)
    {
        messages::WorkerCallAnswer answer;
        const auto task = jobs::parseTaskId(call.task());
        auto result = scheduling::OrderAnswer::Malformed;
        if (call.kind() == messages::WorkerCall::HOLD) {
            HoldRequest request;
            request.fence = call.fence();
            request.acknowledged = call.acknowledged();
            if (call.until() != 0)
                request.until = call.until();
            request.wait = std::chrono::milliseconds(call.wait_milliseconds());
            const auto hold = co_await worker->hold(request);
            answer = answerRecord(hold);
            result = hold.answer;
        } else if (task && call.kind() == messages::WorkerCall::START) {
            scheduling::StartOrder order;
            order.worker = call.worker();
            order.task = *task;
            order.run = call.run();
            order.payload = call.payload();
            order.checkpoint = call.checkpoint();
            order.ticket = call.ticket();
            const auto receivedAt = http::unixNow();
            const auto reply = co_await worker->start(order, call.until(), call.fence());
            answer = answerRecord(reply);
            result = reply.answer;
            logSlowStart(call, receivedAt, result);
        } else if (task && call.kind() == messages::WorkerCall::STOP) {
            scheduling::StopOrder order;
            order.worker = call.worker();
            order.task = *task;
            order.run = call.run();
            const auto reply = co_await worker->stop(order, call.fence());
            answer = answerRecord(reply);
            result = reply.answer;
        } else if (task) {
            scheduling::PaceOrder order;
            order.worker = call.worker();
            order.task = *task;
            order.run = call.run();
            order.percent = static_cast<int>(call.percent());
            result = co_await worker->pace(order, call.fence());
        }
        answer.set_number(call.number());
        answer.set_answer(static_cast<std::uint32_t>(result));
        this->reply(leader, std::move(answer));
    }

    void reply(const model::Endpoint &leader, messages::WorkerCallAnswer answer)
    {
        auto &batch = this->batches[model::toString(leader)];
        *batch.add_answers() = std::move(answer);
        if (batch.answers_size() > 1)
            return;
        spawn(this->executor, "relayed-answers",
              [self = this->shared_from_this(), leader] { return self->flush(leader); });
    }

    Awaitable<void> flush(model::Endpoint leader)
    {
        co_await pause(batchDelay);
        messages::JobEnvelope envelope;
        envelope.mutable_call_answers()->Swap(&this->batches[model::toString(leader)]);
        this->batches.erase(model::toString(leader));
        this->send(leader, envelope);
    }

    http::asio::any_io_executor executor;
    RelayClient::Send send;
    std::map<std::string, Client> clients; // by worker
    std::map<std::string, messages::WorkerCallAnswers> batches; // by address of the leader
};

/// A client of a worker that makes its calls through a relay if `relay` returns one, and directly
/// otherwise.
template<WorkerCalls Worker>
class RelayedWorker
{
public:
    RelayedWorker(http::asio::any_io_executor executor, std::string id,
                  const model::Endpoint &endpoint, std::function<RelayClient *()> relay)
        : id(id)
        , address(model::toString(endpoint))
        , direct(std::move(executor), std::move(id), endpoint)
        , relay(std::move(relay))
    {}

    Awaitable<HoldAnswer> hold(HoldRequest request)
    {
        auto *callRelay = this->relay();
        if (!callRelay)
            co_return co_await this->direct.hold(request);
        auto call = this->addressed(holdCall(request));
        const auto answer = co_await callRelay->call(std::move(call), request.wait + callTimeout);
        co_return holdAnswerFrom(this->id, answer);
    }

    Awaitable<scheduling::OrderReply> start(const scheduling::StartOrder &order, std::int64_t until,
                                            std::int64_t fence)
    {
        if (!this->relay())
            co_return co_await this->direct.start(order, until, fence);
        auto call = this->addressed(startCall(order, until, fence));
        const auto answer = co_await this->ask(std::move(call));
        co_return orderReplyFrom(answer);
    }

    Awaitable<scheduling::OrderReply> stop(const scheduling::StopOrder &order, std::int64_t fence)
    {
        if (!this->relay())
            co_return co_await this->direct.stop(order, fence);
        auto call = this->addressed(stopCall(order, fence));
        const auto answer = co_await this->ask(std::move(call));
        co_return orderReplyFrom(answer);
    }

    Awaitable<scheduling::OrderAnswer> pace(const scheduling::PaceOrder &order, std::int64_t fence)
    {
        if (!this->relay())
            co_return co_await this->direct.pace(order, fence);
        auto call = this->addressed(paceCall(order, fence));
        const auto answer = co_await this->ask(std::move(call));
        co_return orderReplyFrom(answer).answer;
    }

private:
    // The relay's own timeout of an order plus the round trip to the relay.
    static constexpr std::chrono::milliseconds callTimeout{1100};

    messages::WorkerCall addressed(messages::WorkerCall call) const
    {
        call.set_worker(this->id);
        call.set_address(this->address);
        return call;
    }

    Awaitable<messages::WorkerCallAnswer> ask(messages::WorkerCall call)
    {
        return this->relay()->call(std::move(call), callTimeout);
    }

    std::string id;
    std::string address;
    Worker direct;
    std::function<RelayClient *()> relay; // returns nullptr for direct calls
};

} // namespace sassafrasferry::coordination
