// The workers that may be the current incarnation of each VM.
#pragma once

#include <map>
#include <set>
#include <string>

namespace sassafrasferry::scheduling {

/// Anybody may write an entry that names a VM, so a VM may have several workers until one of them
/// is known to be its current incarnation.
class VmWorkers
{
public:
    const std::set<std::string> &of(const std::string &vm) const
    {
        static const std::set<std::string> none;
        const auto at = this->workers.find(vm);
        return at == this->workers.end() ? none : at->second;
    }

    void add(const std::string &vm, const std::string &worker)
    {
        this->workers[vm].insert(worker);
    }

    void remove(const std::string &vm, const std::string &worker)
    {
        const auto at = this->workers.find(vm);
        if (at == this->workers.end())
            return;
        at->second.erase(worker);
        if (at->second.empty())
            this->workers.erase(at);
    }

private:
    std::map<std::string, std::set<std::string>> workers; // by VM
};

} // namespace sassafrasferry::scheduling
