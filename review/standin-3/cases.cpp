// The days of the cases that are scripts. Usage: cases NAME RECORD FOLDER; the environment variable
// TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run.
#include "world.h"

#include <cstdlib>
#include <functional>
#include <iostream>
#include <stdexcept>

namespace review {

namespace {

const char *const program = "target/sassafrasferryd";

struct Arguments
{
    std::string record;
    std::string folder;
    bool hasTrouble = true;
};

// Never destroyed: its threads go on until the end of the program.
World &newWorld(const Arguments &arguments, const Bounds &bounds)
{
    return *new World(arguments.record, bounds);
}

Json route(const std::string &name, const std::string &service)
{
    return {{"name", name},
            {"host", "127.0.0.1"},
            {"path_prefix", "/" + name + "/"},
            {"service", service},
            {"priority", 0},
            {"max_attempts", 3},
            {"stretch_factor", 1.6},
            {"target_duration_ms", 600}};
}

Json service(const std::string &name, bool rejectsOverload = true)
{
    return {{"name", name}, {"rejects_overload", rejectsOverload}};
}

void require(bool holds, const std::string &what)
{
    if (!holds)
        throw std::runtime_error(what);
}

bool waitFor(const std::function<bool()> &holds, std::int64_t timeoutMs)
{
    const auto until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        if (holds())
            return true;
        sleepMs(5);
    }
    return holds();
}

std::string jobId(int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016x", number);
    return id;
}

// A tenant's job is cancelled, and the process that leads is killed and started again while the
// job's tasks still take their time to stop.
int cancelledThenKilled(const Arguments &arguments)
{
    Bounds bounds;
    bounds.stopGrace = 900;
    bounds.holdMax = 10000;
    bounds.cancel = 4000;
    auto &world = newWorld(arguments, bounds);
    world.caps["orchard"] = 4000;
    for (int i = 1; i <= 2; ++i)
        world.addMachine("m" + std::to_string(i), "quoting", 32000, "r1");
    world.configure({{"version", 1},
                     {"routes", {route("quotes", "quoting")}},
                     {"services", {service("quoting")}},
                     {"tenants",
                      {{{"name", "orchard"},
                        {"api_keys", {"key-of-orchard"}},
                        {"weight", 1},
                        {"cap", {{"cpu", 4000}, {"mem_mb", 0}, {"gpu", 0}}}}}}});
    world.outcomeOf = [](const std::string &task, std::int64_t, const std::string &) {
        // Odd jobs take long, and are cancelled.
        const bool isLong = (task[15] - '0') % 2 == 1;
        return World::Outcome{isLong ? 60000 : 300, "done"};
    };
    EntryVm entry(world, program, arguments.folder, "e1", world.cloudPort(), 0.25, bounds,
                  {"base", "sched", "platform", "tenants", "quota"});
    entry.start();
    require(entry.waitReady(10000), "the entry VM is not ready");
    Client client{world, "key-of-orchard"};
    constexpr int rounds = 4;
    for (int round = 0; round < rounds; ++round) {
        const auto cancelled = jobId(2 * round + 1);
        const auto waiting = jobId(2 * round + 2);
        SentJob job;
        job.queue = "quotes";
        job.tenant = "orchard";
        job.steps = {step(4, 1000, 500)};
        require(client.submit(entry, "/quotes/", cancelled, job) == 200, "a job is not accepted");
        require(waitFor([&] { return world.runningTasks(cancelled) == 4; }, 15000),
                "a job is not started");
        require(client.submit(entry, "/quotes/", waiting, job) == 200, "a job is not accepted");
        sleepMs(300);
        require(world.runningTasks(waiting) == 0, "the cap is not kept before the disruption");
        require(client.cancel(entry, "/quotes/", cancelled) == 200, "a job is not cancelled");
        if (arguments.hasTrouble) {
            sleepMs(150);
            entry.kill();
            sleepMs(50);
            entry.start();
            require(entry.waitReady(10000), "the entry VM is not ready again");
        }
        require(waitFor([&] { return world.isDone(waiting); }, 20000), "a job is not done");
    }
    return world.breaks("QUOTA") != 0 ? 1 : 0;
}

// The strongest machine is stopped and started twice. A weak one that led meanwhile has ordered a
// machine's upkeep, and the other weak one orders the next.
int twoHandOvers(const Arguments &arguments)
{
    Bounds bounds;
    bounds.contact = 4000;
    bounds.cancel = 4000;
    bounds.configApply = 3000;
    auto &world = newWorld(arguments, bounds);
    world.addMachine("m1", "quoting", 32000, "r1");
    world.configure({{"version", 1},
                     {"routes", {route("quotes", "quoting")}},
                     {"services", {service("quoting")}}});
    const auto cloud = world.cloudPort();
    const std::vector<std::string> contracts{"base", "sched", "platform", "upkeep"};
    EntryVm first(world, program, arguments.folder, "e1", cloud, 0.12, bounds, contracts);
    EntryVm strong(world, program, arguments.folder, "e2", cloud, 0.5, bounds, contracts);
    EntryVm third(world, program, arguments.folder, "e3", cloud, 0.12, bounds, contracts);
    const auto entryOf = [&](const std::string &name) -> const EntryVm & {
        return name == "e1" ? first : name == "e2" ? strong : third;
    };
    world.isInTouch = [&](const std::string &holder, std::int64_t at) {
        const auto disturbed = entryOf(holder).disturbedAt;
        return disturbed && at - *disturbed > bounds.contact;
    };
    const auto leads = [](const EntryVm &entry) {
        return entry.countLog("event=lead fence");
    };
    const auto weakLeads = [&] {
        return leads(first) + leads(third);
    };
    for (auto *entry : {&strong, &first, &third})
        entry->start();
    for (auto *entry : {&strong, &first, &third})
        require(entry->waitReady(10000), "an entry VM is not ready");
    require(waitFor([&] { return leads(strong) > 0; }, 10000), "the strongest does not lead");
    sleepMs(bounds.contact + 500);
    if (arguments.hasTrouble) {
        const auto before = weakLeads();
        strong.terminate();
        require(waitFor([&] { return !strong.isRunning(); }, 8000), "the strongest does not stop");
        require(weakLeads() > before, "no weak entry VM leads");
    }
    const auto wave = [&](int number) {
        world.putRow("op", "wave/" + std::to_string(number),
                     {{"wave", number}, {"machines", {"m1"}}, {"duration_s", 20}, {"cap", 1}});
    };
    const auto orders = [&] {
        return world.orderCount("m1");
    };
    wave(1);
    require(waitFor([&] { return orders() == 1; }, 10000), "the first upkeep is not ordered");
    if (arguments.hasTrouble) {
        const auto strongBefore = leads(strong);
        const auto weakBefore = weakLeads();
        strong.start();
        require(waitFor([&] { return leads(strong) > strongBefore; }, 10000),
                "the strongest does not lead again");
        strong.terminate();
        require(waitFor([&] { return weakLeads() > weakBefore; }, 10000),
                "no weak entry VM leads again");
    } else {
        sleepMs(1000);
    }
    wave(2);
    require(waitFor([&] { return orders() >= 2; }, 20000), "the second upkeep is not ordered");
    sleepMs(500);
    return world.breaks("ONE") != 0 ? 1 : 0;
}

// A queue's route is sent to another service and back. Then the process that leads is killed while
// the minion that runs the queue's job is cut off.
int routeAndBack(const Arguments &arguments)
{
    Bounds bounds;
    auto &world = newWorld(arguments, bounds);
    world.arePoolsApart = true;
    world.addMachine("m1", "quoting", 4000, "r1");
    for (int i = 2; i <= 9; ++i)
        world.addMachine("m" + std::to_string(i), "billing", 4000, "r" + std::to_string(i / 4));
    int version = 0;
    const auto configure = [&](const std::string &serviceOfDrafts) {
        world.configure({{"version", ++version},
                         {"routes", {route("quotes", "quoting"), route("drafts", serviceOfDrafts)}},
                         {"services", {service("quoting"), service("billing")}}});
    };
    configure("quoting");
    world.outcomeOf = [](const std::string &, std::int64_t, const std::string &) {
        return World::Outcome{60000, "done"};
    };
    EntryVm entry(world, program, arguments.folder, "e1", world.cloudPort(), 0.25, bounds,
                  {"base", "sched", "platform"});
    entry.start();
    require(entry.waitReady(10000), "the entry VM is not ready");
    Client client{world};
    const auto full = jobId(1);
    const auto moved = jobId(2);
    SentJob fullJob;
    fullJob.queue = "quotes";
    fullJob.steps = {step(4, 1000, 5000)};
    require(client.submit(entry, "/quotes/", full, fullJob) == 200, "a job is not accepted");
    require(waitFor([&] { return world.runningTasks(full) == 4; }, 10000), "a job is not started");
    SentJob movedJob;
    movedJob.queue = "drafts";
    movedJob.steps = {step(2, 1000, 5000)};
    require(client.submit(entry, "/drafts/", moved, movedJob) == 200, "a job is not accepted");
    sleepMs(500);
    require(world.runningTasks(moved) == 0, "a job is started without room");
    configure("billing");
    require(waitFor([&] { return world.runningTasks(moved) == 2; }, 10000),
            "a job is not started on the other service");
    const auto cut = world.machineOf(moved);
    configure("quoting");
    sleepMs(bounds.configApply + 1000);
    require(client.cancel(entry, "/quotes/", full) == 200, "a job is not cancelled");
    require(waitFor([&] { return world.runningTasks(full) == 0; }, 10000), "a job is not stopped");
    sleepMs(1000);
    if (arguments.hasTrouble) {
        world.cutMinion(cut, true);
        entry.kill();
        sleepMs(300);
        entry.start();
        require(entry.waitReady(10000), "the entry VM is not ready again");
    }
    sleepMs(2000);
    if (arguments.hasTrouble)
        world.cutMinion(cut, false);
    sleepMs(3000);
    return world.breaks("TWICE") != 0 ? 1 : 0;
}

// A start and a hold that acknowledges ends are carried out late, by a minion that has crashed and
// started again under its id behind a cut.
int lateHold(const Arguments &arguments)
{
    Bounds bounds;
    auto &world = newWorld(arguments, bounds);
    world.arePoolsApart = true;
    world.addMachine("m1", "quoting", 4000, "r1", "b");
    for (int i = 2; i <= 8; ++i)
        world.addMachine("m" + std::to_string(i), "quoting", 4000, "r" + std::to_string(i / 4));
    world.configure({{"version", 1},
                     {"routes", {route("quotes", "quoting")}},
                     {"services", {service("quoting")}}});
    world.outcomeOf = [](const std::string &, std::int64_t, const std::string &) {
        return World::Outcome{200, "done"};
    };
    EntryVm entry(world, program, arguments.folder, "e1", world.cloudPort(), 0.25, bounds,
                  {"base", "sched", "platform"});
    entry.start();
    require(entry.waitReady(10000), "the entry VM is not ready");
    Client client{world};
    const auto labelled = [](std::int64_t count) {
        auto result = step(count, 1000, 200);
        result["requirements"] = "b";
        return result;
    };
    SentJob job;
    job.queue = "quotes";
    job.steps = {labelled(2)};
    require(client.submit(entry, "/quotes/", jobId(1), job) == 200, "a job is not accepted");
    require(waitFor([&] { return world.isDone(jobId(1)); }, 10000), "a job is not done");
    sleepMs(3000);
    job.steps = {labelled(1)};
    if (arguments.hasTrouble)
        world.delayNext("m1", "/hold+ack", 4000);
    require(client.submit(entry, "/quotes/", jobId(2), job) == 200, "a job is not accepted");
    require(waitFor([&] { return world.isDone(jobId(2)); }, 10000), "a job is not done");
    if (arguments.hasTrouble) {
        require(waitFor([&] { return !world.isDelayPending("m1", "/hold+ack"); }, 5000),
                "no end is acknowledged");
        world.delayNext("m1", "/run-start", 2300);
    }
    require(client.submit(entry, "/quotes/", jobId(3), job) == 200, "a job is not accepted");
    if (arguments.hasTrouble) {
        require(waitFor([&] { return !world.isDelayPending("m1", "/run-start"); }, 5000),
                "no start is sent");
        world.cutMinion("m1", true);
        world.restartMinion("m1", 500);
        sleepMs(5000);
        world.cutMinion("m1", false);
    }
    require(waitFor([&] { return world.isDone(jobId(3)); }, 40000), "a job is not done");
    sleepMs(15000);
    return world.breaks("TWICE") != 0 ? 1 : 0;
}

// A start without an answer is settled by a stop, and its task runs elsewhere. The minion crashes
// and starts again under its id behind a cut, and carries the start out.
int settledStart(const Arguments &arguments)
{
    Bounds bounds;
    bounds.stopGrace = 400;
    bounds.holdMax = 10000;
    auto &world = newWorld(arguments, bounds);
    world.arePoolsApart = true;
    world.addMachine("m2", "menudesk", 4000, "r2");
    world.configure({{"version", 1},
                     {"routes", {route("menus", "menudesk")}},
                     {"services", {service("menudesk")}}});
    const auto other = jobId(1);
    const auto first = jobId(2);
    const auto subject = jobId(3);
    world.outcomeOf = [&](const std::string &task, std::int64_t, const std::string &) {
        return World::Outcome{task.substr(0, 16) == first ? 1200 : 60000, "done"};
    };
    EntryVm entry(world, program, arguments.folder, "e1", world.cloudPort(), 0.25, bounds,
                  {"base", "sched", "platform"});
    entry.start();
    require(entry.waitReady(10000), "the entry VM is not ready");
    Client client{world};
    const auto run = [&](const std::string &id, const Json &jobStep) {
        SentJob job;
        job.queue = "menus";
        job.steps = {jobStep};
        require(client.submit(entry, "/menus/", id, job) == 200, "a job is not accepted");
    };
    const auto isRunning = [&](const std::string &id) {
        return [&world, id] {
            return world.runningTasks(id) == 1;
        };
    };
    run(other, step(1, 1000, 5000));
    require(waitFor(isRunning(other), 10000), "a job is not started");
    world.addMachine("m1", "menudesk", 4000, "r1", "b");
    for (int i = 3; i <= 8; ++i)
        world.addMachine("m" + std::to_string(i), "menudesk", 4000, "r" + std::to_string(i / 4));
    auto onFirst = step(1, 2000, 1000);
    onFirst["requirements"] = "b";
    run(first, onFirst);
    require(waitFor(isRunning(first), 10000), "a job is not started");
    if (arguments.hasTrouble)
        world.delayNext("m1", "/run-start", 5500);
    run(subject, step(1, 1000, 5000));
    require(waitFor(isRunning(subject), 10000), "a job is not started");
    if (arguments.hasTrouble) {
        require(!world.isDelayPending("m1", "/run-start"), "the first start goes elsewhere");
        sleepMs(1000);
        world.cutMinion("m1", true);
        world.restartMinion("m1", 300);
        sleepMs(5000);
        world.cutMinion("m1", false);
    }
    sleepMs(4000);
    return world.breaks("TWICE") != 0 ? 1 : 0;
}

// A minion starts again twice under its id, and the time of day of its machine jumps back between.
int clockBack(const Arguments &arguments)
{
    Bounds bounds;
    bounds.stopGrace = 400;
    bounds.holdMax = 10000;
    auto &world = newWorld(arguments, bounds);
    world.arePoolsApart = true;
    for (int i = 1; i <= 7; ++i)
        world.addMachine("m" + std::to_string(i), "brothdesk", 16000, "r" + std::to_string(i % 2));
    world.addMachine("m8", "brothdesk", 16000, "r0", "b");
    world.configure({{"version", 1},
                     {"routes", {route("checks", "brothdesk")}},
                     {"services", {service("brothdesk")}}});
    EntryVm entry(world, program, arguments.folder, "e1", world.cloudPort(), 0.25, bounds,
                  {"base", "sched", "platform"});
    entry.start();
    require(entry.waitReady(10000), "the entry VM is not ready");
    Client client{world};
    const auto run = [&](const std::string &id) {
        SentJob job;
        job.queue = "checks";
        auto jobStep = step(2, 1000, 500);
        jobStep["requirements"] = "b";
        job.steps = {jobStep};
        require(client.submit(entry, "/checks/", id, job) == 200, "a job is not accepted");
    };
    run(jobId(1));
    require(waitFor([&] { return world.isDone(jobId(1)); }, 10000), "a job is not done");
    sleepMs(4000);
    if (arguments.hasTrouble) {
        world.restartMinion("m8", 300);
        sleepMs(1300);
        world.stepClock("m8", -2000);
        world.restartMinion("m8", 300);
        sleepMs(4000);
        world.stepClock("m8", 2000);
    }
    run(jobId(2));
    // `finish_s` after the end of the traffic, and the 3 s of the rule.
    const bool isDone = waitFor([&] { return world.isDone(jobId(2)); }, 14000 + 3000);
    client.state(entry, "/checks/", jobId(2));
    if (!isDone)
        world.broken("LOST", jobId(2) + " has nothing running, with all minions idle");
    // How long it lasts.
    if (!isDone)
        world.record(waitFor([&] { return world.isDone(jobId(2)); }, 40000)
                         ? "the job is done in the end"
                         : "the job isn't done 57 s after it was accepted");
    return world.breaks("LOST") != 0 ? 1 : 0;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    using namespace review;
    if (argc != 4) {
        std::cerr << "usage: cases NAME RECORD FOLDER\n";
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    const Arguments arguments{argv[2], argv[3], !trouble || std::string(trouble) != "0"};
    const std::map<std::string, std::function<int(const Arguments &)>> cases{
        {"cancelled-then-killed", cancelledThenKilled},
        {"two-hand-overs", twoHandOvers},
        {"route-and-back", routeAndBack},
        {"late-hold", lateHold},
        {"settled-start", settledStart},
        {"clock-back", clockBack},
    };
    const auto at = cases.find(argv[1]);
    if (at == cases.end()) {
        std::cerr << "no such case\n";
        return 2;
    }
    int result = 2;
    try {
        result = at->second(arguments);
    } catch (const std::exception &error) {
        std::cerr << "the case couldn't run: " << error.what() << '\n';
    }
    std::cout << (result == 0 ? "held\n" : result == 1 ? "broken\n" : "not run\n");
    std::cout.flush();
    std::_Exit(result); // the threads of the stand-ins go on until the end
}
