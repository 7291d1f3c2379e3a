// The document: teams, pools with their VMs, services and waves, merged from the sections that
// teams own. A parsed document is a value; a revision of it never changes.
#pragma once

#include <sassafrasferry/model/finding.h>
#include <sassafrasferry/model/settings.h>
#include <sassafrasferry/model/vocabulary.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasferry::model {

/// The text of one section, as its owner wrote it.
struct SectionText
{
    std::string name;
    std::string text;
    std::int64_t revision = 0; ///< document revision that last changed it
};

/// A team, its token's SHA-256 in hexadecimal, and its quota of processors (0: none set).
struct Team
{
    std::string name;
    std::string tokenHash;
    std::int64_t processors = 0;
};

/// A VM that runs work. Its name is unique in the document, and so is its address.
struct Vm
{
    std::string name;
    Endpoint address;
    std::string dataCentre;
    std::string rack;
    std::int64_t slots = 8; ///< requests it runs at once
    std::int64_t connections = 64; ///< connections it accepts
    std::int64_t processors = 0;
    std::int64_t memoryGib = 0;
    std::int64_t accelerators = 0;
};

/// Processors that one request holds on a VM: its part of them by slots, rounded up. A VM that
/// names no processors counts one a slot.
std::int64_t slotProcessors(const Vm &vm);

/// A pool of VMs. Spare pools take overflow from other pools' services.
struct Pool
{
    std::string name;
    std::string section;
    bool spare = false;
    std::vector<Vm> vms;
};

/// A service: where it runs and what it promises.
struct Service
{
    std::string name;
    std::string section;
    std::string pool;
    std::string overflow; ///< a spare pool, or empty
    bool idempotent = true;
    RequestClass requestClass = RequestClass::Normal;
    std::chrono::milliseconds deadline{10000}; ///< default for requests that name none
    std::chrono::milliseconds runTime{100}; ///< declared; observed run times replace it
    double availability = 0.75; ///< share of the pool's VMs that must stay in service
    bool startRefusal = true; ///< its workers refuse to start after the start deadline
};

/// A maintenance wave over pools.
struct Wave
{
    std::string name;
    std::string section;
    std::vector<std::string> pools;
    std::chrono::milliseconds maintenance{60000}; ///< a VM's time from empty to serving
    std::int64_t haltAfter = 2; ///< VMs that may come back failing before the wave halts
};

/// What a deployment pays for: of an hour of roll-out, of an hour that a borrowed VM is held, of a
/// move of a VM.
struct FleetWeights
{
    double rollOutHour = 1;
    double bufferHour = 1;
    double move = 0.1;
};

/// When VMs of spare pools are lent to the pools whose services overflow there. A document without
/// this lends none.
struct Lending
{
    std::string section;
    FleetWeights weights; ///< choose how many to borrow for a wave
    MovePolicy demand = MovePolicy::Outlasting; ///< loans for demand
    std::chrono::milliseconds move{60000}; ///< from the decision to serving in the other pool
    std::chrono::milliseconds steady{10000}; ///< demand must have held this long
};

/// A section: who owns it, and when it last changed.
struct Section
{
    std::string name;
    std::string team;
    std::int64_t revision = 0;
};

/// A whole document at one revision.
struct Document
{
    std::int64_t revision = 0;
    std::vector<Section> sections;
    std::vector<Team> teams;
    std::vector<Pool> pools;
    std::vector<Service> services;
    std::vector<Wave> waves;
    std::optional<Lending> lending;

    const Section *section(std::string_view name) const;
    const Team *team(std::string_view name) const;
    const Pool *pool(std::string_view name) const;
};

/// Parses and checks sections together. The result is only to be used if no finding was added.
Document parseDocument(const std::vector<SectionText> &sections, std::int64_t revision,
                       Findings &findings);

} // namespace sassafrasferry::model
