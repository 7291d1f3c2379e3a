// Request/reply messages about jobs between the peer ports of entry VMs. A follower asks the
// leader; a job that the store refuses is handed in through a peer.
#pragma once

#include <sassafrasferry/coordination/call_numbers.h>
#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/peer/message_port.h>

#include <sassafrasferry/http/await_callback.h>

#include <functional>
#include <map>
#include <optional>

namespace sassafrasferry::coordination {

/// Longest wait for a peer that answers from memory.
constexpr auto questionTimeout = std::chrono::milliseconds(400);

class JobMessenger
{
public:
    using Answer = std::optional<messages::JobAnswer>;
    using OnQuestion = std::function<messages::JobAnswer(const messages::JobQuestion &)>;
    using OnHandIn = std::function<Awaitable<messages::JobAnswer>(messages::HandIn)>;
    using OnEnvelope = std::function<void(const messages::JobEnvelope &)>;

    /// `onOther` receives each envelope that holds neither a question nor an answer.
    JobMessenger(http::asio::io_context &context, model::Endpoint self, OnQuestion onQuestion,
                 OnHandIn onHandIn, OnEnvelope onOther);

    absl::Status open();

    /// Sends a question and waits for the answer; `nullopt` if none arrives before the timeout.
    Awaitable<Answer> ask(const model::Endpoint &peer, messages::JobQuestion question,
                          Duration timeout);

    bool send(const model::Endpoint &peer, const messages::JobEnvelope &envelope);

private:
    struct PendingQuestion
    {
        std::shared_ptr<http::asio::steady_timer> timer;
        std::function<void(Answer)> done;
    };

    void receive(std::string_view bytes);
    Awaitable<void> answerHandIn(model::Endpoint peer, messages::JobQuestion question);
    void reply(const model::Endpoint &peer, std::uint64_t number, messages::JobAnswer answer);
    void finish(std::uint64_t number, Answer answer);

    http::asio::io_context &context;
    model::Endpoint self;
    OnQuestion onQuestion;
    OnHandIn onHandIn;
    OnEnvelope onOther;
    peer::MessagePort port;
    CallNumbers numbers;
    std::map<std::uint64_t, PendingQuestion> pending; // by question number
};

} // namespace sassafrasferry::coordination
