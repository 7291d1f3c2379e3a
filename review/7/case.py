"""A job with a large task beside lasting tasks, on a service that is nearly idle."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from platform_standin import BOUNDS, run_case  # noqa: E402

# Sizes of the site's `dunning-run` and `invoice-render`: the largest, and the mean of the latter.
LASTING = {"count": 8, "cpu": 4500, "mem_mb": 29000, "estimate_ms": 900, "long_running": True}
LARGE = {"count": 1, "cpu": 3800, "mem_mb": 33000, "estimate_ms": 900}
MEAN = {"count": 1, "cpu": 3800, "mem_mb": 11000, "estimate_ms": 900}


def room_of(machine):
    room = [machine.capacity["cpu"], machine.capacity["mem_mb"], machine.capacity["gpu"]]
    for task, _ in machine.minion.runs:
        room = [a - b for a, b in zip(room, machine.minion.need(task))]
    return room


async def case(factory, trouble):
    system = factory(nodes=3)
    system.add_service("billing")
    system.add_queue("dunning", "billing", priority=0)
    system.add_queue("invoices", "billing", priority=1)
    await system.begin()
    await system.add_machines(8, "billing")
    await system.start_nodes()
    await asyncio.sleep(2)
    machines = system.fleet.machines.values()

    async def submit(number, queue, step, millis):
        status = await system.submit(system.nodes[number % 3], queue, f"{number:016x}",
                                     {"spec": "job", "steps": [step]}, lambda *_: (millis, "done"))
        assert status == 200, status

    await submit(1, "dunning", LASTING, 10_000_000)
    await asyncio.sleep(3)
    system.record.add("runs by machine: "
                      + ", ".join(f"{m.name} {len(m.minion.runs)}" for m in machines))
    assert sum(len(machine.minion.runs) for machine in machines) == LASTING["count"]

    # The job comes, and the traffic ends.
    step = LARGE if trouble else MEAN
    await submit(300, "invoices", step, 900)
    job = f"{300:016x}"
    waited = longest = 0.0
    idle = []
    tick = 0.1
    for _ in range(int((BOUNDS["finish_s"] + 16) / tick)):
        rooms = [room_of(machine) for machine in machines]
        fitting = [room for room in rooms
                   if room[0] >= step["cpu"] and room[1] >= step["mem_mb"]]
        is_half_idle = (sum(room[0] for room in rooms) * 2 > 32000 * len(rooms)
                        and sum(room[1] for room in rooms) * 2 > 131072 * len(rooms))
        runs = any(task.startswith(job) for machine in machines for task, _ in machine.minion.runs)
        is_over = any(task.startswith(job) for task in system.fleet.ledger.done)
        waits = not runs and not is_over and len(fitting) >= 2 and is_half_idle
        waited = waited + tick if waits else 0.0
        if waited > longest:
            longest = waited
            idle.append(sum(not machine.minion.runs for machine in machines))
        await asyncio.sleep(tick)
    _, state = await system.nodes[0].request("GET", f"/invoices/{job}")
    if longest < 3:
        return []
    return [f"LOST: job {job} had nothing running for {longest:.1f} s although {min(idle)} of"
            f" {len(machines)} minions had nothing to do; it is shown as {state}"]


sys.exit(run_case(case, FOLDER))
