// Stand-ins for the platform's store, its list of machines, and its minions.
#include "world.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

const auto processStart = Clock::now();

constexpr std::size_t pageRows = 500;
constexpr std::size_t pageEnds = 500;
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t silenceMs = 4000; // longer than any caller waits
constexpr std::int64_t storeDelayMs = 2;

constexpr char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string base64(const std::string &bytes)
{
    std::string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            result += k <= count ? alphabet[group >> (18 - 6 * k) & 63] : '=';
    }
    return result;
}

HttpResponse json(int status, const Json &body)
{
    return {status, body.dump(), false};
}

HttpResponse dropped()
{
    return {0, "", true};
}

std::string parameter(const HttpRequest &request, const std::string &name)
{
    const auto at = request.query.find(name);
    return at == request.query.end() ? "" : at->second;
}

std::int64_t numberOf(const HttpRequest &request, const std::string &name)
{
    const auto text = parameter(request, name);
    return text.empty() ? 0 : std::stoll(text);
}

std::string headerOf(const HttpRequest &request, const std::string &name)
{
    const auto at = request.headers.find(name);
    return at == request.headers.end() ? "" : at->second;
}

struct TaskName
{
    std::string job;
    std::int64_t occurrence = 0;
    std::size_t step = 0;
    std::size_t index = 0;
};

TaskName parseTask(const std::string &text)
{
    TaskName name;
    const auto first = text.find('.');
    const auto second = text.find('.', first + 1);
    const auto third = text.find('.', second + 1);
    name.job = text.substr(0, first);
    name.occurrence = std::stoll(text.substr(first + 1, second - first - 1));
    name.step = std::stoul(text.substr(second + 1, third - second - 1));
    name.index = std::stoul(text.substr(third + 1));
    return name;
}

