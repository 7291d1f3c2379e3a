// Conversion of calls and answers to messages, and the leader's side of the relays.
#include <sassafrasferry/coordination/call_relay.h>

#include <sassafrasferry/http/await_callback.h>
#include <sassafrasferry/http/clock.h>

#include <algorithm>

#include <glog/logging.h>
#include <xxhash.h>

namespace sassafrasferry::coordination {

namespace {

// Entry VMs send messages several times a second. One that was silent for this long is no longer
// used as a relay.
constexpr auto relayTimeout = std::chrono::milliseconds(900);
// With fewer relays the leader's load would hardly decrease.
constexpr std::size_t minRelays = 3;
constexpr auto batchDelay = std::chrono::milliseconds(2);
constexpr auto expiryTick = std::chrono::milliseconds(100);
// Relayed starts that take longer are logged.
constexpr std::chrono::milliseconds slowStart{500};

messages::WorkerCall orderCall(messages::WorkerCall::Kind kind, const jobs::TaskId &task,
                               std::int64_t run, std::int64_t fence)
{
    messages::WorkerCall call;
    call.set_kind(kind);
    call.set_task(jobs::toString(task));
    call.set_run(run);
    call.set_fence(fence);
    return call;
}

std::uint64_t weightOf(const std::string &relay, const std::string &worker)
{
    const auto text = relay + "/" + worker;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

messages::WorkerCall holdCall(const HoldRequest &request)
{
    messages::WorkerCall call;
    call.set_kind(messages::WorkerCall::HOLD);
    call.set_fence(request.fence);
    call.set_acknowledged(request.acknowledged);
    call.set_until(request.until.value_or(0));
    call.set_wait_milliseconds(static_cast<std::uint32_t>(request.wait.count()));
    return call;
}

messages::WorkerCall startCall(const scheduling::StartOrder &order, std::int64_t until,
                               std::int64_t fence)
{
    auto call = orderCall(messages::WorkerCall::START, order.task, order.run, fence);
    call.set_until(until);
    call.set_payload(order.payload);
    call.set_checkpoint(order.checkpoint);
    call.set_ticket(order.ticket);
    return call;
}

messages::WorkerCall stopCall(const scheduling::StopOrder &order, std::int64_t fence)
{
    return orderCall(messages::WorkerCall::STOP, order.task, order.run, fence);
}

messages::WorkerCall paceCall(const scheduling::PaceOrder &order, std::int64_t fence)
{
    auto call = orderCall(messages::WorkerCall::PACE, order.task, order.run, fence);
    call.set_percent(static_cast<std::uint32_t>(order.percent));
    return call;
}

void logSlowStart(const messages::WorkerCall &call, std::int64_t receivedAt,
                  scheduling::OrderAnswer answer)
{
    const auto onTheWay = receivedAt - call.sent_milliseconds();
    const auto called = http::unixNow() - receivedAt;
    if (call.sent_milliseconds() == 0 || onTheWay + called < slowStart.count())
        return;
    LOG(WARNING) << "event=relayed-start-slow of=" << call.task() << " run=" << call.run()
                 << " worker=" << call.worker() << " on-the-way-ms=" << onTheWay
                 << " call-ms=" << called << " answer=" << model::nameOf(answer);
}

HoldAnswer holdAnswerFrom(const std::string &worker, const messages::WorkerCallAnswer &record)
{
    HoldAnswer answer;
    answer.answer = static_cast<scheduling::OrderAnswer>(record.answer());
    answer.report.worker = worker;
    answer.report.born = record.born();
    answer.report.clock = record.clock();
    for (const auto &row : record.running()) {
        if (const auto task = jobs::parseTaskId(row.task()))
            answer.report.running.push_back(
                {*task, row.run(), row.checkpoint(), row.percent(), row.load()});
    }
    for (const auto &row : record.ended()) {
        if (const auto task = jobs::parseTaskId(row.task()))
            answer.report.ended.push_back({row.number(), *task, row.run(),
                                           static_cast<jobs::RunEnd>(row.end()), row.checkpoint()});
    }
    return answer;
}

messages::WorkerCallAnswer answerRecord(const HoldAnswer &answer)
{
    messages::WorkerCallAnswer record;
    record.set_born(answer.report.born);
    record.set_clock(answer.report.clock);
    for (const auto &run : answer.report.running) {
        auto &row = *record.add_running();
        row.set_task(jobs::toString(run.task));
        row.set_run(run.run);
        row.set_checkpoint(run.checkpoint);
        row.set_percent(run.percent);
        row.set_load(run.load);
    }
    for (const auto &end : answer.report.ended) {
        auto &row = *record.add_ended();
        row.set_number(end.number);
        row.set_task(jobs::toString(end.task));
        row.set_run(end.run);
        row.set_end(static_cast<std::uint32_t>(end.end));
        row.set_checkpoint(end.checkpoint);
    }
    return record;
}

messages::WorkerCallAnswer answerRecord(const scheduling::OrderReply &reply)
{
    messages::WorkerCallAnswer record;
    record.set_clock(reply.clock.value_or(0));
    return record;
}

scheduling::OrderReply orderReplyFrom(const messages::WorkerCallAnswer &record)
{
    scheduling::OrderReply reply;
    reply.answer = static_cast<scheduling::OrderAnswer>(record.answer());
    // Relays of earlier versions set no clock.
    if (record.clock() != 0)
        reply.clock = record.clock();
    return reply;
}

RelayClient::RelayClient(http::asio::any_io_executor executor, model::Endpoint self, Send send)
    : executor(std::move(executor))
    , self(std::move(self))
    , send(std::move(send))
{}

void RelayClient::addRelay(const model::Endpoint &peer)
{
    this->relays[model::toString(peer)] = bootNow();
}

bool RelayClient::isOpen() const
{
    const auto now = bootNow();
    const auto live =
        std::count_if(this->relays.begin(), this->relays.end(),
                      [&](const auto &relay) { return now - relay.second < relayTimeout; });
    return static_cast<std::size_t>(live) >= minRelays;
}

// Rendezvous hashing: a relay that joins or leaves changes the assignment of few workers only.
const std::string *RelayClient::relayFor(const std::string &worker) const
{
    const auto now = bootNow();
    const std::string *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto &relay : this->relays) {
        if (now - relay.second >= relayTimeout)
            continue;
        const auto weight = weightOf(relay.first, worker);
        if (!best || weight > bestWeight) {
            best = &relay.first;
            bestWeight = weight;
        }
    }
    return best;
}

Awaitable<messages::WorkerCallAnswer> RelayClient::call(messages::WorkerCall call,
                                                        std::chrono::milliseconds timeout)
{
    co_return co_await http::awaitCallback<messages::WorkerCallAnswer>([&](auto done) {
        const auto *relay = this->relayFor(call.worker());
        if (!relay) {
            messages::WorkerCallAnswer answer;
            answer.set_answer(static_cast<std::uint32_t>(scheduling::OrderAnswer::NotSent));
            done(std::move(answer));
            return;
        }
        const auto number = this->numbers.next();
        call.set_number(number);
        call.set_sent_milliseconds(http::unixNow());
        this->pending[number] = {done, bootNow() + timeout};
        *this->batches[*relay].add_calls() = std::move(call);
        if (!std::exchange(this->flushing, true))
            spawn(this->executor, "relay-flush", [this] { return this->flushSoon(); });
        if (!std::exchange(this->expiring, true))
            spawn(this->executor, "relay-expire", [this] {
                return restarted("relay-expire", [this] { return this->expireLoop(); });
            });
    });
}

Awaitable<void> RelayClient::flushSoon()
{
    co_await pause(batchDelay);
    this->flushing = false;
    this->flush();
}

// Runs while calls are pending.
Awaitable<void> RelayClient::expireLoop()
{
    while (!this->pending.empty()) {
        co_await pause(expiryTick);
        this->expire(bootNow());
    }
    this->expiring = false;
}

void RelayClient::flush()
{
    for (auto &batch : std::exchange(this->batches, {})) {
        const auto relay = model::parseEndpoint(batch.first);
        messages::JobEnvelope envelope;
        batch.second.set_address(model::toString(this->self));
        envelope.mutable_calls()->Swap(&batch.second);
        if (relay && this->send(*relay, envelope))
            continue;
        for (const auto &call : envelope.calls().calls()) {
            messages::WorkerCallAnswer answer;
            answer.set_answer(static_cast<std::uint32_t>(scheduling::OrderAnswer::NotSent));
            this->finish(call.number(), std::move(answer));
        }
    }
}

void RelayClient::expire(Instant now)
{
    std::vector<std::uint64_t> late;
    for (const auto &entry : this->pending) {
        if (entry.second.expires <= now)
            late.push_back(entry.first);
    }
    for (const auto number : late) {
        messages::WorkerCallAnswer answer;
        answer.set_answer(static_cast<std::uint32_t>(scheduling::OrderAnswer::NoAnswer));
        this->finish(number, std::move(answer));
    }
}

void RelayClient::finish(std::uint64_t number, messages::WorkerCallAnswer answer)
{
    const auto at = this->pending.find(number);
    if (at == this->pending.end())
        return;
    const auto done = std::move(at->second.done);
    this->pending.erase(at);
    done(std::move(answer));
}

void RelayClient::take(const messages::WorkerCallAnswers &answers)
{
    for (const auto &answer : answers.answers())
        this->finish(answer.number(), answer);
}

} // namespace sassafrasferry::coordination
