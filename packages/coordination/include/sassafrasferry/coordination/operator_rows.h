// What operators have written: the configuration in force, and their waves.
#pragma once

#include <sassafrasferry/scheduling/fleet_planner.h>
#include <sassafrasferry/store/part_rows.h>

#include <functional>
#include <map>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// Keeps the newest of it. `Platform` decodes the rows.
template<typename Platform>
class OperatorRows
{
public:
    struct Events
    {
        std::function<void()> onConfiguration; ///< a newer one is in force
        std::function<void(const scheduling::Wave &)> onWave;
    };

    explicit OperatorRows(Events events)
        : events(std::move(events))
    {}

    void take(const std::vector<store::PartRow> &rows)
    {
        for (const auto &row : rows) {
            if (!row.deleted && row.key == Platform::configurationKey())
                this->takeConfiguration(row);
            else if (!row.deleted && Platform::isWaveKey(row.key))
                this->takeWave(row);
        }
    }

    /// Version 0 before the first.
    const scheduling::Configuration &configuration() const
    {
        return this->inForce;
    }

    /// By number, all that were ordered.
    const std::map<std::int64_t, scheduling::Wave> &waves() const
    {
        return this->waveTable;
    }

private:
    void takeWave(const store::PartRow &row)
    {
        const auto wave = Platform::decodeWave(row.value);
        if (!wave.ok()) {
            LOG(ERROR) << "event=wave-unreadable version=" << row.version << " error=\""
                       << wave.status().message() << '"';
            return;
        }
        if (this->waveTable.emplace(wave->number, *wave).second)
            this->events.onWave(*wave);
    }

    void takeConfiguration(const store::PartRow &row)
    {
        auto configuration = Platform::decodeConfiguration(row.value);
        if (!configuration.ok()) {
            LOG(ERROR) << "event=configuration-unreadable version=" << row.version << " error=\""
                       << configuration.status().message() << '"';
            return;
        }
        if (configuration->version <= this->inForce.version)
            return;
        this->inForce = *std::move(configuration);
        LOG(INFO) << "event=configuration version=" << this->inForce.version
                  << " queues=" << this->inForce.queues.size();
        this->events.onConfiguration();
    }

    Events events;
    scheduling::Configuration inForce; // never goes back
    std::map<std::int64_t, scheduling::Wave> waveTable;
};

} // namespace sassafrasferry::coordination