std::string stepName(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

std::int64_t nowMs()
{
    return (Clock::now() - processStart) / std::chrono::milliseconds(1);
}

std::int64_t unixMs()
{
    return std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
}

void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

World::World(const std::string &recordPath, Bounds bounds)
    : bounds(bounds)
    , out(recordPath)
{
    std::thread([this] {
        for (;;) {
            sleepMs(4);
            const std::lock_guard lock(this->mutex);
            this->tick();
        }
    }).detach();
    std::thread([this] {
        for (;;) {
            sleepMs(heartbeatMs);
            const std::lock_guard lock(this->mutex);
            for (auto &entry : this->machines) {
                if (entry.second->isUp && !entry.second->isCut)
                    this->publish(*entry.second);
            }
        }
    }).detach();
}

void World::record(const std::string &line)
{
    const std::lock_guard lock(this->recordMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", static_cast<double>(nowMs()) / 1000);
    this->out << time << line << std::endl;
}

void World::broken(const std::string &rule, const std::string &what)
{
    {
        const std::lock_guard lock(this->recordMutex);
        ++this->broke[rule];
    }
    this->record("BROKEN " + rule + ": " + what);
}

std::size_t World::breaks(const std::string &rule) const
{
    const std::lock_guard lock(this->recordMutex);
    const auto at = this->broke.find(rule);
    return at == this->broke.end() ? 0 : at->second;
}

// The store.

std::uint16_t World::addStorePort()
{
    return serveHttp([this](const HttpRequest &request) { return this->callStore(request); });
}

Json World::rowJson(const std::string &table, const std::string &part, const std::string &key,
                    const Row &row) const
{
    Json result{{"table", table}, {"part", part}, {"key", key}, {"ver", row.version}};
    if (row.isDeleted)
        result["deleted"] = true;
    else
        result["value"] = row.value;
    return result;
}

void World::write(const std::string &table, const std::string &part, const std::string &key,
                  const std::string &value, bool isDeleted)
{
    const RowKey at{table, part, key};
    this->rows[at] = {value, this->lastVersion, isDeleted};
    this->history[this->lastVersion].push_back(at);
    this->changed.notify_all();
}

void World::putRow(const std::string &table, const std::string &key, const Json &value)
{
    const std::lock_guard lock(this->mutex);
    ++this->lastVersion;
    this->write(table, "", key, base64(value.dump()), false);
    this->record("operator writes " + table + "/" + key);
}

void World::configure(const Json &next)
{
    {
        const std::lock_guard lock(this->mutex);
        this->configuration = next;
    }
    this->putRow("op", "config", next);
}

HttpResponse World::callStore(const HttpRequest &request)
{
    if (request.path == "/rows-feed")
        return this->feed(request);
    sleepMs(storeDelayMs);
    const std::lock_guard lock(this->mutex);
    if (request.path == "/rows-tx")
        return this->transact(Json::parse(request.body));
    if (request.path == "/rows-get")
        return this->readRows(request);
    if (request.path == "/rows-parts")
        return this->listParts(request);
    return json(404, Json::object());
}

HttpResponse World::transact(const Json &body)
{
    auto current = Json::array();
    bool holds = true;
    const auto keyOf = [](const Json &entry) {
        return RowKey{entry.value("table", ""), entry.value("part", ""), entry.value("key", "")};
    };
    for (const auto &condition : body.value("expected_rev", Json::array())) {
        const auto key = keyOf(condition);
        const auto at = this->rows.find(key);
        const bool exists = at != this->rows.end() && !at->second.isDeleted;
        holds &= (exists ? at->second.version : 0) == condition.value("ver", std::int64_t{0});
        if (exists)
            current.push_back(this->rowJson(key.table, key.part, key.key, at->second));
    }
    if (!holds)
        return json(412, {{"rows", current}, {"ver", this->lastVersion}, {"now_ms", nowMs()}});
    const auto puts = body.value("put", Json::array());
    const auto removals = body.value("remove", Json::array());
    for (const auto *entries : {&puts, &removals}) {
        for (const auto &entry : *entries) {
            const auto table = entry.value("table", "");
            if (table == "op" || table == "servers")
                return json(403, Json::object());
        }
    }
    ++this->lastVersion;
    for (const auto &entry : puts) {
        const auto key = keyOf(entry);
        this->write(key.table, key.part, key.key, entry.value("value", ""), false);
    }
    for (const auto &entry : removals) {
        const auto key = keyOf(entry);
        const auto at = this->rows.find(key);
        if (at != this->rows.end() && !at->second.isDeleted)
            this->write(key.table, key.part, key.key, "", true);
    }
    return json(200, {{"ver", this->lastVersion}, {"now_ms", nowMs()}});
}

HttpResponse World::readRows(const HttpRequest &request)
{
    const auto table = parameter(request, "table");
    const auto part = parameter(request, "part");
    const auto to = parameter(request, "to");
    const auto limit = numberOf(request, "limit");
    const auto most = limit > 0 ? std::min<std::size_t>(limit, pageRows) : pageRows;
    auto page = Json::array();
    bool hasMore = false;
    for (auto at = this->rows.lower_bound({table, part, parameter(request, "from")});
         at != this->rows.end() && at->first.table == table && at->first.part == part; ++at) {
        if (!to.empty() && at->first.key >= to)
            break;
        if (at->second.isDeleted)
            continue;
        hasMore = page.size() >= most;
        if (hasMore)
            break;
        page.push_back(this->rowJson(table, part, at->first.key, at->second));
    }
    return json(
        200,
        {{"rows", page}, {"has_more", hasMore}, {"ver", this->lastVersion}, {"now_ms", nowMs()}});
}

HttpResponse World::listParts(const HttpRequest &request)
{
    const auto table = parameter(request, "table");
    std::set<std::string> names;
    for (const auto &row : this->rows) {
        if (row.first.table == table && row.first.part > parameter(request, "after")
            && !row.second.isDeleted)
            names.insert(row.first.part);
    }
    return json(200, {{"parts", names}, {"ver", this->lastVersion}, {"now_ms", nowMs()}});
}

HttpResponse World::feed(const HttpRequest &request)
{
    const auto table = parameter(request, "table");
    const auto after = numberOf(request, "after");
    const auto until = nowMs() + numberOf(request, "wait_ms");
    std::unique_lock lock(this->mutex);
    for (;;) {
        auto page = Json::array();
        std::set<RowKey> seen;
        for (auto at = this->history.upper_bound(after); at != this->history.end(); ++at) {
            for (const auto &key : at->second) {
                const auto &row = this->rows.at(key);
                if (key.table == table && row.version == at->first && seen.insert(key).second)
                    page.push_back(this->rowJson(key.table, key.part, key.key, row));
            }
        }
        if (!page.empty() || nowMs() >= until)
            return json(200, {{"rows", page}, {"ver", this->lastVersion}, {"now_ms", nowMs()}});
        this->changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(
                                         std::min<std::int64_t>(until - nowMs(), 20), 1)));
    }
}

// The machines.

std::uint16_t World::cloudPort()
{
    return serveHttp([this](const HttpRequest &request) { return this->callCloud(request); });
}

