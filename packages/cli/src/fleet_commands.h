// Commands on the fleet: status, upstreams, explain, waves, wave.
#pragma once

#include "admin_client.h"

namespace sassafrasferry::cli {

/// Prints the health, revision, peers and pools that one entry VM reports.
int status(AdminClient &client);
/// Prints every worker as an entry VM sees it.
int upstreams(AdminClient &client);
/// Prints the decisions that an entry VM recorded for a request.
int explain(AdminClient &client, const std::string &requestId);

/// Prints each wave with its progress and estimated remaining time, and each VM out of service.
int waves(AdminClient &client);
/// Starts, halts or resumes a wave.
int setWave(AdminClient &client, const std::string &wave, const std::string &action,
            const std::string &token);

} // namespace sassafrasferry::cli
