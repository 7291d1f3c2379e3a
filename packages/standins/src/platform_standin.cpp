// Handlers of the platform stand-in.
#include <sassafrasferry/standins/platform_standin.h>

#include <boost/asio/steady_timer.hpp>

namespace sassafrasferry::standins {

namespace {

namespace asio = boost::asio;
using http::Json;
using http::Status;
using http::Verb;
using store::CommitState;
using store::ScanRange;

const std::string objectsPath = "/v1/objects/";
const std::string vmsPath = "/v1/vms/";

http::Response rowsResponse(const std::vector<store::Row> &rows)
{
    auto list = Json::array();
    for (const auto &row : rows)
        list.push_back(store::toJson(row));
    return http::jsonResponse(Status::ok, {{"rows", std::move(list)}});
}

} // namespace

PlatformStandin::PlatformStandin(asio::any_io_executor executor, PlatformOptions options)
    : executor(std::move(executor))
    , options(options)
{}

Awaitable<void> PlatformStandin::waitUntil(Clock::time_point at)
{
    asio::steady_timer timer(this->executor, at);
    co_await timer.async_wait(asio::use_awaitable);
}

Awaitable<void> PlatformStandin::throttle(RateLimit &limit, double perSecond)
{
    const auto step =
        std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1.0 / perSecond));
    const auto at = std::max(Clock::now(), limit.next);
    limit.next = at + step;
    if (at > Clock::now())
        co_await this->waitUntil(at);
    if (this->faultDelay.count() > 0)
        co_await this->waitUntil(Clock::now() + this->faultDelay);
}

Awaitable<http::Response> PlatformStandin::handle(http::Request request)
{
    const std::string target(request.target());
    if (target == "/standin/faults")
        co_return this->setFaults(request);
    if (target == "/standin/vms")
        co_return this->setVmState(request);
    if (this->tables.faults.down)
        co_return http::textResponse(Status::service_unavailable, "down\n");
    try {
        if (target == "/v1/transactions") {
            co_await this->throttle(this->writes, this->options.writesPerSecond);
            auto response = co_await this->transact(std::move(request));
            co_return response;
        }
        co_await this->throttle(this->reads, this->options.readsPerSecond);
        if (target == "/v1/reads")
            co_return this->read(request);
        if (target == "/v1/scans")
            co_return this->scan(request);
        if (target == "/v1/vms?state=leaving")
            co_return this->listLeavingVms();
        if (target.rfind(vmsPath, 0) == 0)
            co_return this->handleVm(target.substr(vmsPath.size()), request);
        if (target.rfind(objectsPath, 0) == 0)
            co_return this->handleObject(target.substr(objectsPath.size()), request);
    } catch (const Json::exception &error) {
        co_return http::textResponse(Status::bad_request, error.what());
    }
    co_return http::textResponse(Status::not_found, "no such page\n");
}

Awaitable<http::Response> PlatformStandin::transact(http::Request request)
{
    const auto commit =
        co_await this->tables.commit(store::transactionFrom(Json::parse(request.body())));
    switch (commit.state) {
    case CommitState::Committed:
        co_return http::jsonResponse(Status::ok, {{"version", commit.version}});
    case CommitState::Conflict:
        co_return http::jsonResponse(Status::conflict, {{"failed", commit.failed}});
    case CommitState::NotApplied:
    case CommitState::Rejected:
        co_return http::textResponse(Status::service_unavailable, "down\n");
    case CommitState::Unknown:
        break;
    }
    co_return http::textResponse(Status::gateway_timeout, "no answer\n");
}

http::Response PlatformStandin::read(const http::Request &request)
{
    std::vector<store::RowKey> keys;
    const auto body = Json::parse(request.body());
    for (const auto &key : body.at("keys"))
        keys.push_back(store::rowKeyFrom(key));
    return rowsResponse(this->tables.readNow(keys));
}

http::Response PlatformStandin::scan(const http::Request &request)
{
    const auto body = Json::parse(request.body());
    return rowsResponse(this->tables.scanNow(
        {body.at("table"), body.at("after"), body.value("limit", ScanRange::everything)}));
}

http::Response PlatformStandin::handleObject(const std::string &name, const http::Request &request)
{
    if (request.method() == Verb::put) {
        this->storedObjects[name] = request.body();
        return http::textResponse(Status::ok, "");
    }
    if (request.method() == Verb::delete_) {
        this->storedObjects.erase(name);
        return http::textResponse(Status::ok, "");
    }
    const auto at = this->storedObjects.find(name);
    if (at == this->storedObjects.end())
        return http::textResponse(Status::not_found, "");
    return http::textResponse(Status::ok, at->second);
}

