// Divides a worker's slots among the live entry VMs, with no message between them: each computes
// the same division from the same view of who is live.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasferry::policy {

/// Entry VMs that share one worker at the most. At 60 entry VMs and 64 connections a worker, each
/// entry VM would otherwise have a single connection to every worker.
constexpr std::size_t mostSharers = 7;

/// What one entry VM may use of one worker.
struct Share
{
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

/// What divides: the worker, its place in its pool, and its limits.
struct Divisible
{
    std::string worker;
    std::size_t ordinal = 0; ///< place within its pool; rotates who gets the remainder
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
};

/// The part of the one with that rank, from 0, if a whole is divided into parts that differ by one
/// at the most. The parts sum to the whole.
std::uint32_t partOf(std::uint32_t whole, std::size_t parts, std::size_t rank);

/// The entry VMs that share a worker: the `mostSharers` highest by rendezvous hashing, by name.
std::vector<std::string> sharersOf(const std::string &worker,
                                   const std::vector<std::string> &liveEntries);

/// The share of `entry`. Over all sharers the shares sum to exactly the worker's slots.
Share shareOf(const Divisible &worker, const std::string &entry,
              const std::vector<std::string> &liveEntries);

} // namespace sassafrasferry::policy
