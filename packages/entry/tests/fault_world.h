// Simulated environment for requests on a virtual clock: a store, an object store and workers with
// injectable faults, and entry VMs that a test can kill, suspend or isolate at any step.
#pragma once

#include "../src/request/idempotent_flow.h"
#include "../src/request/keyed_flow.h"

#include <sassafrasferry/fakes/memory_tables.h>
#include <sassafrasferry/fakes/run.h>

#include <functional>
#include <map>
#include <set>

namespace sassafrasferry::entry {

/// Thrown at the step where an entry VM dies, so that nothing after it is executed.
struct Killed
{};

/// Mutations that disable one safeguard, to verify that the checks detect its absence.
enum class Mutation {
    None,
    WorkersStartLate, ///< workers ignore the start deadline
    ClaimsUnconditional, ///< the store ignores the expected version of a write
    ClaimsSkipped, ///< no claim is written
    BrokenMeansNotRun, ///< an incomplete answer is treated as "not sent"
    RestartsHidden, ///< a worker hides that it lost its runs in a restart
    StaleReads, ///< every read of a claim returns the first result
};

constexpr auto enumNames(Mutation)
{
    using model::EnumName;
    return std::array{EnumName{Mutation::None, "none"},
                      EnumName{Mutation::WorkersStartLate, "workers start late"},
                      EnumName{Mutation::ClaimsUnconditional, "claims unconditional"},
                      EnumName{Mutation::ClaimsSkipped, "claims skipped"},
                      EnumName{Mutation::BrokenMeansNotRun, "broken means not run"},
                      EnumName{Mutation::RestartsHidden, "restarts hidden"},
                      EnumName{Mutation::StaleReads, "stale reads"}};
}

/// One operation that a worker has run.
struct FakeRun
{
    std::string key;
    std::string body;
    int status = 200;
};

/// A worker with injectable faults.
struct FakeWorker
{
    std::map<std::string, FakeRun> remembered; // by operation ID; lost on a restart
    policy::UnixMilliseconds startedAt = 0;
    bool isDown = false;
    bool breaksAnswers = false;
    bool isSilent = false;
    bool fails = false;
    bool refuses = false;
    bool isLeaving = false;
    bool isPreemptedOnce = false; // its first run is preempted by an urgent request
};

/// State outside the entry VMs: store, object store, workers and clock.
struct World
{
    fakes::MemoryTables tables;
    std::map<std::string, std::string> objects;
    bool objectsDown = false;
    std::map<std::string, FakeWorker> workers{{"w1", {}}, {"w2", {}}, {"w3", {}}};
    std::map<std::string, int> startsByKey; // ground truth: runs started on any worker
    std::set<std::string> startedOperations;
    policy::Instant now{};
    policy::UnixMilliseconds unixNow = 1000000;
    std::set<std::string> deadEntries; // considered dead by the other entry VMs
    std::size_t answerBytes = 8;
    Mutation mutation = Mutation::None;
    std::uint64_t lastId = 0;

    void advance(policy::Duration duration)
    {
        this->now += duration;
        this->unixNow += std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }
};

/// A simulated entry VM. Implements `RequestEnvironment`.
class FakeEntry
{
public:
    using Hook = std::function<void(RequestStep)>;

    FakeEntry(World &world, std::string name)
        : world(world)
        , name(std::move(name))
    {}

    Hook hook; ///< called at each step; may throw `Killed`
    std::set<RequestStep> reachedSteps;
    int slotsHeld = 0;
    std::vector<store::VersionedClaim> followUpClaims; ///< claims to be settled in the background
    std::vector<ClaimFollowUp> scheduledFollowUps;

    policy::Instant now() const
    {
        return this->world.now;
    }

    policy::UnixMilliseconds unixNow() const
    {
        return this->world.unixNow;
    }

    Awaitable<void> pause(policy::Duration duration)
    {
        this->world.advance(duration);
        co_return;
    }

    std::string entryName() const
    {
        return this->name;
    }

    std::uint64_t incarnation() const
    {
        return 1;
    }

