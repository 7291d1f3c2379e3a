"""A change of leader after half a day of the site's traffic."""

import asyncio
import os
import random
import signal
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from platform_standin import BOUNDS, run_case  # noqa: E402

MEMORY_MB = 260  # of the site's machines; a process that exceeds it is killed
RATE = 7.2 + 1.35 + 9 + 1.66  # jobs a second in the site's sheet, lasting ones left out
HOURS = 12
TRAFFIC = 20  # seconds of jobs, one a second, after the leader was killed
DOWN = 3.5  # seconds for which the killed leader is down, as the site's node_kill has it


def resident_mb(node):
    try:
        with open(f"/proc/{node.process.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def add_history(store, value, count):
    """Rows as the program writes them when a job is completed, under other ids."""
    numbers = random.Random(7)
    parts = sorted(part for table, part in store.keys if table == "chain")
    added = {part: [] for part in parts}
    for i in range(count):
        part = parts[i % len(parts)]
        key = ("progress", part, f"{numbers.getrandbits(64):016x}")
        store.version += 1
        store.rows[key] = [value, store.version, False]
        added[part].append(key[2])
        if i % 2000 == 0:
            await asyncio.sleep(0)
    for part in parts:
        store.keys[("progress", part)] = sorted(
            store.keys.get(("progress", part), []) + added[part])
        await asyncio.sleep(0)


async def case(factory, trouble):
    system = factory(nodes=3)
    system.add_service("quoting")
    system.add_queue("quotes", "quoting")
    await system.begin()
    await system.add_machines(8, "quoting")
    await system.start_nodes()
    await asyncio.sleep(2)
    store = system.store
    peaks = {node.name: 0.0 for node in system.nodes}
    ends = {node.name: 0 for node in system.nodes}
    disturbed = None
    accepted = []

    async def submit(number):
        body = {"spec": "job", "steps": [
            {"count": 2, "cpu": 1800, "mem_mb": 3600, "estimate_ms": 1000}]}
        job = f"{number:016x}"
        live = [node for node in system.nodes if node.process.poll() is None]
        node = live[number % len(live)]
        if await system.submit(node, "quotes", job, body, lambda *_: (500, "done"), tries=1) == 200:
            accepted.append(job)

    async def restart(node, pause):
        await asyncio.sleep(pause)
        node.start()

    async def watch_memory():
        while True:
            for node in system.nodes:
                if node.process.poll() is not None:
                    continue
                resident = resident_mb(node)
                peaks[node.name] = max(peaks[node.name], resident)
                if resident > MEMORY_MB:
                    system.record.add(f"memory   {node.name} has {resident:.0f} MB: killed")
                    node.process.kill()
                    node.process.wait()
                    if node is not disturbed:
                        ends[node.name] += 1
                    asyncio.ensure_future(restart(node, 0.5))
            await asyncio.sleep(0.03)

    await submit(1)
    await asyncio.sleep(2)
    value = store.rows[next(key for key in store.rows if key[0] == "progress")][0]
    count = int(RATE * 3600 * HOURS)
    await add_history(store, value, count)
    system.record.add(f"history  {count} rows of completed jobs, {HOURS} h of the site's traffic")
    watch = asyncio.ensure_future(watch_memory())
    await asyncio.sleep(1)
    leader = system.leader()
    if trouble:
        disturbed = leader
        leader.send(signal.SIGKILL)
        leader.process.wait()
        asyncio.ensure_future(restart(leader, DOWN))
    for number in range(2, 2 + TRAFFIC):
        await submit(number)
        await asyncio.sleep(1)
    system.record.add("traffic  ends")
    await asyncio.sleep(BOUNDS["finish_s"] + 4)
    watch.cancel()
    waiting = [job for job in accepted
               if not any(task.startswith(job) for task in system.fleet.attempts)]
    for node in system.nodes:
        if node.process.poll() is None:
            await node.request("GET", f"/quotes/{accepted[-1]}")
            break
    system.record.add(f"peaks    {({name: round(mb) for name, mb in peaks.items()})} MB")
    system.record.add(f"ends     by memory, the machine of the killed leader left out: {ends}")
    system.record.add(f"jobs     {len(accepted)} accepted, {len(waiting)} of them never started")
    if not waiting:
        return []
    return [f"LOST: {len(waiting)} of {len(accepted)} accepted jobs were never started, on eight idle"
            f" minions; processes that exceeded {MEMORY_MB} MB: {ends}"]


sys.exit(run_case(case, FOLDER, 115))
