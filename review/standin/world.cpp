// The store, the minions and the processes of the stand-in.
#include "world.h"

#include <boost/beast/core/detail/base64.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iomanip>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t pageRows = 500;
constexpr std::size_t pageBytes = 1000000;
constexpr std::size_t listedEnds = 500;

std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::stringstream pairs(target.substr(std::min(target.size(), target.find('?') + 1)));
    for (std::string pair; std::getline(pairs, pair, '&');) {
        const auto at = pair.find('=');
        if (at != std::string::npos)
            query[pair.substr(0, at)] = decoded(pair.substr(at + 1));
    }
    return query;
}

std::string base64(const std::string &bytes)
{
    namespace codec = beast::detail::base64;
    std::string result(codec::encoded_size(bytes.size()), '\0');
    result.resize(codec::encode(result.data(), bytes.data(), bytes.size()));
    return result;
}

std::size_t decodedSize(const std::string &base64Text)
{
    std::size_t padding = 0;
    for (auto at = base64Text.rbegin(); at != base64Text.rend() && *at == '='; ++at)
        ++padding;
    return base64Text.size() / 4 * 3 - padding;
}

std::int64_t numberOf(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto at = query.find(name);
    return at == query.end() || at->second.empty() ? 0 : std::stoll(at->second);
}

std::string textOf(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto at = query.find(name);
    return at == query.end() ? std::string() : at->second;
}

Awaitable<void> session(Tcp::socket socket, Handler handler)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (;;) {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(16U * 1024 * 1024);
        boost::system::error_code error;
        co_await beast::http::async_read(stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        auto request = parser.release();
        const bool keepAlive = request.keep_alive();
        const auto answer = co_await handler(std::move(request));
        if (answer.status == 0) {
            co_await wait(Milliseconds(10000));
            co_return;
        }
        beast::http::response<beast::http::string_body> response;
        response.result(answer.status);
        response.version(11);
        response.set(beast::http::field::content_type, "application/json");
        response.body() = answer.body;
        response.keep_alive(keepAlive);
        response.prepare_payload();
        co_await beast::http::async_write(stream, response,
                                          asio::redirect_error(asio::use_awaitable, error));
        if (error || !keepAlive)
            co_return;
    }
}

Awaitable<void> acceptAll(std::shared_ptr<Tcp::acceptor> acceptor, Handler handler)
{
    for (;;) {
        auto socket = co_await acceptor->async_accept(asio::use_awaitable);
        socket.set_option(Tcp::no_delay(true));
        asio::co_spawn(acceptor->get_executor(), session(std::move(socket), handler),
                       asio::detached);
    }
}

} // namespace

Answer jsonAnswer(unsigned status, const Json &body)
{
    return {status, body.dump()};
}

Awaitable<void> wait(Milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

std::int64_t unixNow()
{
    return std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Record::Record(const std::string &path)
    : file(path)
{}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - this->begin).count();
}

void Record::line(const std::string &text)
{
    this->file << std::fixed << std::setprecision(3) << std::setw(8) << this->seconds() << "  "
               << text << std::endl;
}

void serve(asio::io_context &context, std::uint16_t port, Handler handler)
{
    auto acceptor = std::make_shared<Tcp::acceptor>(
        context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
    asio::co_spawn(context, acceptAll(acceptor, std::move(handler)), asio::detached);
}

Awaitable<Answer> call(std::uint16_t port, beast::http::verb verb, std::string target,
                       std::string host, std::string body, Milliseconds timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await stream.async_connect(Tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), token);
    if (error)
        co_return Answer{0, ""};
    Request request(verb, target, 11);
    request.set(beast::http::field::host, host);
    request.set(beast::http::field::content_type, "application/json");
    request.set("X-Deadline-Ms", std::to_string(timeout.count()));
    request.body() = std::move(body);
    request.keep_alive(false);
    request.prepare_payload();
    co_await beast::http::async_write(stream, request, token);
    if (error)
        co_return Answer{0, ""};
    beast::flat_buffer buffer;
    beast::http::response<beast::http::string_body> response;
    co_await beast::http::async_read(stream, buffer, response, token);
    if (error)
        co_return Answer{0, ""};
    co_return Answer{response.result_int(), response.body()};
}