    std::string newOperationId()
    {
        return this->name + "." + std::to_string(++this->world.lastId);
    }

    void reached(const CallerRequest &, RequestStep step)
    {
        this->reachedSteps.insert(step);
        if (this->hook)
            this->hook(step);
    }

    Awaitable<SlotResult> slot(policy::Submission submission, Cancellation &cancellation)
    {
        if (cancellation.requested())
            co_return SlotCancelled{};
        for (const auto &[worker, state] : this->world.workers) {
            const auto &avoid = submission.avoid;
            if (std::find(avoid.begin(), avoid.end(), worker) != avoid.end())
                continue;
            ++this->slotsHeld;
            policy::Grant grant;
            grant.worker = static_cast<policy::Index>(worker.back() - '1');
            grant.workerName = worker;
            grant.rack = worker;
            grant.address = {"127.0.0.1", static_cast<std::uint16_t>(worker.back() - '0')};
            co_return grant;
        }
        co_return policy::Refusal{{}, policy::RefusalReason::NoWorkers, std::chrono::seconds(1)};
    }

    void finish(const policy::RunReport &)
    {
        --this->slotsHeld;
    }

    bool jobFailed(policy::JobFingerprint, policy::Index)
    {
        return ++this->jobFailures >= 3;
    }

    bool takeRetry(const std::string &)
    {
        return true;
    }

    policy::Duration retryAfter(const std::string &)
    {
        return std::chrono::seconds(1);
    }

    Awaitable<SendResult> send(const policy::Grant &grant, const CallerRequest &request,
                               SendOptions options, Cancellation &)
    {
        auto &worker = this->world.workers.at(grant.workerName);
        SendResult result;
        if (worker.isDown) {
            result.state = SendState::Unreachable;
            co_return result;
        }
        const bool isLate = options.startDeadline != 0
                            && this->world.unixNow > options.startDeadline
                            && this->world.mutation != Mutation::WorkersStartLate;
        if (worker.isLeaving || worker.refuses || isLate) {
            result.state = worker.isLeaving ? SendState::Leaving : SendState::Refused;
            co_return result;
        }
        auto &run = worker.remembered[options.operationId];
        run.key = scopedKey(request);
        run.status = worker.fails ? 500 : 200;
        run.body = options.operationId + std::string(this->world.answerBytes, '.');
        ++this->world.startsByKey[run.key];
        this->world.startedOperations.insert(options.operationId);
        if (std::exchange(worker.isPreemptedOnce, false)) {
            result.state = SendState::Preempted;
            co_return result;
        }
        if (worker.breaksAnswers || worker.isSilent) {
            if (worker.isSilent)
                this->world.advance(options.timeout);
            result.state = this->world.mutation == Mutation::BrokenMeansNotRun
                               ? SendState::Unreachable
                               : SendState::Broken;
            co_return result;
        }
        result.state = SendState::Answered;
        result.answer.status = run.status;
        result.answer.body = run.body;
        co_return result;
    }

    Awaitable<policy::WorkerWord> queryWorker(std::string address, std::string operationId)
    {
        const auto &worker = this->world.workers.at("w" + address.substr(address.size() - 1));
        policy::WorkerWord word;
        if (worker.isDown)
            co_return word;
        if (this->world.mutation != Mutation::RestartsHidden)
            word.workerStartedAt = worker.startedAt;
        word.workerNow = this->world.unixNow;
        const auto at = worker.remembered.find(operationId);
        word.state =
            at == worker.remembered.end() ? policy::RunState::NeverSeen : policy::RunState::Done;
        if (word.state == policy::RunState::Done) {
            word.answer.status = at->second.status;
            word.answer.body = at->second.body;
        }
        co_return word;
    }

    Awaitable<absl::StatusOr<store::VersionedClaim>> readClaim(std::string key)
    {
        if (this->world.mutation == Mutation::StaleReads && this->firstRead)
            co_return *this->firstRead;
        const std::vector<store::RowKey> keys{store::claimKey(key)};
        const auto rows = co_await this->world.tables.read(keys);
        if (!rows.ok())
            co_return rows.status();
        store::Row row;
        row.key = keys.front();
        if (const auto *found = store::findRow(*rows, keys.front()))
            row = *found;
        this->firstRead = *store::claimFrom(row);
        co_return *this->firstRead;
    }

