// A job as the leader knows it.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <optional>
#include <string>

namespace sassafrasferry::coordination {

/// A job as the leader knows it.
struct KnownJob
{
    scheduling::JobState state = scheduling::JobState::Unknown;
    std::optional<std::string> customer; ///< absent from leaders of earlier versions
};

} // namespace sassafrasferry::coordination