Store::Key Store::keyOf(const Json &json)
{
    return {json.value("table", ""), json.value("part", ""), json.value("key", "")};
}

Json Store::toJson(const Key &key, const Row &row)
{
    Json json{{"table", key.table}, {"part", key.part}, {"key", key.key}, {"ver", row.version}};
    if (row.deleted)
        json["deleted"] = true;
    else
        json["value"] = row.value;
    return json;
}

std::int64_t Store::versionOf(const Key &key) const
{
    const auto at = this->rows.find(key);
    return at == this->rows.end() || at->second.deleted ? 0 : at->second.version;
}

void Store::write(const Key &key, Row row)
{
    row.version = this->version;
    this->rows[key] = std::move(row);
    this->history[this->version].push_back(key);
}

void Store::put(const std::string &table, const std::string &key, const Json &value)
{
    ++this->version;
    this->write({table, "", key}, {base64(value.dump()), 0, false});
}

void Store::remove(const std::string &table, const std::string &key)
{
    ++this->version;
    this->write({table, "", key}, {"", 0, true});
}

Awaitable<Answer> Store::handle(Request request)
{
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    const auto query = queryOf(target);
    if (path == "/rows-tx") {
        std::string part;
        const auto json = Json::parse(request.body());
        for (const auto *field : {"expected_rev", "put", "remove"}) {
            for (const auto &entry : json.value(field, Json::array()))
                part = entry.value("part", "");
        }
        auto &free = this->freeAt[part];
        free = std::max(free, Clock::now()) + this->transactionTime;
        const auto left = std::chrono::ceil<Milliseconds>(free - Clock::now());
        co_await wait(left);
        co_return this->transact(request.body());
    }
    co_await wait(Milliseconds(2));
    if (path == "/rows-get")
        co_return this->read(query);
    if (path == "/rows-parts") {
        std::set<std::string> parts;
        for (const auto &row : this->rows) {
            if (row.first.table == textOf(query, "table") && !row.second.deleted
                && row.first.part > textOf(query, "after"))
                parts.insert(row.first.part);
        }
        co_return jsonAnswer(200, {{"parts", parts}, {"ver", this->version}});
    }
    if (path == "/rows-feed")
        co_return co_await this->feed(query);
    co_return Answer{404, ""};
}

Answer Store::transact(const std::string &body)
{
    const auto json = Json::parse(body);
    const auto conditions = json.value("expected_rev", Json::array());
    const auto puts = json.value("put", Json::array());
    const auto removes = json.value("remove", Json::array());
    // `row_bytes`, and at most 100 entries and 1 MB a call.
    bool isTooLarge = body.size() > this->callBytes
                      || conditions.size() + puts.size() + removes.size() > this->entries;
    for (const auto &put : puts) {
        const auto size = decodedSize(put.value("value", ""));
        if (size > this->largestRow)
            this->largestRow = size;
        if (size > this->rowBytes) {
            isTooLarge = true;
            if (this->refusedRows == 0)
                this->record.line("store: refuses a row of " + std::to_string(size) + " bytes, "
                                  + put.value("table", "") + "/" + put.value("part", "") + "/"
                                  + put.value("key", ""));
        }
    }
    if (isTooLarge) {
        ++this->refusedRows;
        return jsonAnswer(400, {{"error", "too large"}});
    }
    auto current = Json::array();
    bool holds = true;
    for (const auto &condition : conditions) {
        const auto key = keyOf(condition);
        holds &= this->versionOf(key) == condition.value("ver", std::int64_t{0});
        if (this->versionOf(key) != 0)
            current.push_back(toJson(key, this->rows[key]));
    }
    if (!holds)
        return jsonAnswer(412, {{"rows", current}, {"ver", this->version}});
    ++this->version;
    for (const auto &put : puts)
        this->write(keyOf(put), {put.value("value", ""), 0, false});
    for (const auto &row : removes) {
        if (this->versionOf(keyOf(row)) != 0)
            this->write(keyOf(row), {"", 0, true});
    }
    return jsonAnswer(200, {{"ver", this->version}});
}