    Awaitable<store::WriteResult> writeClaim(policy::Claim claim, std::int64_t version)
    {
        store::WriteResult result;
        if (this->world.mutation == Mutation::ClaimsSkipped) {
            result.state = store::WriteState::Written;
            co_return result;
        }
        if (this->world.mutation == Mutation::ClaimsUnconditional)
            version = this->versionOf(claim.key);
        boost::asio::io_context context(1);
        // Writes without a response are retried for a few milliseconds of real time. Whether that
        // suffices affects the reason of an answer, but no property that is checked.
        store::RowBatcher<fakes::MemoryTables> batcher(context.get_executor(), this->world.tables,
                                                       {policy::WritePace(1e6, 1),
                                                        std::chrono::milliseconds(3),
                                                        std::chrono::milliseconds(1)});
        store::RowWrite write;
        write.key = store::claimKey(claim.key);
        write.expectedVersion = version;
        write.value = store::toJson(claim);
        write.writeId = this->newOperationId();
        result = fakes::run(context, batcher.write(write));
        co_return result;
    }

    Awaitable<absl::Status> putObject(std::string object, std::string body)
    {
        if (this->world.objectsDown)
            co_return absl::UnavailableError("down");
        this->world.objects[object] = std::move(body);
        co_return absl::OkStatus();
    }

    Awaitable<absl::StatusOr<std::string>> getObject(std::string object)
    {
        if (this->world.objectsDown)
            co_return absl::UnavailableError("down");
        co_return this->world.objects.at(object);
    }

    void setActive(const std::string &operationId, bool isActive)
    {
        if (isActive)
            this->active.insert(operationId);
        else
            this->active.erase(operationId);
    }

    bool isPossiblyActive(const policy::Claim &claim)
    {
        if (claim.entry == this->name)
            return this->active.contains(claim.operationId);
        return !this->world.deadEntries.contains(claim.entry);
    }

    void scheduleFollowUp(policy::Claim claim, std::int64_t version, ClaimFollowUp followUp)
    {
        store::VersionedClaim item;
        item.claim = std::move(claim);
        item.version = version;
        this->followUpClaims.push_back(std::move(item));
        this->scheduledFollowUps.push_back(followUp);
    }

private:
    std::int64_t versionOf(const std::string &key) const
    {
        const auto rows = this->world.tables.readNow({store::claimKey(key)});
        return rows.empty() ? store::absent : rows.front().version;
    }

    World &world;
    std::string name;
    std::set<std::string> active;
    int jobFailures = 0;
    std::optional<store::VersionedClaim> firstRead;
};

static_assert(RequestEnvironment<FakeEntry>);

/// A keyed request of the single simulated caller to the single simulated service.
inline CallerRequest keyedRequest(const World &world, policy::Duration timeout)
{
    CallerRequest request;
    request.id = "r";
    request.service = "invoice";
    request.method = "POST";
    request.target = "/invoice/new";
    request.callerId = "gardener";
    request.idempotencyKey = "k";
    request.fingerprint = "f";
    request.body = "one mowing";
    request.deadline = world.now + timeout;
    return request;
}

/// Serves a keyed request on an entry VM. Returns no answer if the entry VM was killed.
inline std::optional<CallerAnswer> serveKeyed(FakeEntry &entry, const CallerRequest &request,
                                              Cancellation &cancellation)
{
    boost::asio::io_context context(1);
    policy::ServiceSpec service;
    service.name = "invoice";
    service.idempotent = false;
    KeyedFlow<FakeEntry> flow(entry, request, service, cancellation);
    try {
        auto answer = fakes::run(context, flow.run());
        entry.reached(request, RequestStep::CallerAnswered);
        return answer;
    } catch (const Killed &) {
        return std::nullopt;
    }
}

} // namespace sassafrasferry::entry
