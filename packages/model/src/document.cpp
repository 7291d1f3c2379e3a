// Parse functions of the document, and the checks that span sections.
#include <sassafrasferry/model/document.h>

#include <sassafrasferry/model/toml_reader.h>

#include <algorithm>
#include <map>

namespace sassafrasferry::model {

namespace {

constexpr IntegerRange countRange{1, 100000};
constexpr IntegerRange sizeRange{0, 1000000};
constexpr IntegerRange timeRange{1, 7LL * 24 * 3600 * 1000};
constexpr std::size_t hashLength = 64;

// Checks that can only be made when every section has been read.
struct Reference
{
    Finding ifMissing;
    std::string name;
    bool mustBeSpare = false;
};

// A team's quota, which must be enough for one request of each of its services.
struct Quota
{
    Finding ifTooSmall;
    std::string team;
    std::int64_t processors = 0;
};

struct Parse
{
    Document document;
    Findings &findings;
    std::vector<Reference> pools;
    std::vector<Reference> teams;
    std::map<std::string, std::string> vmPools; // VM name -> the pool that has it
    std::map<std::string, std::string> vmAddresses; // address -> VM name
    std::map<std::string, std::string> poolSections; // pool name -> section
    std::map<std::string, std::string> serviceSections;
    std::map<std::string, std::string> teamSections;
    std::map<std::string, std::string> waveSections;
    std::vector<Quota> quotas;
};

void claimName(std::map<std::string, std::string> &owners, const std::string &what,
               const std::string &name, const std::string &section, TomlReader &reader)
{
    const auto [at, isNew] = owners.emplace(name, section);
    if (!isNew)
        reader.find("", what + " \"" + name + "\" is already in section \"" + at->second + "\"");
}

void readVm(Parse &parse, Pool &pool, TomlReader &reader)
{
    Vm vm;
    std::string address;
    for (const auto *key : {"name", "address", "dataCentre", "rack"})
        reader.require(key);
    reader.read("name", vm.name);
    reader.read("address", address);
    reader.read("dataCentre", vm.dataCentre);
    reader.read("rack", vm.rack);
    reader.read("slots", vm.slots, countRange);
    reader.read("connections", vm.connections, countRange);
    reader.read("processors", vm.processors, sizeRange);
    reader.read("memoryGib", vm.memoryGib, sizeRange);
    reader.read("accelerators", vm.accelerators, sizeRange);
    if (const auto endpoint = parseEndpoint(address))
        vm.address = *endpoint;
    else if (!address.empty())
        reader.find("address", "must be an IP number and a port, as in 127.0.0.1:8080");
    const auto [at, isNew] = parse.vmPools.emplace(vm.name, pool.name);
    if (!isNew && at->second == pool.name)
        reader.find("name", "VM \"" + vm.name + "\" is in this pool twice");
    else if (!isNew)
        reader.find("name", "VM \"" + vm.name + "\" is already in pool \"" + at->second + "\"");
    const auto [other, isFree] = parse.vmAddresses.emplace(address, vm.name);
    if (!isFree)
        reader.find("address", "is already the address of VM \"" + other->second + "\"");
    pool.vms.push_back(std::move(vm));
}

void readPool(Parse &parse, const Section &section, const std::string &name, TomlReader &reader)
{
    Pool pool{name, section.name, false, {}};
    claimName(parse.poolSections, "pool", name, section.name, reader);
    reader.read("spare", pool.spare);
    reader.eachElement("vms", [&](TomlReader &element) { readVm(parse, pool, element); });
    parse.document.pools.push_back(std::move(pool));
}

void readService(Parse &parse, const Section &section, const std::string &name, TomlReader &reader)
{
    Service service;
    service.name = name;
    service.section = section.name;
    claimName(parse.serviceSections, "service", name, section.name, reader);
    reader.require("pool");
    reader.read("pool", service.pool);
    reader.read("overflow", service.overflow);
    reader.read("idempotent", service.idempotent);
    reader.readName("class", service.requestClass);
    reader.read("deadlineMs", service.deadline, timeRange);
    reader.read("runTimeMs", service.runTime, timeRange);
    reader.read("availability", service.availability, {0, 1});
    reader.read("startRefusal", service.startRefusal);
    if (!service.pool.empty())
        parse.pools.push_back({reader.findingAt("pool", "no such pool"), service.pool, false});
    if (!service.overflow.empty())
        parse.pools.push_back(
            {reader.findingAt("overflow", "no such spare pool"), service.overflow, true});
    parse.document.services.push_back(std::move(service));
}

void readWave(Parse &parse, const Section &section, const std::string &name, TomlReader &reader)
{
    Wave wave;
    wave.name = name;
    wave.section = section.name;
    claimName(parse.waveSections, "wave", name, section.name, reader);
    reader.require("pools");
    reader.read("pools", wave.pools);
    reader.read("maintenanceMs", wave.maintenance, timeRange);
    reader.read("haltAfter", wave.haltAfter, countRange);
    for (const auto &pool : wave.pools)
        parse.pools.push_back({reader.findingAt("pools", "no such pool"), pool, false});
    parse.document.waves.push_back(std::move(wave));
}

void readLending(Parse &parse, const Section &section, TomlReader &reader)
{
    constexpr RealRange weightRange{0, 1e6};
    Lending lending;
    lending.section = section.name;
    reader.read("rollOutHour", lending.weights.rollOutHour, weightRange);
    reader.read("bufferHour", lending.weights.bufferHour, weightRange);
    reader.read("move", lending.weights.move, weightRange);
    reader.readName("demand", lending.demand);
    reader.read("moveMs", lending.move, timeRange);
    reader.read("steadyMs", lending.steady, timeRange);
    if (parse.document.lending)
        reader.find("",
                    "lending is already in section \"" + parse.document.lending->section + "\"");
    else
        parse.document.lending = lending;
}

void readTeam(Parse &parse, const Section &section, const std::string &name, TomlReader &reader)
{
    Team team{name, {}, 0};
    claimName(parse.teamSections, "team", name, section.name, reader);
    reader.require("tokenHash");
    reader.read("tokenHash", team.tokenHash);
    reader.read("processors", team.processors, sizeRange);
    if (!team.tokenHash.empty() && team.tokenHash.size() != hashLength)
        reader.find("tokenHash", "must be a SHA-256 in hexadecimal");
    if (team.processors > 0)
        parse.quotas.push_back({reader.findingAt("processors", "is less than one request holds"),
                                name, team.processors});
    parse.document.teams.push_back(std::move(team));
}

void readSection(Parse &parse, const SectionText &text, TomlReader &reader)
{
    Section section{text.name, {}, text.revision};
    reader.require("team");
    reader.read("team", section.team);
    if (!section.team.empty())
        parse.teams.push_back({reader.findingAt("team", "no such team"), section.team, false});
    reader.eachTable("teams", [&](const std::string &name, TomlReader &inner) {
        readTeam(parse, section, name, inner);
    });
    reader.eachTable("pools", [&](const std::string &name, TomlReader &inner) {
        readPool(parse, section, name, inner);
    });
    reader.eachTable("services", [&](const std::string &name, TomlReader &inner) {
        readService(parse, section, name, inner);
    });
    reader.eachTable("waves", [&](const std::string &name, TomlReader &inner) {
        readWave(parse, section, name, inner);
    });
    reader.table("lending", [&](TomlReader &inner) { readLending(parse, section, inner); });
    parse.document.sections.push_back(std::move(section));
}

void readSectionText(Parse &parse, const SectionText &text)
{
    const auto file = text.name;
    const auto table = parseToml(text.text, file, parse.findings);
    if (!table)
        return;
    TomlReader reader(*table, file, "", parse.findings);
    bool found = false;
    reader.eachTable("sections", [&](const std::string &name, TomlReader &inner) {
        if (name != text.name) {
            inner.find("", "does not belong into section \"" + text.name + "\"");
            return;
        }
        found = true;
        readSection(parse, text, inner);
    });
    if (!found)
        reader.find("", "has no table [sections." + text.name + "]");
    reader.finish();
}

void checkReferences(Parse &parse)
{
    for (const auto &reference : parse.pools) {
        const auto *pool = parse.document.pool(reference.name);
        if (!pool || (reference.mustBeSpare && !pool->spare))
            parse.findings.push_back(reference.ifMissing);
    }
    for (const auto &reference : parse.teams) {
        if (!parse.document.team(reference.name))
            parse.findings.push_back(reference.ifMissing);
    }
}

std::int64_t largestRequest(const Document &document, const std::string &poolName)
{
    std::int64_t largest = 0;
    if (const auto *pool = document.pool(poolName)) {
        for (const auto &vm : pool->vms)
            largest = std::max(largest, slotProcessors(vm));
    }
    return largest;
}

// A quota below that would refuse every request of the service, for a reason that only its callers
// see.
void checkQuotas(Parse &parse)
{
    for (const auto &quota : parse.quotas) {
        for (const auto &service : parse.document.services) {
            const auto *section = parse.document.section(service.section);
            if (!section || section->team != quota.team)
                continue;
            const auto needed = std::max(largestRequest(parse.document, service.pool),
                                         largestRequest(parse.document, service.overflow));
            if (quota.processors >= needed)
                continue;
            auto finding = quota.ifTooSmall;
            finding.message += " of service \"" + service.name + "\": " + std::to_string(needed);
            parse.findings.push_back(std::move(finding));
        }
    }
}

template<typename Item>
const Item *byName(const std::vector<Item> &items, std::string_view name)
{
    const auto at = std::find_if(items.begin(), items.end(),
                                 [&](const Item &item) { return item.name == name; });
    return at == items.end() ? nullptr : &*at;
}

} // namespace

std::int64_t slotProcessors(const Vm &vm)
{
    const auto slots = std::max<std::int64_t>(1, vm.slots);
    return std::max<std::int64_t>(1, (vm.processors + slots - 1) / slots);
}

const Section *Document::section(std::string_view name) const
{
    return byName(this->sections, name);
}

const Team *Document::team(std::string_view name) const
{
    return byName(this->teams, name);
}

const Pool *Document::pool(std::string_view name) const
{
    return byName(this->pools, name);
}

Document parseDocument(const std::vector<SectionText> &sections, std::int64_t revision,
                       Findings &findings)
{
    Parse parse{{}, findings, {}, {}, {}, {}, {}, {}, {}, {}, {}};
    parse.document.revision = revision;
    for (const auto &section : sections)
        readSectionText(parse, section);
    checkReferences(parse);
    checkQuotas(parse);
    return std::move(parse.document);
}

} // namespace sassafrasferry::model