void Store::repeatRow(const std::string &table, const std::string &part, const std::string &key,
                      std::map<std::string, std::vector<std::string>> keysByPart)
{
    this->repeated = {table, this->rows.at({table, part, key}), std::move(keysByPart)};
}

Json Store::valueOf(const std::string &table, const std::string &key) const
{
    const auto at = this->rows.find({table, "", key});
    if (at == this->rows.end() || at->second.deleted)
        return nullptr;
    namespace codec = beast::detail::base64;
    std::string bytes(codec::decoded_size(at->second.value.size()), '\0');
    bytes.resize(
        codec::decode(bytes.data(), at->second.value.data(), at->second.value.size()).first);
    return Json::parse(bytes, nullptr, false);
}

std::string Store::partOf(const std::string &table, const std::string &key) const
{
    for (const auto &row : this->rows) {
        if (row.first.table == table && row.first.key == key && !row.second.deleted)
            return row.first.part;
    }
    return {};
}

Answer Store::read(const std::map<std::string, std::string> &query)
{
    const auto table = textOf(query, "table");
    const auto part = textOf(query, "part");
    const auto from = textOf(query, "from");
    const auto to = textOf(query, "to");
    static const std::vector<std::string> none;
    const auto repeatedPart = this->repeated.keys.find(part);
    const bool hasRepeated =
        table == this->repeated.table && repeatedPart != this->repeated.keys.end();
    const auto &keys = hasRepeated ? repeatedPart->second : none;
    auto nextKey = std::lower_bound(keys.begin(), keys.end(), from);
    auto at = this->rows.lower_bound({table, part, from});
    auto page = Json::array();
    std::size_t bytes = 0;
    bool hasMore = false;
    for (;;) {
        while (at != this->rows.end() && at->first.table == table && at->first.part == part
               && at->second.deleted)
            ++at;
        const bool hasRow =
            at != this->rows.end() && at->first.table == table && at->first.part == part;
        const bool isRepeated = nextKey != keys.end() && (!hasRow || *nextKey < at->first.key);
        if (!hasRow && !isRepeated)
            break;
        const auto key = isRepeated ? Key{table, part, *nextKey} : at->first;
        if (!to.empty() && key.key >= to)
            break;
        const auto &row = isRepeated ? this->repeated.row : at->second;
        hasMore = page.size() >= pageRows || bytes + row.value.size() > pageBytes;
        if (hasMore)
            break;
        bytes += row.value.size();
        page.push_back(toJson(key, row));
        if (isRepeated)
            ++nextKey;
        else
            ++at;
    }
    return jsonAnswer(200, {{"rows", page}, {"has_more", hasMore}, {"ver", this->version}});
}

Awaitable<Answer> Store::feed(std::map<std::string, std::string> query)
{
    const auto table = textOf(query, "table");
    const auto after = numberOf(query, "after");
    const auto end = Clock::now() + Milliseconds(numberOf(query, "wait_ms"));
    for (;;) {
        std::set<Key> changed;
        for (auto at = this->history.upper_bound(after); at != this->history.end(); ++at) {
            for (const auto &key : at->second) {
                if (key.table == table)
                    changed.insert(key);
            }
        }
        if (!changed.empty() || Clock::now() >= end) {
            std::map<std::int64_t, Json> ordered;
            for (const auto &key : changed)
                ordered[this->rows[key].version].push_back(toJson(key, this->rows[key]));
            auto list = Json::array();
            for (const auto &entry : ordered) {
                for (const auto &row : entry.second)
                    list.push_back(row);
            }
            co_return jsonAnswer(200, {{"rows", list}, {"ver", this->version}});
        }
        co_await wait(Milliseconds(3));
    }
}

