// Commands that look at the fleet: status, upstreams, explain.
#pragma once

#include "admin_client.h"

namespace sassafrasferry::cli {

/// Prints an entry VM's view: health, revision, peers, pools.
int status(AdminClient &client);
/// Prints every worker as an entry VM sees it.
int upstreams(AdminClient &client);
/// Prints the decisions on a request.
int explain(AdminClient &client, const std::string &requestId);

/// Prints every wave with its progress and forecast, and every VM that is not in service.
int waves(AdminClient &client);
/// Starts, halts or resumes a wave.
int setWave(AdminClient &client, const std::string &wave, const std::string &action,
            const std::string &token);

} // namespace sassafrasferry::cli
