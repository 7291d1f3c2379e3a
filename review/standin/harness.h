// What the cases share: the platform on free ports, entry VMs as processes, clients, and the check
// for accepted work that stands still.
#pragma once

#include "world.h"

#include <random>

namespace review {

struct Options
{
    std::string folder; ///< of the case, for `record.txt`
    std::string program; ///< of the deploy file
    bool trouble = true;
    bool isBrothline =
        false; ///< bounds and machines of `brothline-atl`; else of `bramblewick-prod`
};

class Harness
{
public:
    Harness(Options options, std::size_t entryCount, std::size_t minionCount);
    ~Harness();

    /// Runs the case to its end; returns its exit code.
    int run(std::function<Awaitable<int>()> body);
    /// Starts the entry VMs and waits until clients are answered.
    Awaitable<bool> begin();
    /// Hands the job in as a client does: what gets no answer, 502 or 504 is sent again with the
    /// same ID, at another entry VM; so is what was refused, four times at most.
    Awaitable<void> submit(std::string id);
    /// Asks for the job's state at any entry VM until it is told; at most five times.
    Awaitable<void> ask(std::string id);
    /// Sends one request about the job to one entry VM.
    Awaitable<Answer> callEntry(std::size_t entry, beast::http::verb verb, std::string id,
                                std::string body = {});
    /// Writes the settings file of each entry VM anew, with this rate of the store.
    void changeSettings(int storeWritesPerSecond);
    Job &newJob(std::vector<Step> steps, const std::string &name = {});
    /// Number of the entry VM that leads, by its log; -1: none.
    int leader() const;

    Options options;
    asio::io_context context{1};
    Record record;
    Store store{record};
    Ledger ledger{record};
    std::vector<std::unique_ptr<Minion>> minions;
    std::vector<std::unique_ptr<Daemon>> entries;
    std::mt19937_64 random{20261205};

private:
    Answer callCloud(const Request &request);
    Awaitable<void> maintain(Minion *minion);
    Awaitable<void> heartbeats();
    Awaitable<void> ticks();
    void checkIdle();
    std::uint16_t entryPort(std::size_t entry) const;
    std::string settings(std::size_t entry) const;
    std::string settingsFile(std::size_t entry) const;

    std::uint16_t base = 0;
    std::size_t turn = 0;
    std::string work; ///< a temporary folder
    int writesPerSecond = 600;
    Bounds bounds;
};

} // namespace review