Json Job::body() const
{
    auto list = Json::array();
    for (const auto &step : this->steps) {
        Json json{{"count", step.count},
                  {"cpu", step.need.cpu},
                  {"mem_mb", step.need.memory},
                  {"estimate_ms", step.work.count()}};
        if (!step.after.empty())
            json["after"] = step.after;
        if (step.checkpointing)
            json["checkpointing"] = true;
        list.push_back(json);
    }
    return {{"spec", this->spec}, {"steps", list}};
}

void Ledger::started(const std::string &task, const std::string &run)
{
    ++this->starts;
    this->startTimes[task.substr(0, task.find('.'))].push_back(this->record.seconds());
    auto &entry = this->tasks[task];
    if (!entry.running.empty()) {
        ++this->besideRun;
        this->record.line("TWICE " + task + " " + run + " beside " + *entry.running.begin());
    }
    if (entry.done && entry.acknowledged) {
        ++this->afterDone;
        this->record.line("TWICE " + task + " " + run + " after an end that was taken note of");
    }
    entry.running.insert(run);
    this->record.line("run  " + task + " " + run + " starts");
}

void Ledger::ended(const std::string &task, const std::string &run, const std::string &how)
{
    auto &entry = this->tasks[task];
    entry.running.erase(run);
    this->record.line("run  " + task + " " + run + " " + how);
    if (how == "done") {
        ++this->done;
        entry.done = true;
    }
}

void Ledger::acknowledged(const std::string &task)
{
    this->tasks[task].acknowledged = true;
}

bool Ledger::isDone(const std::string &task) const
{
    const auto at = this->tasks.find(task);
    return at != this->tasks.end() && at->second.done;
}

bool Ledger::isRunning(const std::string &task) const
{
    const auto at = this->tasks.find(task);
    return at != this->tasks.end() && !at->second.running.empty();
}

std::size_t Ledger::startsAfter(const std::string &job, double seconds) const
{
    const auto at = this->startTimes.find(job);
    if (at == this->startTimes.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(at->second.begin(), at->second.end(),
                                                  [&](double start) { return start > seconds; }));
}

Minion::Minion(Ledger &ledger, Bounds bounds, std::string id, std::string machine,
               std::string service, std::string rack, std::uint16_t port)
    : id(std::move(id))
    , machine(std::move(machine))
    , ledger(ledger)
    , bounds(bounds)
    , service(std::move(service))
    , rack(std::move(rack))
    , port(port)
{}

std::int64_t Minion::clock() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - this->startedAt).count() + 1;
}

Json Minion::entry()
{
    return {
        {"service", this->service},
        {"addr", "127.0.0.1:" + std::to_string(this->port)},
        {"zone", "here"},
        {"version", "1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_left_ms", 0},
        {"seq", ++this->sequence},
        {"born", this->born},
        {"machine", this->machine},
        {"capacity", {{"cpu", this->capacity.cpu}, {"mem_mb", this->capacity.memory}, {"gpu", 0}}},
        {"labels", {"a", this->rack}}};
}

Json Minion::listing() const
{
    return {
        {"machine", this->machine},
        {"pool", this->service},
        {"state", this->state},
        {"zone", "here"},
        {"labels", {"a", this->rack}},
        {"capacity", {{"cpu", this->capacity.cpu}, {"mem_mb", this->capacity.memory}, {"gpu", 0}}},
        {"id", this->alive ? this->id : ""}};
}

