// Starts, signals and ends a process of the project.
#include "world.h"

#include <cerrno>
#include <csignal>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

EntryVm::EntryVm(World &world, std::string program, std::string folder, std::string name,
                 std::uint16_t cloudPort, double cores, const Bounds &bounds,
                 const std::vector<std::string> &contracts)
    : name(std::move(name))
    , world(world)
    , program(std::move(program))
    , folder(std::move(folder))
{
    this->storePort = world.addStorePort();
    this->callers = freePort();
    this->readiness = freePort();
    this->peer = freePort();
    const auto address = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    // As `deploy/settings.toml.template` fills in.
    std::ofstream settings(this->folder + "/" + this->name + ".toml");
    settings << "name = \"" << this->name << "\"\ndataCentre = \"here\"\n"
             << "callers = " << address(this->callers) << "readiness = " << address(this->readiness)
             << "peer = " << address(this->peer)
             << "orders = \"invoke\"\ncontracts = " << Json(contracts).dump()
             << "\nprocessorShare = " << cores << "\n"
             << "[store]\naddress = " << address(this->storePort)
             << "form = \"table\"\nrowBytes = 65536\nwritesPerSecond = 600\n"
             << "partWritesPerSecond = 200\n[cloud]\naddress = " << address(cloudPort)
             << "changesPerSecond = 64.0\n[scheduling]\nswitchedOff = []\n[bounds]\n"
             << "workerLeaseMs = " << bounds.holdMax << "\nstopGraceMs = " << bounds.stopGrace
             << "\nhandOverDelayMs = " << bounds.lease << "\nnoticeMs = " << bounds.notice
             << "\nimpactMs = " << bounds.impact << "\nremoteFactor = 1.5\n"
             << "configurationDelayMs = " << bounds.configApply
             << "\nstatusSeconds = 120\nstopSeconds = 6\n";
}

EntryVm::~EntryVm()
{
    if (this->process < 0)
        return;
    ::kill(this->process, SIGCONT);
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
}

void EntryVm::start()
{
    const auto settings = this->folder + "/" + this->name + ".toml";
    const auto log = this->folder + "/" + this->name + ".log";
    this->disturbedAt = nowMs();
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::execl(this->program.c_str(), this->program.c_str(), "--settings", settings.c_str(),
                nullptr);
        ::_exit(127);
    }
    this->world.record("process " + this->name + " starts");
}

void EntryVm::kill()
{
    this->disturbedAt = nowMs();
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
    this->process = -1;
    this->world.record("process " + this->name + " is killed");
}

void EntryVm::terminate()
{
    this->disturbedAt = nowMs();
    ::kill(this->process, SIGTERM);
    this->world.record("process " + this->name + " gets SIGTERM");
}

bool EntryVm::isRunning()
{
    if (this->process < 0)
        return false;
    if (::waitpid(this->process, nullptr, WNOHANG) == 0)
        return true;
    this->process = -1;
    return false;
}

bool EntryVm::isReady() const
{
    const auto answer = callHttp(this->readiness, "GET", "/readyz", "", 500);
    return answer && answer->status == 200;
}

bool EntryVm::waitReady(std::int64_t timeoutMs) const
{
    const auto until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        if (this->isReady())
            return true;
        sleepMs(20);
    }
    std::ifstream log(this->folder + "/" + this->name + ".log");
    std::string last;
    for (std::string line; std::getline(log, line);)
        last = line;
    this->world.record("process " + this->name + " is not ready, its last line: " + last);
    return false;
}

std::size_t EntryVm::countLog(const std::string &text) const
{
    std::ifstream log(this->folder + "/" + this->name + ".log");
    std::stringstream content;
    content << log.rdbuf();
    const auto all = content.str();
    std::size_t count = 0;
    for (auto at = all.find(text); at != std::string::npos; at = all.find(text, at + 1))
        ++count;
    return count;
}

} // namespace review
