// Tests what a leader does with a VM about which an earlier leader sent an order that was not
// answered. The leaders compete for the lease row of one store.
#include <sassafrasferry/coordination/leader.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/feed_store.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

constexpr const char *vmName = "vm-1";
constexpr const char *firstWorker = "w-1";
constexpr const char *nextWorker = "w-2";
constexpr Duration patience = 60s; // for what has to happen eventually

/// The VM, its present worker, and the platform's orders about the VM.
struct OneVm
{
    std::string worker = firstWorker;
    std::vector<scheduling::ListedRun> running;
    std::vector<std::string> starts; ///< worker of each start
    std::size_t orders = 0; ///< received by the platform
    bool answersOrders = false; ///< otherwise orders stay unanswered
};

/// A leader's client of one worker.
struct VmWorkerCalls
{
    static inline OneVm *vm = nullptr;

    VmWorkerCalls(http::asio::any_io_executor, std::string id, const model::Endpoint &)
        : id(std::move(id))
    {}

    Awaitable<HoldAnswer> hold(HoldRequest)
    {
        co_await pause(10ms);
        HoldAnswer answer;
        if (this->vm->worker != this->id)
            co_return answer;
        answer.answer = scheduling::OrderAnswer::Accepted;
        answer.report = {
            this->id, bornOf(this->id), bootNow().time_since_epoch() / 1ms, this->vm->running, {}};
        co_return answer;
    }

    Awaitable<scheduling::OrderReply> start(const scheduling::StartOrder &order, std::int64_t,
                                            std::int64_t)
    {
        this->vm->starts.push_back(this->id);
        this->vm->running.push_back({order.task, order.run, "", 100, 0});
        co_return scheduling::OrderReply{scheduling::OrderAnswer::Accepted, {}};
    }

    Awaitable<scheduling::OrderReply> stop(const scheduling::StopOrder &, std::int64_t)
    {
        co_return scheduling::OrderReply{scheduling::OrderAnswer::Accepted, {}};
    }

    Awaitable<scheduling::OrderAnswer> pace(const scheduling::PaceOrder &, std::int64_t)
    {
        co_return scheduling::OrderAnswer::Accepted;
    }

    static std::int64_t bornOf(const std::string &worker)
    {
        return worker == firstWorker ? 100 : 200;
    }

    std::string id;
};

struct OneVmCloud
{
    OneVm &vm;

    Awaitable<absl::StatusOr<std::vector<scheduling::Vm>>> list()
    {
        co_return std::vector<scheduling::Vm>{
            {vmName, "s", scheduling::VmState::Up, "a", "r", {4000, 1000, 0}, this->vm.worker}};
    }

    Awaitable<scheduling::FleetAnswer> sendOrder(scheduling::FleetOrder, std::int64_t)
    {
        ++this->vm.orders;
        while (!this->vm.answersOrders)
            co_await pause(5ms);
        co_return scheduling::FleetAnswer::Accepted;
    }
};

struct TestPlatform
{
    using Store = FeedStore;
    using Worker = VmWorkerCalls;
    using Cloud = OneVmCloud;

    static std::string workerTable()
    {
        return "workers";
    }

    static absl::StatusOr<scheduling::WorkerListing> decodeListing(const std::string &id,
                                                                   const std::string &)
    {
        scheduling::WorkerListing listing;
        listing.id = id;
        listing.born = VmWorkerCalls::bornOf(id);
        listing.vm = vmName;
        listing.service = "s";
        listing.capacity = {4000, 1000, 0};
        return listing;
    }

    static WaveStatusRow waveStatus(std::int64_t, bool)
    {
        return {"status", "wave", ""};
    }
};

/// One process of an entry VM, with an event loop of its own: it is lost when the loop stops.
class EntryProcess
{
public:
    EntryProcess(FeedStore &store, OneVm &vm, const std::string &name, std::int64_t incarnation)
        : store(store)
        , cloud{vm}
        , leadership(store, name, {"127.0.0.1", 1}, incarnation,
                     {[this](const Tenure &tenure) { this->lead(tenure); },
                      [this](const std::string &) { this->dropLeader(); },
                      [this] {
                          return this->leader ? this->leader->orderedVms()
                                              : std::vector<std::string>{};
                      },
                      [this] {
                          return this->leader ? this->leader->openVmOrders()
                                              : std::vector<scheduling::OpenVmOrder>{};
                      }},
                     leadershipTimes())
    {
        spawn(this->context.get_executor(), "leadership",
              [this] { return this->leadership.run(); });
    }