void Minion::leave()
{
    for (const auto &run : this->runs)
        this->ledger.ended(run.task, this->id + "/" + std::to_string(run.number), "gone");
    this->runs.clear();
    this->ends.clear();
    this->highest.clear();
    this->alive = false;
}

void Minion::begin(std::string newId)
{
    this->id = std::move(newId);
    this->born = unixNow();
    this->startedAt = Clock::now();
    this->fence = 0;
    this->leaseEnd = 0;
    this->lastEnd = 0;
    this->sequence = 0;
    this->alive = true;
}

std::int64_t Minion::freeCpu() const
{
    auto free = this->capacity.cpu;
    for (const auto &run : this->runs)
        free -= run.need.cpu;
    return free;
}

Milliseconds Minion::workOf(const Run &run) const
{
    const auto passed = std::chrono::duration_cast<Milliseconds>(Clock::now() - run.startedAt);
    return run.doneBefore + std::max(passed, Milliseconds(0));
}

std::string Minion::savedOf(const Run &run) const
{
    if (!run.checkpointing)
        return {};
    const auto saved = this->workOf(run) / this->bounds.checkpoint * this->bounds.checkpoint;
    if (saved.count() == 0)
        return {};
    std::stringstream text;
    text << std::hex << std::setw(8) << std::setfill('0') << saved.count() << run.task.substr(0, 8);
    return text.str();
}

void Minion::end(const Run &run, const std::string &how)
{
    this->ends.push_back({++this->lastEnd, run.task, run.number, how,
                          how == "done" ? std::string() : this->savedOf(run), false});
    auto &most = this->highest[run.task];
    most = std::max(most, run.number);
    this->ledger.ended(run.task, this->id + "/" + std::to_string(run.number), how);
}

void Minion::tick()
{
    const auto now = Clock::now();
    const bool hasLapsed = this->clock() > this->leaseEnd;
    if (hasLapsed) {
        for (auto &end : this->ends)
            end.hasLapsed = true;
    }
    std::erase_if(this->runs, [&](const Run &run) {
        if (hasLapsed)
            this->end(run, "lapsed");
        else if (run.stopsAt && *run.stopsAt <= now)
            this->end(run, "stopped");
        else if (this->workOf(run) >= run.work)
            this->end(run, "done");
        else
            return false;
        return true;
    });
}

Answer Minion::answer(unsigned status, Json body) const
{
    body["clock_ms"] = this->clock();
    body["born"] = this->born;
    return jsonAnswer(status, body);
}

void Minion::extend(const Json &body)
{
    const auto most = this->clock() + this->bounds.hold.count();
    this->leaseEnd =
        std::max(this->leaseEnd, std::min(body.value("until_ms", std::int64_t{0}), most));
}

Awaitable<Answer> Minion::handle(Request request)
{
    if (!this->alive)
        co_return Answer{0, ""};
    this->tick();
    if (request["X-Expect-Instance"] != this->id)
        co_return this->answer(421, Json::object());
    auto body = Json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        co_return this->answer(400, Json::object());
    const auto token = body.value("fencing_token", std::int64_t{0});
    if (token < this->fence)
        co_return this->answer(409, {{"reason", "fence"}});
    this->fence = token;
    if (request.target() == "/run-start")
        co_return this->start(body);
    if (request.target() == "/run-stop")
        co_return this->stop(body);
    if (request.target() == "/hold")
        co_return co_await this->hold(std::move(body));
    co_return this->answer(200, Json::object());
}