http::Response PlatformStandin::listLeavingVms()
{
    while (!this->listChanges.empty() && this->listChanges.front().visibleAt <= Clock::now()) {
        const auto &change = this->listChanges.front();
        if (change.isLeaving)
            this->leavingVms.insert(change.vm);
        else
            this->leavingVms.erase(change.vm);
        this->listChanges.pop_front();
    }
    return http::jsonResponse(Status::ok, {{"leaving", this->leavingVms}});
}

void PlatformStandin::advancePhase(ManagedVm &vm) const
{
    if (Clock::now() < vm.phaseEnd)
        return;
    if (vm.report.phase == fleet::VmPhase::Draining)
        vm.report.phase = fleet::VmPhase::Empty;
    if (vm.report.phase == fleet::VmPhase::Maintaining) {
        vm.report.phase = fleet::VmPhase::Serving;
        vm.report.maintainedOrder = vm.maintenanceOrder;
        vm.report.isFailing = vm.failsAfterMaintenance;
        ++vm.maintenanceCount;
    }
}

// A drain or maintain order must be newer than the last accepted one of its kind, and a resume
// order must carry the number of the last drain. Maintain and resume need an empty VM. Other orders
// are ignored.
void PlatformStandin::applyOrder(ManagedVm &vm, const std::string &what, std::int64_t number)
{
    if (what == "drain" && number > vm.report.drainedOrder) {
        vm.report.drainedOrder = number;
        vm.report.phase = fleet::VmPhase::Draining;
        vm.phaseEnd = Clock::now() + this->options.drainTime;
    }
    const bool isEmpty = vm.report.phase == fleet::VmPhase::Empty;
    if (what == "maintain" && number > vm.maintenanceOrder && isEmpty) {
        vm.maintenanceOrder = number;
        vm.report.phase = fleet::VmPhase::Maintaining;
        vm.phaseEnd = Clock::now() + this->options.maintenanceTime;
    }
    if (what == "resume" && number == vm.report.drainedOrder && isEmpty)
        vm.report.phase = fleet::VmPhase::Serving;
}

http::Response PlatformStandin::handleVm(const std::string &path, const http::Request &request)
{
    const auto slash = path.find('/');
    auto &vm = this->vms[path.substr(0, slash)];
    this->advancePhase(vm);
    if (slash != std::string::npos)
        this->applyOrder(vm, path.substr(slash + 1),
                         Json::parse(request.body()).at("order").get<std::int64_t>());
    return http::jsonResponse(Status::ok, {{"phase", std::string(model::nameOf(vm.report.phase))},
                                           {"drainedOrder", vm.report.drainedOrder},
                                           {"maintainedOrder", vm.report.maintainedOrder},
                                           {"failing", vm.report.isFailing},
                                           {"maintained", vm.maintenanceCount}});
}

http::Response PlatformStandin::setFaults(const http::Request &request)
{
    const auto body = http::parseJson(request.body());
    if (!body.is_object())
        return http::textResponse(Status::bad_request, "the body is not a JSON object\n");
    auto &faults = this->tables.faults;
    faults.down = body.value("down", false);
    faults.lostAnswers = body.value("lostAnswers", std::size_t{0});
    faults.lostCalls = body.value("lostCalls", std::size_t{0});
    this->faultDelay = std::chrono::milliseconds(body.value("delayMs", 0));
    return http::textResponse(Status::ok, "");
}

http::Response PlatformStandin::setVmState(const http::Request &request)
{
    const auto body = http::parseJson(request.body());
    if (!body.is_object() || !body.contains("vm"))
        return http::textResponse(Status::bad_request, "the body has no field vm\n");
    if (body.contains("failing")) {
        auto &vm = this->vms[body["vm"].get<std::string>()];
        vm.failsAfterMaintenance = body["failing"].get<bool>();
        vm.report.isFailing = vm.report.isFailing && vm.failsAfterMaintenance;
        return http::textResponse(Status::ok, "");
    }
    this->listChanges.push_back({Clock::now() + this->options.listLag,
                                 body["vm"].get<std::string>(), body.value("leaving", true)});
    return http::textResponse(Status::ok, "");
}

} // namespace sassafrasferry::standins