Machine &World::addMachine(const std::string &name, const std::string &pool, std::int64_t cpu,
                           const std::string &rack, const std::string &kind)
{
    auto machine = std::make_unique<Machine>();
    machine->name = name;
    machine->pool = pool;
    machine->cpu = cpu;
    machine->memory = 131072;
    machine->rack = rack;
    machine->kind = kind;
    machine->port = serveHttp(
        [this, name](const HttpRequest &request) { return this->callMinion(name, request); });
    const std::lock_guard lock(this->mutex);
    auto &added = *(this->machines[name] = std::move(machine));
    this->beginMinion(added, true);
    return added;
}

Machine &World::machine(const std::string &name)
{
    return *this->machines.at(name);
}

std::size_t World::orderCount(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    return this->machine(name).orders.size();
}

void World::beginMinion(Machine &machine, bool isNewId)
{
    if (isNewId)
        machine.id = "i-" + std::to_string(++this->ids);
    machine.born = unixMs() + machine.clockStep;
    machine.startedAt = nowMs();
    machine.isUp = true;
    machine.state = "up";
    machine.fence = 0;
    machine.leaseEnd = 0;
    machine.lastEnd = 0;
    machine.ends.clear();
    machine.highestEnded.clear();
    this->record("minion " + machine.id + " begins on " + machine.name + " in " + machine.pool
                 + ", born " + std::to_string(machine.born));
    this->publish(machine);
}

void World::endMinion(Machine &machine)
{
    for (const auto &run : machine.runs)
        this->tasks[run.task].running.erase({machine.id, run.number});
    machine.runs.clear();
    machine.isUp = false;
    this->changed.notify_all();
}