Answer Minion::start(const Json &body)
{
    const auto task = body.value("task", "");
    const auto number = body.value("run_id", std::int64_t{0});
    for (const auto &run : this->runs) {
        if (run.task == task && run.number == number)
            return this->answer(200, Json::object());
    }
    if (body.value("until_ms", std::int64_t{0}) <= this->clock())
        return this->answer(409, {{"reason", "late"}});
    this->extend(body);
    const auto most = this->highest.find(task);
    if (most != this->highest.end() && number <= most->second)
        return this->answer(409, {{"reason", "old"}});
    // ID.K.STEP.INDEX
    const auto job = this->ledger.jobs.find(task.substr(0, task.find('.')));
    if (job == this->ledger.jobs.end())
        return this->answer(400, Json::object());
    std::stringstream parts(task);
    std::string word;
    std::vector<std::string> words;
    while (std::getline(parts, word, '.'))
        words.push_back(word);
    const auto &step = job->second.steps.at(std::stoul(words.at(2)));
    if (this->freeCpu() < step.need.cpu)
        return this->answer(409, {{"reason", "room"}});
    Run run{task, number, step.need, step.work, {}, Clock::now(), step.checkpointing, {}};
    const auto checkpoint = body.value("checkpoint", "");
    if (checkpoint.size() >= 8) {
        run.doneBefore = Milliseconds(std::stoll(checkpoint.substr(0, 8), nullptr, 16));
        run.startedAt += this->bounds.restore;
    }
    this->runs.push_back(run);
    this->ledger.started(task, this->id + "/" + std::to_string(number));
    return this->answer(200, Json::object());
}

Answer Minion::stop(const Json &body)
{
    const auto task = body.value("task", "");
    const auto number = body.value("run_id", std::int64_t{0});
    auto &most = this->highest[task];
    most = std::max(most, number);
    for (auto &run : this->runs) {
        if (run.task == task && run.number == number && !run.stopsAt)
            run.stopsAt = Clock::now() + this->bounds.stopGrace / 2;
    }
    return this->answer(200, Json::object());
}

Awaitable<Answer> Minion::hold(Json body)
{
    this->extend(body);
    const auto cursor = body.value("ack_cursor", std::int64_t{0});
    while (!this->ends.empty() && this->ends.front().number <= cursor) {
        if (this->ends.front().how == "done" && !this->ends.front().hasLapsed)
            this->ledger.acknowledged(this->ends.front().task);
        this->ends.pop_front();
    }
    const auto most = Milliseconds(std::min<std::int64_t>(body.value("wait_ms", 0), 2000));
    const auto until = Clock::now() + most;
    while (this->ends.empty() && Clock::now() < until)
        co_await wait(Milliseconds(4));
    auto running = Json::array();
    for (const auto &run : this->runs)
        running.push_back({run.task, run.number, this->savedOf(run), 100, run.need.cpu});
    auto finished = Json::array();
    for (const auto &end : this->ends) {
        if (finished.size() >= listedEnds)
            break;
        finished.push_back({end.number, end.task, end.run, end.how, end.saved});
    }
    co_return this->answer(200, {{"running", running}, {"finished", finished}});
}

void Daemon::start()
{
    std::vector<char *> words;
    for (auto &word : this->command)
        words.push_back(word.data());
    words.push_back(nullptr);
    this->pid = ::fork();
    if (this->pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the stand-in
    const int file = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    // Sockets of the stand-in must not stay open in the process.
    for (int descriptor = 3; descriptor < 1024; ++descriptor)
        ::close(descriptor);
    ::execv(words[0], words.data());
    ::_exit(127);
}

void Daemon::signal(int number)
{
    if (this->pid > 0)
        ::kill(this->pid, number);
}

std::int64_t Daemon::memory(bool most) const
{
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
    const std::string wanted = most ? "VmHWM:" : "VmRSS:";
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(wanted, 0) == 0)
            return std::stoll(line.substr(wanted.size()));
    }
    return 0;
}

void Daemon::reap()
{
    if (this->pid > 0)
        ::waitpid(this->pid, nullptr, 0);
    this->pid = 0;
}

bool Daemon::isAlive()
{
    if (this->pid <= 0)
        return false;
    if (::waitpid(this->pid, nullptr, WNOHANG) == this->pid)
        this->pid = 0;
    return this->pid > 0;
}

} // namespace review
