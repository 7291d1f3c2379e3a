// Rows of the operators' table: the current configuration and the maintenance waves.
#pragma once

#include <sassafrasferry/coordination/customer_keys.h>
#include <sassafrasferry/scheduling/fleet_planner.h>
#include <sassafrasferry/store/part_rows.h>

#include <functional>
#include <map>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// Keeps the newest configuration and all waves. `Platform` decodes the rows.
template<typename Platform>
class OperatorRows
{
public:
    struct Events
    {
        std::function<void()> onConfiguration; ///< a newer configuration took effect
        std::function<void(const scheduling::Wave &)> onWave;
    };

    explicit OperatorRows(Events events)
        : events(std::move(events))
    {}

    void apply(const std::vector<store::PartRow> &rows)
    {
        for (const auto &row : rows) {
            if (!row.deleted && row.key == Platform::configurationKey())
                this->applyConfiguration(row);
            else if (!row.deleted && Platform::isWaveKey(row.key))
                this->applyWave(row);
        }
    }

    /// The newest configuration; its version is 0 until one was read.
    const scheduling::Configuration &configuration() const
    {
        return this->inForce;
    }

    /// The keys of that configuration's customers.
    const CustomerKeys &keys() const
    {
        return this->keysInForce;
    }

    /// All waves that operators have ordered, by wave number.
    const std::map<std::int64_t, scheduling::Wave> &waves() const
    {
        return this->waveTable;
    }

private:
    void applyWave(const store::PartRow &row)
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

    void applyConfiguration(const store::PartRow &row)
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
        this->keysInForce = CustomerKeys(this->inForce.customers);
        LOG(INFO) << "event=configuration version=" << this->inForce.version
                  << " queues=" << this->inForce.queues.size()
                  << " customers=" << this->inForce.customers.size();
        this->events.onConfiguration();
    }

    Events events;
    scheduling::Configuration inForce; // its version only increases
    CustomerKeys keysInForce; // of `inForce`
    std::map<std::int64_t, scheduling::Wave> waveTable;
};

} // namespace sassafrasferry::coordination
