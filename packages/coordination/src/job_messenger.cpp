// Sends questions and matches answers to them by question number.
#include <sassafrasferry/coordination/job_messenger.h>

#include <sassafrasferry/coordination/spawn.h>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

JobMessenger::JobMessenger(http::asio::io_context &context, model::Endpoint self,
                           OnQuestion onQuestion, OnHandIn onHandIn, OnEnvelope onOther)
    : context(context)
    , self(std::move(self))
    , onQuestion(std::move(onQuestion))
    , onHandIn(std::move(onHandIn))
    , onOther(std::move(onOther))
    , port(context, peer::Unconnected::Queue,
           [this](std::string_view bytes) { this->receive(bytes); })
{}

absl::Status JobMessenger::open()
{
    return this->port.open(this->self);
}

Awaitable<JobMessenger::Answer> JobMessenger::ask(const model::Endpoint &peer,
                                                  messages::JobQuestion question, Duration timeout)
{
    co_return co_await http::awaitCallback<Answer>([&](auto done) {
        const auto number = this->numbers.next();
        question.set_number(number);
        question.set_address(model::toString(this->self));
        auto timer = std::make_shared<http::asio::steady_timer>(this->context, timeout);
        this->pending[number] = {timer, done};
        timer->async_wait([this, number](const boost::system::error_code &error) {
            if (!error)
                this->finish(number, std::nullopt);
        });
        messages::JobEnvelope envelope;
        *envelope.mutable_question() = std::move(question);
        if (!this->port.send(peer, envelope.SerializeAsString()))
            this->finish(number, std::nullopt);
    });
}

bool JobMessenger::send(const model::Endpoint &peer, const messages::JobEnvelope &envelope)
{
    return this->port.send(peer, envelope.SerializeAsString());
}

void JobMessenger::finish(std::uint64_t number, Answer answer)
{
    const auto at = this->pending.find(number);
    if (at == this->pending.end())
        return;
    const auto done = std::move(at->second.done);
    at->second.timer->cancel();
    this->pending.erase(at);
    done(std::move(answer));
}

void JobMessenger::receive(std::string_view bytes)
{
    messages::JobEnvelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        LOG(WARNING) << "event=message-unreadable bytes=" << bytes.size();
        return;
    }
    if (envelope.has_answer()) {
        this->finish(envelope.answer().number(), envelope.answer());
        return;
    }
    if (!envelope.has_question()) {
        this->onOther(envelope);
        return;
    }
    const auto &question = envelope.question();
    const auto address = model::parseEndpoint(question.address());
    if (!address)
        return;
    if (question.has_hand_in()) {
        spawn(this->context.get_executor(), "hand-in",
              [this, peer = *address, question] { return this->answerHandIn(peer, question); });
        return;
    }
    this->reply(*address, question.number(), this->onQuestion(question));
}

Awaitable<void> JobMessenger::answerHandIn(model::Endpoint peer, messages::JobQuestion question)
{
    auto answer = co_await this->onHandIn(question.hand_in());
    this->reply(peer, question.number(), std::move(answer));
}

void JobMessenger::reply(const model::Endpoint &peer, std::uint64_t number,
                         messages::JobAnswer answer)
{
    messages::JobEnvelope envelope;
    *envelope.mutable_answer() = std::move(answer);
    envelope.mutable_answer()->set_number(number);
    this->port.send(peer, envelope.SerializeAsString());
}

} // namespace sassafrasferry::coordination
