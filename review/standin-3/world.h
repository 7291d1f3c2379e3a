// Stand-ins for the platform's store, its list of machines, and its minions, on loopback, and the
// checks of the rules that these can see.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

using Json = nlohmann::json;

/// Milliseconds of the steady clock since the start of the program.
std::int64_t nowMs();
std::int64_t unixMs();
void sleepMs(std::int64_t duration);

/// The bounds of a small deployment, in milliseconds. `RULES.md` tells what each means.
struct Bounds
{
    std::int64_t holdMax = 6000;
    std::int64_t stopGrace = 200;
    std::int64_t gangTimeout = 3000;
    std::int64_t lease = 3000;
    std::int64_t contact = 3000;
    std::int64_t cancel = 3000;
    std::int64_t early = 250;
    std::int64_t migrate = 1500;
    std::int64_t upkeep = 2000;
    std::int64_t notice = 4500;
    std::int64_t impact = 4000;
    std::int64_t configApply = 2000;
    double quotaExcess = 0.1;
};

struct Need
{
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
};

/// What clients have sent of a job, and what they were answered.
struct SentJob
{
    std::string queue;
    std::string tenant;
    Json steps = Json::array();
    std::int64_t repetitions = 0;
    std::int64_t startAt = 0; ///< Unix milliseconds
    std::int64_t interval = 0;
    bool isAccepted = false;
    std::optional<std::int64_t> cancelledAt; ///< when a cancellation was acknowledged
};

struct RunRow
{
    std::string task;
    std::int64_t number = 0;
    std::string spec;
    std::int64_t startedAt = 0;
    std::int64_t workedMs = 0; ///< up to the checkpoint that it was started with
    std::optional<std::int64_t> stopAt; ///< when a stop that was ordered is over
    bool isWorking = true; ///< false for a member of a gang that waits for the others
};

struct EndRow
{
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
    std::string saved;
    bool isLeaseValid = true; ///< the lease has not lapsed since
};

/// A machine and the minion on it.
struct Machine
{
    std::string name;
    std::string pool;
    std::string state = "up";
    std::string kind = "a";
    std::string rack;
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::uint16_t port = 0;
    std::int64_t backAt = 0; ///< when a move or an upkeep ends

    // Of the present minion.
    std::string id;
    std::int64_t born = 0;
    std::int64_t startedAt = 0;
    bool isUp = true;
    std::int64_t clockStep = 0; ///< by which the machine's time of day is off
    bool isCut = false; ///< calls are neither carried out nor answered
    std::map<std::string, std::int64_t> delays; ///< of the next call, by path
    std::int64_t fence = 0;
    std::int64_t leaseEnd = 0; ///< by the minion's clock
    std::int64_t lastEnd = 0;
    std::vector<RunRow> runs;
    std::vector<EndRow> ends;
    std::map<std::string, std::int64_t> highestEnded; ///< by task

    // Of the orders about the machine.
    struct Order
    {
        std::int64_t at = 0;
        std::string holder;
        std::int64_t fence = 0;
        std::string what;
    };
    std::vector<Order> orders;
};

/// A row of the store.
struct Row
{
    std::string value; ///< base64
    std::int64_t version = 0;
    bool isDeleted = false;
};

/// The world outside the entry VMs.
class World
{
public:
    World(const std::string &recordPath, Bounds bounds);

    /// Writes a line to the record.
    void record(const std::string &line);
    /// Notes that a rule is broken.
    void broken(const std::string &rule, const std::string &what);
    std::size_t breaks(const std::string &rule) const;

    // The platform.
    std::uint16_t addStorePort(); ///< a port of the store for one entry VM
    std::uint16_t cloudPort();
    void putRow(const std::string &table, const std::string &key, const Json &value);
    void configure(const Json &next);

    // The minions.
    Machine &addMachine(const std::string &name, const std::string &pool, std::int64_t cpu,
                        const std::string &rack, const std::string &kind = "a");
    Machine &machine(const std::string &name);
    /// Orders about the machine that the platform has received.
    std::size_t orderCount(const std::string &name);
    void cutMinion(const std::string &name, bool isCut);
    /// The minion crashes and starts again under its id after a while.
    void restartMinion(const std::string &name, std::int64_t downMs);
    /// The time of day of the machine jumps.
    void stepClock(const std::string &name, std::int64_t ms);
    /// The next call of this path to the minion is carried out this much later, by the incarnation
    /// that is there then, and gets no answer. "/hold+ack" is a hold that acknowledges ends.
    void delayNext(const std::string &name, const std::string &path, std::int64_t ms);
    /// Calls of this path that are still to be delayed.
    bool isDelayPending(const std::string &name, const std::string &path);

    // Clients.
    void sent(const std::string &id, SentJob job);
    void accepted(const std::string &id);
    void cancelled(const std::string &id);
    /// How long the tasks of the job run, and how they end; by default 500 ms and done.
    struct Outcome
    {
        std::int64_t ms = 500;
        std::string how = "done";
    };
    std::function<Outcome(const std::string &task, std::int64_t run, const std::string &machine)>
        outcomeOf;
    std::size_t runningTasks(const std::string &job);
    /// A machine on which a task of the job runs; empty if there is none.
    std::string machineOf(const std::string &job);
    /// All tasks of the job have ended done.
    bool isDone(const std::string &job);