void World::publish(Machine &machine)
{
    const Json entry{{"service", machine.pool},
                     {"addr", "127.0.0.1:" + std::to_string(machine.port)},
                     {"zone", "here"},
                     {"version", "1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"seq", nowMs()},
                     {"born", machine.born},
                     {"machine", machine.name},
                     {"capacity", {{"cpu", machine.cpu}, {"mem_mb", machine.memory}, {"gpu", 0}}},
                     {"labels", {machine.kind, machine.rack}}};
    ++this->lastVersion;
    this->write("servers", "", machine.id, base64(entry.dump()), false);
}

void World::unpublish(const std::string &id)
{
    ++this->lastVersion;
    this->write("servers", "", id, "", true);
}

void World::cutMinion(const std::string &name, bool isCut)
{
    const std::lock_guard lock(this->mutex);
    this->machine(name).isCut = isCut;
    this->changed.notify_all();
    this->record("minion on " + name + (isCut ? " is cut off" : " is reached again"));
}

void World::restartMinion(const std::string &name, std::int64_t downMs)
{
    {
        const std::lock_guard lock(this->mutex);
        auto &machine = this->machine(name);
        if (!machine.isUp)
            return;
        this->record("minion " + machine.id + " crashes on " + name);
        this->endMinion(machine);
    }
    std::thread([this, name, downMs] {
        sleepMs(downMs);
        const std::lock_guard lock(this->mutex);
        auto &machine = this->machine(name);
        if (!machine.isUp && machine.state == "up")
            this->beginMinion(machine, false);
    }).detach();
}

void World::stepClock(const std::string &name, std::int64_t ms)
{
    const std::lock_guard lock(this->mutex);
    this->machine(name).clockStep += ms;
    this->record("the time of day on " + name + " jumps by " + std::to_string(ms) + " ms");
}

void World::delayNext(const std::string &name, const std::string &path, std::int64_t ms)
{
    const std::lock_guard lock(this->mutex);
    this->machine(name).delays[path] = ms;
}

bool World::isDelayPending(const std::string &name, const std::string &path)
{
    const std::lock_guard lock(this->mutex);
    return this->machine(name).delays.count(path) != 0;
}

HttpResponse World::callCloud(const HttpRequest &request)
{
    const std::lock_guard lock(this->mutex);
    if (request.path == "/machines") {
        auto list = Json::array();
        for (const auto &entry : this->machines) {
            const auto &machine = *entry.second;
            list.push_back(
                {{"machine", machine.name},
                 {"pool", machine.pool},
                 {"state", machine.state},
                 {"zone", "here"},
                 {"labels", {machine.kind, machine.rack}},
                 {"capacity", {{"cpu", machine.cpu}, {"mem_mb", machine.memory}, {"gpu", 0}}},
                 {"id", machine.isUp ? machine.id : ""}});
        }
        return json(200, {{"machines", list}, {"next_token", nullptr}});
    }
    const auto body = Json::parse(request.body);
    const auto at = this->machines.find(body.value("machine", ""));
    if (at == this->machines.end())
        return json(400, Json::object());
    auto &machine = *at->second;
    const bool isMove = request.path == "/machine-move";
    const auto pool = body.value("pool", "");
    const auto what =
        isMove ? "move to " + pool : "upkeep of wave " + std::to_string(body.value("wave", 0));
    const auto holder = headerOf(request, "x-duty-holder");
    const auto fence = std::stoll("0" + headerOf(request, "x-fencing-token"));
    this->record("order " + machine.name + ": " + what + " by " + holder + " fence "
                 + std::to_string(fence) + " state " + machine.state);
    this->checkOrder(machine, holder, fence, what);
    if (isMove && this->arePoolsApart && machine.pool != pool)
        return json(400, Json::object());
    if (isMove && machine.pool == pool)
        return json(200, Json::object());
    if (machine.state != "up" || !machine.isUp)
        return json(409, {{"reason", "busy"}});
    this->endMinion(machine);
    this->unpublish(machine.id);
    machine.state = isMove ? "moving" : "upkeep";
    machine.backAt = nowMs() + (isMove ? this->bounds.migrate : this->bounds.upkeep);
    if (isMove)
        machine.pool = pool;
    return json(200, Json::object());
}

void World::checkOrder(Machine &machine, const std::string &holder, std::int64_t fence,
                       const std::string &what)
{
    const auto now = nowMs();
    for (const auto &earlier : machine.orders) {
        const auto pair = machine.name + ": " + earlier.what + " by " + earlier.holder + " fence "
                          + std::to_string(earlier.fence) + ", then " + what + " by " + holder
                          + " fence " + std::to_string(fence) + " after "
                          + std::to_string(now - earlier.at) + " ms";
        if (earlier.holder != holder && earlier.fence == fence)
            this->broken("ONE", "two holders with one fencing token, " + pair);
        if (fence < earlier.fence)
            this->broken("ONE", "a lower fencing token after a higher one, " + pair);
        const bool areInTouch = this->isInTouch && this->isInTouch(earlier.holder, earlier.at)
                                && this->isInTouch(holder, now);
        if (earlier.holder != holder && now - earlier.at < this->bounds.lease && areInTouch)
            this->broken("ONE", "holders in touch take turns within lease_ms, " + pair);
    }
    machine.orders.push_back({now, holder, fence, what});
}

// The minions.

std::int64_t World::clockOf(const Machine &machine) const
{
    return nowMs() - machine.startedAt + 1;
}

Json World::stamped(const Machine &machine, Json body) const
{
    body["clock_ms"] = this->clockOf(machine);
    body["born"] = machine.born;
    return body;
}

HttpResponse World::callMinion(const std::string &name, const HttpRequest &request)
{
    std::unique_lock lock(this->mutex);
    auto &machine = *this->machines.at(name);
    const auto isAway = [&] {
        return !machine.isUp || machine.isCut;
    };
    const auto silent = [&] {
        lock.unlock();
        sleepMs(silenceMs);
        return dropped();
    };
    if (isAway())
        return machine.isUp ? silent() : dropped();
    std::optional<std::int64_t> delay;
    // A hold that acknowledges ends is told apart.
    const bool acknowledges =
        request.path == "/hold" && request.body.find("\"ack_cursor\":0") == std::string::npos;
    if (const auto at = machine.delays.find(acknowledges ? "/hold+ack" : request.path);
        at != machine.delays.end()) {
        delay = at->second;
        machine.delays.erase(at);
    }
    if (delay) {
        this->record("call " + request.path + " to " + machine.id + " is left unanswered for "
                     + std::to_string(*delay) + " ms: " + request.body);
        lock.unlock();
        sleepMs(*delay);
        lock.lock();
        if (!machine.isUp)
            return dropped();
        this->record("late call " + request.path + " is carried out by " + machine.id);
    }
    const auto expected = headerOf(request, "x-expect-instance");
    if (!expected.empty() && expected != machine.id)
        return json(421, Json::object());
    const auto body = Json::parse(request.body);
    const auto token = body.value("fencing_token", std::int64_t{0});
    if (token < machine.fence)
        return json(409, this->stamped(machine, {{"reason", "fence"}}));
    machine.fence = token;
    this->tickMachine(machine, nowMs());
    HttpResponse response;
    if (request.path == "/run-start")
        response = this->start(machine, body);
    else if (request.path == "/run-stop")
        response = this->stop(machine, body);
    else if (request.path == "/hold")
        response = this->hold(lock, name, machine.id, body);
    else
        response = json(200, this->stamped(machine, Json::object()));
    return delay ? dropped() : response;
}

HttpResponse World::start(Machine &machine, const Json &body)
{
    const auto task = body.value("task", "");
    const auto number = body.value("run_id", std::int64_t{0});
    const auto until = body.value("until_ms", std::int64_t{0});
    const auto refuse = [&](const char *reason) {
        this->record("refused " + task + " run " + std::to_string(number) + " on " + machine.id
                     + ": " + reason);
        return json(409, this->stamped(machine, {{"reason", reason}}));
    };
    const auto clock = this->clockOf(machine);
    if (until < clock)
        return refuse("late");
    machine.leaseEnd = std::max(machine.leaseEnd, std::min(until, clock + this->bounds.holdMax));
    for (const auto &run : machine.runs) {
        if (run.task == task && run.number == number)
            return json(200, this->stamped(machine, Json::object()));
    }
    const auto ended = machine.highestEnded.find(task);
    if (ended != machine.highestEnded.end() && ended->second >= number)
        return refuse("old");
    auto used = this->needOf(task);
    for (const auto &run : machine.runs) {
        const auto need = this->needOf(run.task);
        used.cpu += need.cpu;
        used.memory += need.memory;
    }
    const bool fits = used.cpu <= machine.cpu && used.memory <= machine.memory;
    if (!fits && this->unguarded.count(machine.pool) == 0)
        return refuse("room");
    if (!fits)
        this->broken("LIMIT", "the start of " + task + " brings " + machine.id + " to "
                                  + std::to_string(used.cpu) + " of " + std::to_string(machine.cpu)
                                  + " thousandths of a core");
    this->record("start " + task + " run " + std::to_string(number) + " on " + machine.id
                 + " fence " + std::to_string(machine.fence));
    this->checkStart(machine, task, number, body.value("spec", ""));
    RunRow run;
    run.task = task;
    run.number = number;
    run.startedAt = nowMs();
    const auto *step = this->stepOf(task);
    run.isWorking = !(step && step->value("gang", false));
    machine.runs.push_back(run);
    this->tasks[task].running.insert({machine.id, number});
    return json(200, this->stamped(machine, Json::object()));
}

HttpResponse World::stop(Machine &machine, const Json &body)
{
    const auto task = body.value("task", "");
    const auto number = body.value("run_id", std::int64_t{0});
    bool isHere = false;
    for (auto &run : machine.runs) {
        if (run.task != task || run.number != number)
            continue;
        isHere = true;
        if (!run.stopAt) {
            run.stopAt = nowMs() + this->bounds.stopGrace;
            this->record("stop " + task + " run " + std::to_string(number) + " on " + machine.id);
        }
    }
    if (!isHere) {
        auto &highest = machine.highestEnded[task];
        highest = std::max(highest, number);
    }
    return json(200, this->stamped(machine, Json::object()));
}

HttpResponse World::hold(std::unique_lock<std::mutex> &lock, const std::string &name,
                         const std::string &id, const Json &body)
{
    auto &machine = *this->machines.at(name);
    const auto born = machine.born;
    const auto until = body.value("until_ms", std::int64_t{0});
    if (until > 0)
        machine.leaseEnd = std::max(machine.leaseEnd,
                                    std::min(until, this->clockOf(machine) + this->bounds.holdMax));
    const auto acknowledged = body.value("ack_cursor", std::int64_t{0});
    std::erase_if(machine.ends, [&](const EndRow &end) {
        if (end.number > acknowledged)
            return false;
        auto &task = this->tasks[end.task];
        if (end.isLeaseValid && end.how == "done")
            task.acknowledged.insert({machine.id, end.run});
        if (end.isLeaseValid && end.how == "failed")
            ++task.failedAcknowledged;
        if (end.isLeaseValid && end.how == "done") {
            for (const auto &before : task.doneBefore) {
                if (before.count({machine.id, end.run}) != 0)
                    this->broken("TWICE", end.task + " was started after its run "
                                              + std::to_string(end.run) + " on " + machine.id
                                              + " had ended as done, which is taken note of");
            }
        }
        return true;
    });
    const auto answerBy =
        nowMs() + std::min<std::int64_t>(body.value("wait_ms", std::int64_t{0}), 2000);
    while (machine.ends.empty() && nowMs() < answerBy && machine.isUp && machine.born == born)
        this->changed.wait_for(lock, std::chrono::milliseconds(5));
    if (!machine.isUp || machine.born != born || machine.id != id)
        return dropped();
    if (machine.isCut) {
        lock.unlock();
        sleepMs(silenceMs);
        return dropped();
    }
    auto running = Json::array();
    for (const auto &run : machine.runs) {
        const bool isAtWork = nowMs() - run.startedAt > 100;
        running.push_back({run.task, run.number, "", isAtWork ? 100 : 0, 0});
    }
    auto finished = Json::array();
    for (const auto &end : machine.ends) {
        if (finished.size() < pageEnds)
            finished.push_back({end.number, end.task, end.run, end.how, end.saved});
    }
    return json(200, this->stamped(machine, {{"running", running}, {"finished", finished}}));
}

void World::endRun(Machine &machine, const RunRow &run, const std::string &how)
{
    machine.ends.push_back({++machine.lastEnd, run.task, run.number, how, "", true});
    auto &highest = machine.highestEnded[run.task];
    highest = std::max(highest, run.number);
    auto &task = this->tasks[run.task];
    task.running.erase({machine.id, run.number});
    if (how == "done") {
        task.isDone = true;
        task.doneRuns.insert({machine.id, run.number});
    }
    this->record("end " + run.task + " run " + std::to_string(run.number) + " on " + machine.id
                 + ": " + how);
    if (how == "alone" && this->isCalm)
        this->broken("GANG", run.task + " ended alone on " + machine.id);
    this->changed.notify_all();
}

void World::tickMachine(Machine &machine, std::int64_t now)
{
    if (!machine.isUp)
        return;
    const bool isLapsed = this->clockOf(machine) > machine.leaseEnd;
    if (isLapsed) {
        for (auto &end : machine.ends)
            end.isLeaseValid = false;
    }
    std::vector<std::pair<RunRow, std::string>> over;
    for (const auto &run : machine.runs) {
        const auto *step = this->stepOf(run.task);
        const bool isLasting = step && step->value("long_running", false);
        // The members of a gang end together.
        const bool isGang = step && step->value("gang", false);
        const auto subject = isGang ? stepName(run.task) + ".0" : run.task;
        const auto outcome =
            this->outcomeOf ? this->outcomeOf(subject, run.number, machine.name) : Outcome{};
        if (isLapsed)
            over.emplace_back(run, "lapsed");
        else if (run.stopAt && *run.stopAt <= now)
            over.emplace_back(run, "stopped");
        else if (!run.isWorking && now - run.startedAt > this->bounds.gangTimeout)
            over.emplace_back(run, "alone");
        else if (run.isWorking && !isLasting && !run.stopAt && now - run.startedAt >= outcome.ms)
            over.emplace_back(run, outcome.how);
    }
    for (const auto &ended : over) {
        std::erase_if(machine.runs, [&](const RunRow &run) {
            return run.task == ended.first.task && run.number == ended.first.number;
        });
        this->endRun(machine, ended.first, ended.second);
        const auto *step = this->stepOf(ended.first.task);
        if (!step || !step->value("gang", false) || ended.second == "done")
            continue;
        // The other members of the gang end with it.
        for (auto &entry : this->machines) {
            auto &other = *entry.second;
            std::vector<RunRow> members;
            std::erase_if(other.runs, [&](const RunRow &run) {
                const bool isMember = run.number == ended.first.number && run.isWorking
                                      && stepName(run.task) == stepName(ended.first.task);
                if (isMember)
                    members.push_back(run);
                return isMember;
            });
            for (const auto &member : members)
                this->endRun(other, member, "broken");
        }
    }
}

void World::startGangs()
{
    std::map<std::pair<std::string, std::int64_t>, std::vector<RunRow *>> gangs;
    for (auto &entry : this->machines) {
        for (auto &run : entry.second->runs) {
            if (!run.isWorking)
                gangs[{stepName(run.task), run.number}].push_back(&run);
        }
    }
    for (auto &gang : gangs) {
        const auto *step = this->stepOf(gang.second.front()->task);
        if (!step || gang.second.size() < step->value("count", std::size_t{1}))
            continue;
        for (auto *run : gang.second) {
            run->isWorking = true;
            run->startedAt = nowMs();
        }
    }
}

void World::tick()
{
    const auto now = nowMs();
    for (auto &entry : this->machines) {
        auto &machine = *entry.second;
        if (machine.state != "up" && now >= machine.backAt)
            this->beginMinion(machine, true);
    }
    this->startGangs();
    for (auto &entry : this->machines)
        this->tickMachine(*entry.second, now);
}

// The checks.

const Json *World::stepOf(const std::string &task) const
{
    const auto name = parseTask(task);
    const auto at = this->jobs.find(name.job);
    if (at == this->jobs.end() || name.step >= at->second.steps.size())
        return nullptr;
    return &at->second.steps[name.step];
}

Need World::needOf(const std::string &task) const
{
    const auto *step = this->stepOf(task);
    if (!step)
        return {};
    const bool fills = step->value("fill_ratio", 0.0) != 0;
    return {fills ? 0 : step->value("cpu", std::int64_t{0}),
            step->value("mem_mb", std::int64_t{0})};
}

void World::checkStart(const Machine &machine, const std::string &task, std::int64_t run,
                       const std::string &spec)
{
    const auto name = parseTask(task);
    const auto at = this->jobs.find(name.job);
    const auto *step = this->stepOf(task);
    const auto what = task + " run " + std::to_string(run) + " on " + machine.id;
    if (at == this->jobs.end() || !step || spec != name.job) {
        this->broken("UNASKED", what + " was not sent by a client");
        return;
    }
    const auto &job = at->second;
    const auto now = nowMs();
    if (job.cancelledAt && now - *job.cancelledAt > this->bounds.cancel)
        this->broken("UNASKED", what + " starts " + std::to_string(now - *job.cancelledAt)
                                    + " ms after the cancellation was acknowledged");
    auto &record = this->tasks[task];
    if (!record.running.empty())
        this->broken("TWICE", what + " starts beside run "
                                  + std::to_string(record.running.begin()->second) + " on "
                                  + record.running.begin()->first);
    const bool isLasting = step->value("long_running", false);
    if (record.isDone && !isLasting) {
        for (const auto &done : record.doneRuns) {
            if (record.acknowledged.count(done) != 0)
                this->broken("TWICE", what + " starts after its run " + std::to_string(done.second)
                                          + " has ended as done, which is taken note of");
        }
        record.doneBefore.push_back(record.doneRuns);
    }
    for (const auto &before : step->value("after", Json::array())) {
        const auto earlier = before.get<std::size_t>();
        const auto count = job.steps[earlier].value("count", std::size_t{1});
        const bool isGang = job.steps[earlier].value("gang", false);
        bool isAnyDone = false;
        bool areAllDone = true;
        for (std::size_t i = 0; i < count; ++i) {
            const auto other = name.job + "." + std::to_string(name.occurrence) + "."
                               + std::to_string(earlier) + "." + std::to_string(i);
            isAnyDone |= this->tasks[other].isDone;
            areAllDone &= this->tasks[other].isDone;
        }
        if (isGang ? !isAnyDone : !areAllDone)
            this->broken("ORDER", what + " starts before step " + std::to_string(earlier));
    }
    if (job.repetitions > 0) {
        const auto due = job.startAt + name.occurrence * job.interval;
        if (unixMs() < due - this->bounds.early)
            this->broken("ORDER", what + " starts " + std::to_string(due - unixMs())
                                      + " ms before its time");
    }
    const auto label = step->value("requirements", "");
    if (!label.empty() && label != machine.kind && label != machine.rack)
        this->broken("ROUTE", what + " needs the label " + label);
    const auto limit = step->value("anti_affinity", std::int64_t{0});
    std::int64_t here = 1;
    for (const auto &other : machine.runs)
        here += stepName(other.task) == stepName(task) ? 1 : 0;
    if (limit > 0 && here > limit)
        this->broken("ROUTE", what + " is one of " + std::to_string(here) + " there");
    for (const auto &route : this->configuration.value("routes", Json::array())) {
        if (route.value("name", "") != job.queue)
            continue;
        const auto attempts = route.value("max_attempts", std::size_t{1});
        if (record.failedAcknowledged >= attempts && !isLasting)
            this->broken("BUDGET",
                         what + " starts after " + std::to_string(attempts) + " runs have failed");
    }
    const auto cap = this->caps.find(job.tenant);
    if (cap == this->caps.end())
        return;
    std::int64_t used = step->value("cpu", std::int64_t{0});
    for (const auto &entry : this->machines) {
        for (const auto &other : entry.second->runs) {
            const auto owner = this->jobs.find(parseTask(other.task).job);
            const auto *otherStep = this->stepOf(other.task);
            if (owner != this->jobs.end() && owner->second.tenant == job.tenant && otherStep)
                used += otherStep->value("cpu", std::int64_t{0});
        }
    }
    const auto allowed = static_cast<double>(cap->second) * (1 + this->bounds.quotaExcess)
                         + static_cast<double>(step->value("cpu", std::int64_t{0}));
    if (static_cast<double>(used) > allowed)
        this->broken("QUOTA", what + " brings " + job.tenant + " to " + std::to_string(used)
                                  + " thousandths of a core of " + std::to_string(cap->second));
}

// The clients.

void World::sent(const std::string &id, SentJob job)
{
    const std::lock_guard lock(this->mutex);
    this->jobs.try_emplace(id, std::move(job));
}

void World::accepted(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    this->jobs.at(id).isAccepted = true;
}

void World::cancelled(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    auto &job = this->jobs.at(id);
    if (!job.cancelledAt)
        job.cancelledAt = nowMs();
}

std::size_t World::runningTasks(const std::string &job)
{
    const std::lock_guard lock(this->mutex);
    std::size_t count = 0;
    for (const auto &entry : this->machines) {
        for (const auto &run : entry.second->runs)
            count += parseTask(run.task).job == job ? 1 : 0;
    }
    return count;
}

std::string World::machineOf(const std::string &job)
{
    const std::lock_guard lock(this->mutex);
    for (const auto &entry : this->machines) {
        for (const auto &run : entry.second->runs) {
            if (parseTask(run.task).job == job)
                return entry.first;
        }
    }
    return "";
}

bool World::isDone(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    const auto &job = this->jobs.at(id);
    for (std::int64_t k = 0; k < std::max<std::int64_t>(job.repetitions, 1); ++k) {
        for (std::size_t step = 0; step < job.steps.size(); ++step) {
            const auto count = job.steps[step].value("count", std::size_t{1});
            std::size_t done = 0;
            for (std::size_t i = 0; i < count; ++i)
                done += this->tasks[id + "." + std::to_string(k) + "." + std::to_string(step) + "."
                                    + std::to_string(i)]
                                .isDone
                            ? 1
                            : 0;
            if (job.steps[step].value("gang", false) ? done == 0 : done < count)
                return false;
        }
    }
    return true;
}

int Client::submit(EntryVm &entry, const std::string &prefix, const std::string &id,
                   const SentJob &job, int timeoutMs)
{
    this->world.sent(id, job);
    Json body{{"spec", id}, {"steps", job.steps}};
    if (job.repetitions > 0) {
        body["repetitions"] = job.repetitions;
        body["start_at_ms"] = job.startAt;
        body["interval_ms"] = job.interval;
    }
    const auto headers = "X-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n"
                         + (this->key.empty() ? "" : "Authorization: Token " + this->key + "\r\n");
    const auto answer =
        callHttp(entry.callers, "POST", prefix + id, body.dump(), timeoutMs, headers);
    const int status = answer ? answer->status : 0;
    if (status / 100 == 2)
        this->world.accepted(id);
    this->world.record("client hands " + id + " in at " + entry.name + ": "
                       + std::to_string(status));
    return status;
}

int Client::cancel(EntryVm &entry, const std::string &prefix, const std::string &id, int timeoutMs)
{
    const auto headers = "X-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n"
                         + (this->key.empty() ? "" : "Authorization: Token " + this->key + "\r\n");
    const auto answer = callHttp(entry.callers, "DELETE", prefix + id, "", timeoutMs, headers);
    const int status = answer ? answer->status : 0;
    if (status / 100 == 2 || status == 410)
        this->world.cancelled(id);
    this->world.record("client cancels " + id + " at " + entry.name + ": "
                       + std::to_string(status));
    return status;
}

std::string Client::state(EntryVm &entry, const std::string &prefix, const std::string &id,
                          int timeoutMs)
{
    const auto headers = "X-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n"
                         + (this->key.empty() ? "" : "Authorization: Token " + this->key + "\r\n");
    const auto answer = callHttp(entry.callers, "GET", prefix + id, "", timeoutMs, headers);
    std::string state;
    if (answer && answer->status == 200)
        state = Json::parse(answer->body).value("state", "");
    else if (answer && answer->status == 410)
        state = "410";
    this->world.record("client asks for " + id + " at " + entry.name + ": "
                       + (state.empty() ? std::to_string(answer ? answer->status : 0) : state));
    return state;
}

Json step(std::int64_t count, std::int64_t cpu, std::int64_t estimateMs)
{
    return {{"count", count}, {"cpu", cpu}, {"mem_mb", 100}, {"estimate_ms", estimateMs}};
}

} // namespace review
