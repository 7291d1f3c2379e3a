// Pools as the planners see them: from the document, the rows and what has failed.
#pragma once

#include <sassafrasferry/fleet/fleet_rows.h>
#include <sassafrasferry/fleet/fleet_view.h>
#include <sassafrasferry/policy/wave_planner.h>

namespace sassafrasferry::fleet {

/// A pool outside any wave: its VMs are pending or out.
policy::WavePool poolView(const model::Pool &pool, const FleetRows &rows, const FleetView &view);

/// A pool in a wave: VMs that the wave has maintained are done.
policy::WavePool poolView(const model::Pool &pool, const model::Wave &wave, const WaveRow &row,
                          const FleetRows &rows, const FleetView &view);

} // namespace sassafrasferry::fleet
