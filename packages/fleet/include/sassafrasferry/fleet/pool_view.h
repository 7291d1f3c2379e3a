// Builds the planners' input for a pool from the document, the fleet rows and the failed VMs.
#pragma once

#include <sassafrasferry/fleet/fleet_rows.h>
#include <sassafrasferry/fleet/fleet_view.h>
#include <sassafrasferry/policy/wave_planner.h>

namespace sassafrasferry::fleet {

/// The state of a pool outside any wave; no VM counts as done.
policy::WavePool poolView(const model::Pool &pool, const FleetRows &rows, const FleetView &view);

/// The state of a pool in a wave; VMs that the wave has maintained count as done.
policy::WavePool poolView(const model::Pool &pool, const model::Wave &wave, const WaveRow &row,
                          const FleetRows &rows, const FleetView &view);

} // namespace sassafrasferry::fleet
