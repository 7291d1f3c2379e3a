// Choice of VMs to lend.
#include <sassafrasferry/policy/lending.h>

#include <algorithm>

namespace sassafrasferry::policy {

namespace {

bool serves(const WaveVm &vm)
{
    return vm.state == WaveVmState::Pending || vm.state == WaveVmState::Done;
}

std::size_t countServing(const WavePool &pool)
{
    return static_cast<std::size_t>(std::count_if(pool.vms.begin(), pool.vms.end(), serves));
}

std::size_t countIn(const WavePool &pool, const std::string &dataCentre)
{
    return static_cast<std::size_t>(
        std::count_if(pool.vms.begin(), pool.vms.end(),
                      [&](const WaveVm &vm) { return serves(vm) && vm.dataCentre == dataCentre; }));
}

} // namespace

std::size_t lendable(const WavePool &spare)
{
    const auto serving = countServing(spare);
    const auto out = spare.vms.size() - serving;
    const auto limit = budgetOf(spare.vms.size(), spare.availability, spare.borrowed).mayBeOut();
    return limit > out ? std::min(serving, limit - out) : 0;
}

std::optional<std::string> chooseToLend(const WavePool &spare, const WavePool &borrower)
{
    if (lendable(spare) == 0)
        return std::nullopt;
    const WaveVm *best = nullptr;
    for (const auto &vm : spare.vms) {
        if (!serves(vm))
            continue;
        if (!best || countIn(borrower, vm.dataCentre) < countIn(borrower, best->dataCentre))
            best = &vm;
    }
    return best->name;
}

bool mayGiveBack(const WavePool &borrower)
{
    if (borrower.borrowed == 0)
        return true;
    const auto out = borrower.vms.size() - countServing(borrower);
    const auto budget = budgetOf(borrower.vms.size(), borrower.availability, borrower.borrowed - 1);
    return out <= budget.mayBeOut();
}

} // namespace sassafrasferry::policy