    ~EntryProcess()
    {
        this->dropLeader();
        this->context.run_for(50ms);
    }

    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Runs until the condition holds. False if that takes too long.
    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto latest = bootNow() + patience;
        while (!condition() && bootNow() < latest)
            this->context.run_one();
        return condition();
    }

    bool isLeader() const
    {
        return this->leader != nullptr;
    }

    void maintainVm()
    {
        this->leader->addWave({1, {vmName}, 20s, 1});
    }

private:
    static LeadershipTimes leadershipTimes()
    {
        LeadershipTimes times;
        times.renew = 50ms;
        times.term = 200ms;
        return times;
    }

    void lead(const Tenure &tenure)
    {
        Leader<TestPlatform>::Options options;
        options.sinceConfirmed = [this] {
            return this->leadership.sinceConfirmed();
        };
        options.confirmations = [this]() -> const ReadIndex & {
            return this->leadership.confirmations();
        };
        options.leadership = LeadershipTimes{};
        options.handOverDelay = 300ms;
        options.announce = [this](std::vector<std::string> vms) {
            return this->leadership.announce(std::move(vms));
        };
        options.onDeposed = [this](const std::string &why) {
            this->leadership.deposed(why);
        };
        options.onFailed = options.onDeposed;
        this->leader = std::make_shared<Leader<TestPlatform>>(
            this->context.get_executor(), this->store, this->cloud, tenure, std::move(options),
            scheduling::Configuration{});
        this->leader->begin();
    }

    void dropLeader()
    {
        if (this->leader)
            this->leader->stop();
        this->leader.reset();
    }

    http::asio::io_context context;
    FeedStore &store;
    OneVmCloud cloud;
    Leadership<FeedStore> leadership;
    std::shared_ptr<Leader<TestPlatform>> leader; // null unless the lease is held
};

void commit(FeedStore &store, store::PartTransaction transaction)
{
    http::asio::io_context context;
    spawn(context.get_executor(), "commit",
          [&]() -> Awaitable<void> { co_await store.commit(transaction); });
    context.run();
}

void putWorker(FeedStore &store, const std::string &worker)
{
    commit(store, {"", {}, {{TestPlatform::workerTable(), worker, ""}}, {}});
}

void putJob(FeedStore &store)
{
    jobs::StepSpec step;
    step.count = 1;
    step.need = {1000, 100, 0};
    step.estimate = 1s;
    jobs::QueueTerms terms;
    terms.queue = "q";
    terms.service = "s";
    auto record = recordOf({"text", {step}, 0, 0, 0ms}, terms);
    record.set_accepted_milliseconds(http::unixNow());
    commit(
        store,
        {JobParts().partOf("job"), {}, {{table::intake, "job", record.SerializeAsString()}}, {}});
}

struct Case
{
    const char *name;
    std::vector<std::string> successors; ///< entry VMs that lead in turn; only the last stays
};

} // namespace

// Guards against tasks that lose an attempt and their work, and services that lose replicas: a
// leader is lost before its order about a VM is executed, and a later leader gives the VM work.
TEST_CASE("A VM gets no work while the order of an earlier leader may be executed")
{
    const auto row = GENERATE(Case{"another entry VM", {"second"}},
                              Case{"the same entry VM, restarted", {"first"}},
                              Case{"the second next leader", {"second", "third"}},
                              Case{"the same entry VM, restarted twice", {"first", "first"}});
    CAPTURE(row.name);
    OneVm vm;
    VmWorkerCalls::vm = &vm;
    FeedStore store;
    putWorker(store, firstWorker);
    std::vector<std::unique_ptr<EntryProcess>> processes;
    processes.push_back(std::make_unique<EntryProcess>(store, vm, "first", 1));
    REQUIRE(processes.back()->runUntil([&] { return processes.back()->isLeader(); }));
    processes.back()->maintainVm();
    REQUIRE(processes.back()->runUntil([&] { return vm.orders == 1; }));
    putJob(store);
    for (const auto &name : row.successors) {
        const auto incarnation = static_cast<std::int64_t>(processes.size()) + 1;
        processes.push_back(std::make_unique<EntryProcess>(store, vm, name, incarnation));
        REQUIRE(processes.back()->runUntil([&] { return processes.back()->isLeader(); }));
    }
    auto &successor = *processes.back();
    const bool isRepeated =
        successor.runUntil([&] { return vm.orders == 2 || !vm.starts.empty(); });
    CHECK(isRepeated);
    CHECK(vm.starts == std::vector<std::string>{});

    vm.worker = nextWorker;
    vm.running.clear();
    vm.starts.clear();
    vm.answersOrders = true;
    putWorker(store, nextWorker);
    CHECK(successor.runUntil([&] { return !vm.starts.empty(); }));
    CHECK(vm.starts == std::vector<std::string>{nextWorker});
}