    /// No disruption was near: ends as alone break a rule.
    bool isCalm = true;
    /// Caps of tenants in thousandths of a core.
    std::map<std::string, std::int64_t> caps;
    /// Machines of one service can't be moved to another.
    bool arePoolsApart = false;
    /// Services whose minions start whatever they are told to.
    std::set<std::string> unguarded;
    /// Whether the holder of an order is in touch; asked for the rule on holders.
    std::function<bool(const std::string &holder, std::int64_t at)> isInTouch;

private:
    HttpResponse callStore(const HttpRequest &request);
    HttpResponse transact(const Json &body);
    HttpResponse readRows(const HttpRequest &request);
    HttpResponse listParts(const HttpRequest &request);
    HttpResponse feed(const HttpRequest &request);
    HttpResponse callCloud(const HttpRequest &request);
    HttpResponse callMinion(const std::string &name, const HttpRequest &request);
    HttpResponse start(Machine &machine, const Json &body);
    HttpResponse stop(Machine &machine, const Json &body);
    HttpResponse hold(std::unique_lock<std::mutex> &lock, const std::string &name,
                      const std::string &id, const Json &body);
    Json rowJson(const std::string &table, const std::string &part, const std::string &key,
                 const Row &row) const;
    void write(const std::string &table, const std::string &part, const std::string &key,
               const std::string &base64, bool isDeleted);
    void publish(Machine &machine);
    void unpublish(const std::string &id);
    void beginMinion(Machine &machine, bool isNewId);
    void endMinion(Machine &machine);
    void tick();
    void tickMachine(Machine &machine, std::int64_t now);
    void endRun(Machine &machine, const RunRow &run, const std::string &how);
    void startGangs();
    void checkStart(const Machine &machine, const std::string &task, std::int64_t run,
                    const std::string &spec);
    void checkOrder(Machine &machine, const std::string &holder, std::int64_t fence,
                    const std::string &what);
    const Json *stepOf(const std::string &task) const;
    Need needOf(const std::string &task) const;
    std::int64_t clockOf(const Machine &machine) const;
    Json stamped(const Machine &machine, Json body) const;

    mutable std::mutex mutex;
    mutable std::mutex recordMutex; // of `out` and `broke`
    std::condition_variable changed;
    Bounds bounds;
    std::ofstream out;
    std::map<std::string, std::size_t> broke; // by rule

    struct RowKey
    {
        std::string table, part, key;
        auto operator<=>(const RowKey &) const = default;
    };
    std::map<RowKey, Row> rows;
    std::map<std::int64_t, std::vector<RowKey>> history;
    std::int64_t lastVersion = 0;
    Json configuration;

    std::map<std::string, std::unique_ptr<Machine>> machines;
    std::size_t ids = 0;

    std::map<std::string, SentJob> jobs;
    struct TaskRecord
    {
        std::set<std::pair<std::string, std::int64_t>> running;
        bool isDone = false;
        std::set<std::pair<std::string, std::int64_t>> doneRuns;
        std::set<std::pair<std::string, std::int64_t>> acknowledged; // of the runs that are done
        std::size_t failedAcknowledged = 0;
        std::vector<std::set<std::pair<std::string, std::int64_t>>> doneBefore; // of each start
    };
    std::map<std::string, TaskRecord> tasks;
};

/// An entry VM: a process of the project.
class EntryVm
{
public:
    EntryVm(World &world, std::string program, std::string folder, std::string name,
            std::uint16_t cloudPort, double cores, const Bounds &bounds,
            const std::vector<std::string> &contracts);
    ~EntryVm();

    void start();
    void kill(); ///< SIGKILL
    void terminate(); ///< SIGTERM; does not wait
    bool isRunning();
    bool isReady() const;
    bool waitReady(std::int64_t timeoutMs) const;
    /// The log holds a line that begins this way, as of the present process.
    std::size_t countLog(const std::string &text) const;

    const std::string name;
    std::uint16_t callers = 0;
    std::uint16_t storePort = 0;
    std::optional<std::int64_t> disturbedAt; ///< last start, signal or cut

private:
    World &world;
    std::string program;
    std::string folder;
    std::uint16_t readiness = 0;
    std::uint16_t peer = 0;
    pid_t process = -1;
};

/// A client's calls. Each returns the status; 0 without an answer.
struct Client
{
    World &world;
    std::string key = ""; ///< of the tenant

    int submit(EntryVm &entry, const std::string &prefix, const std::string &id, const SentJob &job,
               int timeoutMs = 3000);
    int cancel(EntryVm &entry, const std::string &prefix, const std::string &id,
               int timeoutMs = 3000);
    /// The state; empty without one.
    std::string state(EntryVm &entry, const std::string &prefix, const std::string &id,
                      int timeoutMs = 3000);
};

/// A job's step.
Json step(std::int64_t count, std::int64_t cpu, std::int64_t estimateMs = 500);

} // namespace review
