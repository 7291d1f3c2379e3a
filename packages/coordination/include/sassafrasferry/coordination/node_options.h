// Options of an entry VM that schedules jobs.
#pragma once

#include <sassafrasferry/coordination/configuration_reader.h>
#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/leadership.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <string>

namespace sassafrasferry::coordination {

/// Name, addresses and timing of one entry VM.
struct NodeOptions
{
    std::string name;
    model::Endpoint peer; ///< address of this entry VM's peer port
    scheduling::SchedulerTimes times;
    LeadershipTimes leadership;
    ConfigurationTimes configuration;
    bool checksKeys = false; ///< callers need a customer's key, but on anonymous queues
    Duration handOverDelay =
        std::chrono::milliseconds(3000); ///< minimum time between two leaders' orders about a VM
    Duration stopWithin = std::chrono::milliseconds(5000); ///< from stop signal to exit
    /// Time for which the end of a job is shown, and for which a job that was cancelled before it
    /// was stored is kept from being stored.
    Duration statusRetention = std::chrono::seconds(120);
    double cores = 1.0; ///< processor cores of this entry VM
    store::RowLimits rowLimits; ///< of the store
    JobParts jobParts; ///< the same on all entry VMs, but while their settings change
};

} // namespace sassafrasferry::coordination
