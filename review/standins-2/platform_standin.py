"""Stand-ins for the platform, its minions and its clients, on loopback addresses and the real clock.

One event loop holds the store, the list of machines, the minions and the clients; the project's own
programs run as separate processes. Everything follows the users' pages; where they are silent, the
stand-ins behave like a sound platform. Used by the cases that name this folder in their `run.sh`.
"""

import asyncio
import base64
import bisect
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12, "hold_max_ms": 6000,
    "stop_grace_ms": 200, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "remote_factor": 1.5, "checkpoint_s": 1,
    "restore_ms": 100, "notice_ms": 4500, "migrate_s": 1.5, "maintenance_s": 2,
    "fencing_enforced": False, "lease_ms": 3000, "thaw_slack_ms": 300, "pacing_ms": 100,
    "impact_ms": 4000,
}


def now_ms():
    return time.monotonic() * 1000


class Record:
    """Writes what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def seconds(self):
        return time.monotonic() - self.begin

    def add(self, text):
        self.file.write(f"{self.seconds():8.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------------------------------- HTTP


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        self.headers = headers
        self.body = body

    def json(self):
        try:
            return json.loads(self.body) if self.body else {}
        except ValueError:
            return None


SILENT = object()  # no answer: the connection stays open and delivers nothing further
RESET = object()  # the connection is reset


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or 0)
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """An HTTP server; `handle(request)` returns (status, body), SILENT or RESET."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 24)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(Request(method, target, headers, body))
                if answer is SILENT:
                    await asyncio.sleep(3600)
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, value = answer[0], answer[1]
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError,
                asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def close(self):
        self.server.close()
        self.reset_all()


async def call(host, port, method, target, headers=None, body=None, timeout=3.0):
    """One HTTP call on a connection of its own. Returns (status, text) or (None, reason)."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(host, port)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}"]
            if data:
                lines.append("Content-Type: application/json")
            for name, value in (headers or {}).items():
                lines.append(f"{name}: {value}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer.decode("utf-8", "replace")
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, f"broken ({type(error).__name__})"
    finally:
        if writer:
            writer.close()


# --------------------------------------------------------------------------------------- store


class Store:
    """The platform's metadata store. `fault(node, request)`, if set, may return an answer in the
    store's place, or None."""

    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> [value, ver, deleted]
        self.version = 0
        self.log = []  # (ver, key), in order
        self.changed = asyncio.Condition()
        self.fault = None
        self.tx_ms = 6.0
        self.keys = {}  # (table, part) -> sorted keys, deleted ones included

    def _write(self, key, value):
        if key not in self.rows:
            bisect.insort(self.keys.setdefault(key[:2], []), key[2])
        self.rows[key] = [value, self.version, value is None]
        self.log.append((self.version, key))

    async def put(self, table, key, value, part=""):
        async with self.changed:
            self.version += 1
            self._write((table, part, key), base64.b64encode(
                value if isinstance(value, bytes) else json.dumps(value).encode()).decode())
            self.changed.notify_all()

    async def remove(self, table, key, part=""):
        async with self.changed:
            if self._ver((table, part, key)):
                self.version += 1
                self._write((table, part, key), None)
                self.changed.notify_all()

    def _ver(self, key):
        row = self.rows.get(key)
        return 0 if row is None or row[2] else row[1]

    def _json(self, key):
        row = self.rows[key]
        out = {"table": key[0], "part": key[1], "key": key[2], "ver": row[1]}
        if row[2]:
            out["deleted"] = True
        else:
            out["value"] = row[0]
        return out

    def value(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return None if row is None or row[2] else base64.b64decode(row[0])

    async def handle(self, node, request):
        if self.fault:
            answer = await self.fault(node, request)
            if answer is not None:
                return answer
        if request.path == "/rows-tx":
            return await self.transact(request.json())
        if request.path == "/rows-get":
            await asyncio.sleep(0.002)
            return self.get(request.query)
        if request.path == "/rows-parts":
            await asyncio.sleep(0.002)
            return self.parts(request.query)
        if request.path == "/rows-feed":
            return await self.feed(request.query)
        return 404, None

    async def transact(self, body):
        if not isinstance(body, dict):
            return 400, None
        await asyncio.sleep(self.tx_ms / 1000)
        async with self.changed:
            held = True
            current = []
            for row in body.get("expected_rev", []):
                key = (row["table"], row.get("part", ""), row["key"])
                held &= self._ver(key) == row.get("ver", 0)
                if self._ver(key):
                    current.append(self._json(key))
            if not held:
                return 412, {"rows": current, "now_ms": int(now_ms()), "ver": self.version}
            entries = body.get("put", []) + body.get("remove", [])
            if any(row["table"] in ("op", "servers") for row in entries):
                return 403, None
            if entries:
                self.version += 1
            for row in body.get("put", []):
                self._write((row["table"], row.get("part", ""), row["key"]), row["value"])
            for row in body.get("remove", []):
                key = (row["table"], row.get("part", ""), row["key"])
                if self._ver(key):
                    self._write(key, None)
            self.changed.notify_all()
            return 200, {"ver": self.version, "now_ms": int(now_ms())}

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        low, high = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", self.PAGE) or self.PAGE), self.PAGE)
        names = self.keys.get((table, part), [])
        keys = []
        for i in range(bisect.bisect_left(names, low), len(names)):
            if (high and names[i] >= high) or len(keys) > limit:
                break
            key = (table, part, names[i])
            if not self.rows[key][2]:
                keys.append(key)
        return 200, {"rows": [self._json(key) for key in keys[:limit]],
                     "has_more": len(keys) > limit, "ver": self.version, "now_ms": int(now_ms())}

    def parts(self, query):
        after = query.get("after", "")
        names = sorted(
            part for (table, part), keys in self.keys.items()
            if table == query.get("table", "") and part > after
            and any(not self.rows[(table, part, key)][2] for key in keys))
        return 200, {"parts": names[:1000], "ver": self.version}

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", 0))
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000

        def changes():
            begin = bisect.bisect_right(self.log, (after, ("\U0010ffff",)))
            keys = []
            for _, key in self.log[begin:]:
                if key[0] == table and key not in keys:
                    keys.append(key)
            rows = sorted((self._json(key) for key in keys), key=lambda row: row["ver"])
            return rows

        async with self.changed:
            while True:
                rows = changes()
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, "ver": self.version, "now_ms": int(now_ms())}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# ------------------------------------------------------------------------------------- minions


class Ledger:
    """Follows the runs of all tasks over all minions and keeps what breaks TWICE.

    An end `done` counts once a call's `ack_cursor` has reached it, unless the minion's lease
    lapsed between the two."""

    def __init__(self, record):
        self.record = record
        self.running = {}  # task -> {(minion, run): time}
        self.done = {}  # task -> [{"minion", "run", "at", "noted"}]
        self.breaks = []  # texts
        self.starts = 0
        self.started_after_done = []  # (task, minion, run, time, end)

    def started(self, task, minion, run):
        self.starts += 1
        at = self.record.seconds()
        for other in self.running.get(task, {}):
            text = (f"TWICE: {task} run {run} starts on {minion} while run {other[1]} runs on"
                    f" {other[0]}")
            self.breaks.append(text)
            self.record.add("BROKEN " + text)
        for end in self.done.get(task, []):
            self.started_after_done.append((task, minion, run, at, end))
        self.running.setdefault(task, {})[(minion, run)] = at

    def ended(self, task, minion, run, how):
        self.running.get(task, {}).pop((minion, run), None)
        if how != "done":
            return None
        end = {"minion": minion, "run": run, "at": self.record.seconds(), "noted": False}
        self.done.setdefault(task, []).append(end)
        return end

    def check(self):
        """All that breaks TWICE, starts after a noted end included."""
        out = list(self.breaks)
        for task, minion, run, at, end in self.started_after_done:
            if end["noted"]:
                out.append(f"TWICE: {task} run {run} started on {minion} at {at:.3f} s after run"
                           f" {end['run']} had ended done on {end['minion']} at"
                           f" {end['at']:.3f} s, an end that was taken note of")
        return out


class Job:
    """What the clients have handed in, so that minions know what their tasks need and take."""

    def __init__(self, body, millis):
        self.body = body
        self.millis = millis  # (step, index, run count so far) -> (duration in ms, how it ends)


class Minion:
    """One life of a machine."""

    def __init__(self, fleet, id_, machine, service):
        self.fleet = fleet
        self.id = id_
        self.machine = machine
        self.service = service
        self.born = int(time.time() * 1000)
        self.clock0 = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.runs = {}  # (task, run) -> {"timer", "saved", "begin", "stopping", ...}
        self.ends = []  # [N, task, run, how, saved, ledger end, lease epoch]
        self.count = 0
        self.highest = {}  # task -> highest run that ended or was stopped here
        self.alive = True
        self.epoch = 0  # of the lease; grows when it lapses
        self.news = asyncio.Event()
        self.watch = asyncio.ensure_future(self.watch_lease())
        self.seq = 0
        self.state = "ready"

    def clock(self):
        return int((time.monotonic() - self.clock0) * 1000) + 1

    def entry(self):
        self.seq += 1
        return {"service": self.service, "addr": f"{self.machine.host}:{self.machine.port}",
                "zone": self.machine.zone, "version": "1.4.2", "slots": 8, "state": self.state,
                "cold_left_ms": 0, "seq": self.seq, "born": self.born,
                "machine": self.machine.name, "capacity": self.machine.capacity,
                "labels": [self.machine.kind, self.machine.rack]}

    def need(self, task):
        job, _, step, _ = task.split(".")
        known = self.fleet.jobs.get(job)
        spec = known.body["steps"][int(step)] if known else {}
        return [spec.get("cpu", 0), spec.get("mem_mb", 0), spec.get("gpu", 0)]

    def fits(self, task):
        room = [self.machine.capacity["cpu"], self.machine.capacity["mem_mb"],
                self.machine.capacity["gpu"]]
        for other, _ in self.runs:
            room = [a - b for a, b in zip(room, self.need(other))]
        return all(a >= b for a, b in zip(room, self.need(task)))

    async def watch_lease(self):
        while self.alive:
            await asyncio.sleep(0.01)
            if self.runs and self.clock() > self.lease_end:
                self.epoch += 1
                for key in list(self.runs):
                    self.finish(key, "lapsed")
            elif self.clock() > self.lease_end + 1 and self.lease_end:
                self.epoch += 1
                self.lease_end = 0

    def finish(self, key, how):
        run = self.runs.pop(key, None)
        if run is None or not self.alive:
            return
        run["timer"].cancel()
        task, number = key
        self.count += 1
        end = self.fleet.ledger.ended(task, self.id, number, how)
        self.ends.append([self.count, task, number, how, self.saved(run), end, self.epoch])
        self.highest[task] = max(self.highest.get(task, 0), number)
        self.fleet.record.add(f"end      {self.id} {task} run {number} {how} N {self.count}")
        self.news.set()
        self.fleet.on_end(self, task, number, how)

    def saved(self, run):
        if not run["saves"]:
            return ""
        worked = run["worked"] + int(time.monotonic() - run["begin"])
        return f"{run['name']}@{worked}" if worked else run["given"]

    def die(self):
        """The life ends, and with it all that runs here."""
        self.alive = False
        for (task, number), run in self.runs.items():
            run["timer"].cancel()
            self.fleet.ledger.ended(task, self.id, number, "lost")
            self.fleet.record.add(f"lost     {self.id} {task} run {number}")
        self.runs.clear()
        self.watch.cancel()

    def reply(self, status, extra):
        return status, {"clock_ms": self.clock(), "born": self.born, **extra}

    async def handle(self, request):
        expected = request.headers.get("x-expect-instance")
        if expected and expected != self.id:
            return 421, None
        if request.path == "/healthz":
            return 200, None
        body = request.json()
        if not isinstance(body, dict):
            return 400, None
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return self.reply(409, {"reason": "fence"})
        self.fence = fence
        if request.path == "/run-start":
            return self.start(body)
        if request.path == "/run-stop":
            return await self.stop(body)
        if request.path == "/hold":
            return await self.hold(body)
        if request.path == "/pace":
            return self.reply(200, {})
        return 404, None

    def extend(self, until):
        if until:
            longest = self.clock() + BOUNDS["hold_max_ms"]
            self.lease_end = max(self.lease_end, min(until, longest))

    def start(self, body):
        task, number = body["task"], body["run_id"]
        until = body.get("until_ms", 0)
        if until < self.clock():
            return self.reply(409, {"reason": "late"})
        if (task, number) in self.runs:
            return self.reply(200, {})
        self.extend(until)
        if number <= self.highest.get(task, 0):
            return self.reply(409, {"reason": "old"})
        if not self.fits(task):
            self.fleet.record.add(f"refused  {self.id} {task} run {number} room")
            return self.reply(409, {"reason": "room"})
        job, _, step, index = task.split(".")
        known = self.fleet.jobs.get(job)
        checkpoint = body.get("checkpoint", "")
        spec = known.body["steps"][int(step)] if known else {}
        attempt = self.fleet.attempts[task] = self.fleet.attempts.get(task, 0) + 1
        millis, how = known.millis(int(step), int(index), attempt) if known else (1000, "done")
        key = (task, number)
        loop = asyncio.get_running_loop()
        self.runs[key] = {"timer": loop.call_later(millis / 1000, self.finish, key, how),
                          "begin": time.monotonic(), "given": checkpoint, "worked": 0,
                          "saves": bool(spec.get("checkpointing")), "name": f"{job}.{step}",
                          "stopping": False}
        if "@" in checkpoint:
            self.runs[key]["worked"] = int(checkpoint.rsplit("@", 1)[1])
        self.fleet.record.add(
            f"start    {self.id} {task} run {number} fence {body.get('fencing_token', 0)}"
            + (f" checkpoint {checkpoint}" if checkpoint else ""))
        self.fleet.ledger.started(task, self.id, number)
        self.fleet.on_start(self, task, number, body)
        return self.reply(200, {})

    async def stop(self, body):
        task, number = body["task"], body["run_id"]
        self.fleet.record.add(f"stop     {self.id} {task} run {number}")
        self.highest[task] = max(self.highest.get(task, 0), number)
        key = (task, number)
        if key in self.runs and not self.runs[key]["stopping"]:
            self.runs[key]["stopping"] = True
            asyncio.get_running_loop().call_later(0.05, self.finish, key, "stopped")
        return self.reply(200, {})

    def acknowledge(self, cursor):
        while self.ends and self.ends[0][0] <= cursor:
            number, task, run, how, _, end, epoch = self.ends.pop(0)
            if end is not None and epoch == self.epoch:
                end["noted"] = True
            self.fleet.record.add(f"noted    {self.id} N {number} {task} run {run} {how}")

    async def hold(self, body):
        self.extend(body.get("until_ms", 0))
        self.acknowledge(body.get("ack_cursor", 0))
        end = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while self.alive and not self.ends and time.monotonic() < end:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        if not self.alive:
            return RESET
        running = []
        for (task, number), run in self.runs.items():
            running.append([task, number, self.saved(run), 100, 0])
        finished = [entry[:5] for entry in self.ends[:500]]
        return self.reply(200, {"running": running, "finished": finished})


class Machine:
    def __init__(self, fleet, name, pool, host, port, rack, zone, cpu, mem):
        self.fleet = fleet
        self.name = name
        self.pool = pool
        self.host = host
        self.port = port
        self.rack = rack
        self.zone = zone
        self.kind = "a"
        self.capacity = {"cpu": cpu, "mem_mb": mem, "gpu": 0}
        self.state = "up"
        self.minion = None
        self.lives = 0
        self.upkeeps = set()
        self.server = Server(self.handle)
        self.deliver = None  # a test's proxy: async (machine, request) -> answer or None

    async def handle(self, request):
        if self.deliver:
            answer = await self.deliver(self, request)
            if answer is not None:
                return answer
        if self.minion is None:
            return RESET
        return await self.minion.handle(request)

    async def begin_life(self, same_id=False):
        if self.fleet.is_standby(self.pool):
            self.minion = None
            return
        if not same_id or self.minion is None:
            self.lives += 1
        id_ = f"i{self.name[1:]}-{self.lives}"
        self.minion = Minion(self.fleet, id_, self, self.pool)
        self.fleet.record.add(f"minion   {id_} of {self.name} joins {self.pool}")
        await self.fleet.store.put("servers", id_, self.minion.entry())

    async def end_life(self, leaves_entry=False):
        minion = self.minion
        if minion is None:
            return
        self.minion = None
        minion.die()
        self.server.reset_all()
        if not leaves_entry:
            await self.fleet.store.remove("servers", minion.id)

    async def change(self, state, seconds):
        self.state = state
        await self.end_life()
        await asyncio.sleep(seconds)
        self.state = "up"
        await self.begin_life()


class Fleet:
    """The minions, the list of machines and the orders about them."""

    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.ledger = Ledger(record)
        self.jobs = {}
        self.attempts = {}
        self.machines = {}
        self.standby = set()
        self.orders = []  # (time, holder, fence, machine, what, status)
        self.on_order = lambda order: None
        self.on_start = lambda minion, task, run, body: None
        self.on_end = lambda minion, task, run, how: None

    def is_standby(self, pool):
        return pool in self.standby

    async def add(self, name, pool, host, port, rack, zone, cpu=32000, mem=131072):
        machine = Machine(self, name, pool, host, port, rack, zone, cpu, mem)
        self.machines[name] = machine
        await machine.server.start(host, port)
        await machine.begin_life()
        return machine

    async def cloud(self, request):
        await asyncio.sleep(0.003)
        if request.path == "/machines":
            rows = [{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone,
                     "labels": [m.kind, m.rack], "capacity": m.capacity,
                     "id": m.minion.id if m.minion else ""} for m in self.machines.values()]
            return 200, {"machines": rows, "next_token": ""}
        body = request.json()
        machine = self.machines.get(body.get("machine"))
        holder = request.headers.get("x-duty-holder", "")
        fence = int(request.headers.get("x-fencing-token", "0") or 0)
        if request.path == "/machine-move":
            what = "move to " + body["pool"]
        else:
            what = f"upkeep for wave {body.get('wave')}"
        status, reason = self.order(machine, request.path, body)
        order = (self.record.seconds(), holder, fence, body.get("machine"), what, status)
        self.orders.append(order)
        self.record.add(f"order    {holder} fence {fence}: {body.get('machine')} {what}:"
                        f" {status} {reason or ''}")
        self.on_order(order)
        return status, ({"reason": reason} if reason else {})

    def order(self, machine, path, body):
        if machine is None:
            return 400, None
        if path == "/machine-move":
            if machine.pool == body["pool"] and machine.state in ("up", "moving"):
                return 200, None
            if machine.state != "up":
                return 409, "busy"
            machine.pool = body["pool"]
            asyncio.ensure_future(machine.change("moving", BOUNDS["migrate_s"]))
            return 200, None
        if body["wave"] in machine.upkeeps:
            return 200, None
        if machine.state != "up":
            return 409, "busy"
        machine.upkeeps.add(body["wave"])
        asyncio.ensure_future(machine.change("upkeep", BOUNDS["maintenance_s"]))
        return 200, None


# --------------------------------------------------------------------------------- the system


def render(template, fields):
    """Fills the placeholders of a template of settings."""
    section = re.compile(r"{{([#^])([^{}|]+)}}(.*?){{/\2}}", re.S)
    value = re.compile(r"{{([^{}#^/|]+)(\|json)?}}")

    def find(path, scopes):
        if path == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            at = scope
            for name in path.split("."):
                if isinstance(at, dict) and name in at:
                    at = at[name]
                elif isinstance(at, list) and name.isdigit() and int(name) < len(at):
                    at = at[int(name)]
                else:
                    at = None
                    break
            if at is not None:
                return at
        return None

    def text(item):
        if item is None:
            return ""
        if isinstance(item, list):
            return ",".join(text(part) for part in item)
        if isinstance(item, bool) or isinstance(item, dict):
            return json.dumps(item)
        return str(item)

    def fill(part, scopes):
        def one(match):
            item = find(match.group(2), scopes)
            if match.group(1) == "^":
                return "" if item else fill(match.group(3), scopes)
            if item is None or item is False:
                return ""
            items = item if isinstance(item, list) else [item]
            return "".join(fill(match.group(3), scopes + [each]) for each in items)
        part = section.sub(one, part)
        return value.sub(lambda m: json.dumps(find(m.group(1), scopes)) if m.group(2)
                         else text(find(m.group(1), scopes)), part)

    return fill(template, [fields])


def deploy_command():
    for line in open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8"):
        if line.startswith("run ="):
            return line.split('"')[1].split(" ")
    raise RuntimeError("no command in the deploy file")


class Node:
    """One entry VM: the project's own program as a process."""

    def __init__(self, system, number, cpu_share):
        self.system = system
        self.number = number
        self.name = f"edge-{number}"
        self.host = f"127.0.{system.net}.{number}"
        self.cpu_share = cpu_share
        self.process = None
        self.starts = []
        self.log = open(os.path.join(system.folder, self.name + ".log"), "ab")

    def settings(self):
        base = self.system.base
        return {
            "node_name": self.name, "role": "entry", "machine_class": "edge", "serves": ["edge"],
            "ip": self.host, "zone": "zone-a", "region": "region",
            "zones": {"zone-a": "region"},
            "listen": {"front": f"{self.host}:{base}", "readiness": f"{self.host}:{base + 1}"},
            "internal_ports": [base + 2, base + 9], "seeds": [], "bootstrap": True,
            "limits": {"cpu_share": self.cpu_share, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform",
                          "upkeep"],
            "bounds": BOUNDS, "orders": "invoke",
            "platform": {"addr": f"127.0.{self.system.net}.200:{base + 100 + self.number}",
                         "form": "table", "writes_per_s": 600, "reads_per_s": 2000,
                         "tx_ms": 6.0, "partition_writes_s": 200, "row_bytes": 65536},
            "cloud_api": {"addr": f"127.0.{self.system.net}.200:{base + 10}", "rate_per_s": 64.0,
                          "duty_per_s": 64.0},
        }

    def start(self):
        template = open(os.path.join(ROOT, "deploy", "settings.toml.template"),
                        encoding="utf-8").read()
        path = os.path.join(self.system.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(template, self.settings()))
        words = deploy_command()
        words[0] = os.path.join(ROOT, words[0])
        words[words.index("--settings") + 1] = path
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL)
        self.starts.append(self.system.record.seconds())
        self.system.record.add(f"process  {self.name} started")

    def send(self, number):
        self.system.record.add(f"process  {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_end(self, seconds):
        end = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.system.record.add(f"process  {self.name} ended {self.process.returncode}")

    async def is_ready(self):
        status, _ = await call(self.host, self.system.base + 1, "GET", "/readyz",
                               {"Host": self.host}, timeout=1)
        return status == 200

    async def request(self, method, target, body=None, timeout=3.0):
        headers = {"Host": self.system.client_host, "X-Deadline-Ms": str(int(timeout * 1000))}
        status, text = await call(self.host, self.system.base, method, target, headers, body,
                                  timeout)
        shown = text.strip().replace("\n", " ")[:80]
        self.system.record.add(f"client   {method} {target} at {self.name}: {status} {shown}")
        return status, text

    def log_text(self):
        self.log.flush()
        return open(self.log.name, encoding="utf-8", errors="replace").read()


def is_free(host, port):
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
            return True
        except OSError:
            return False


class System:
    """A small deployment: the platform's stand-ins and the project's processes."""

    client_host = "jobs.example"

    def __init__(self, record_path, nodes=3, shares=None):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = 1 + os.getpid() % 200
        self.base = next(port for port in range(21000, 60000, 1000)
                         if all(is_free("127.0.0.1", port + i) for i in (0, 1, 2, 10, 101)))
        self.store = Store(self.record)
        self.fleet = Fleet(self.record, self.store)
        shares = shares or [0.25] * nodes
        self.nodes = [Node(self, i + 1, share) for i, share in enumerate(shares)]
        self.servers = []
        self.config = {"version": 3, "routes": [], "services": [], "limits": {}}
        self.tasks = []

    @property
    def platform_host(self):
        return f"127.0.{self.net}.200"

    def add_queue(self, name, service, priority=0, attempts=3):
        self.config["routes"].append(
            {"name": name, "host": self.client_host, "path_prefix": f"/{name}/",
             "service": service, "kind": "non_idempotent", "timeout_ms": 3000,
             "priority": priority, "max_attempts": attempts, "stretch_factor": 1.6,
             "target_duration_ms": 600})

    def add_service(self, name, standby=False):
        self.config["services"].append(
            {"name": name, "rejects_overload": True, "standby": standby,
             "health_path": "/healthz", "max_conns": 64})
        if standby:
            self.fleet.standby.add(name)

    async def begin(self):
        await self.store.put("op", "config", self.config)
        for node in self.nodes:
            server = Server(lambda request, node=node: self.store.handle(node, request))
            await server.start(self.platform_host, self.base + 100 + node.number)
            self.servers.append(server)
        cloud = Server(self.fleet.cloud)
        await cloud.start(self.platform_host, self.base + 10)
        self.servers.append(cloud)

    async def add_machines(self, count, pool, first=0, cpu=32000, per_rack=4):
        for i in range(first, first + count):
            await self.fleet.add(f"m{i}", pool, f"127.0.{self.net}.{100 + i}", self.base + 20,
                                 f"r{i // per_rack}", "zone-a", cpu=cpu)

    async def start_nodes(self):
        for node in self.nodes:
            node.start()
        for _ in range(150):
            if all([await node.is_ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the system doesn't get ready")

    def leader(self):
        """The node that acts: the holder of the newest lease in the store, from its row's bytes."""
        row = self.store.value("lease", "lease", "lease")
        found = [node for node in self.nodes if row and node.name.encode() in row[:40]]
        return found[0] if found else None

    async def call(self, node, method, target, headers, body, timeout):
        """A call of a client that leaves after `timeout`, whatever its headers say."""
        status, text = await call(node.host, self.base, method, target, headers, body, timeout)
        shown = text.strip().replace("\n", " ")[:80]
        self.record.add(f"client   {method} {target} at {node.name}: {status} {shown}")
        return status, text

    async def submit(self, node, queue, job, body, millis, timeout=3.0, tries=4):
        self.fleet.jobs[job] = Job(body, millis)
        for _ in range(tries):
            status, _ = await node.request("POST", f"/{queue}/{job}", body, timeout)
            if status is not None and status not in (502, 503, 504, 429):
                return status
            await asyncio.sleep(0.5)
        return status

    async def end(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.terminate()
        for node in self.nodes:
            if node.process:
                await node.wait_end(7)
        for machine in self.fleet.machines.values():
            await machine.end_life()
            await machine.server.close()
        for server in self.servers:
            await server.close()


def run_case(case, folder, seconds=110):
    """Runs `case(system_factory)`; returns 1 if it returns texts of broken rules, 0 if it returns
    none, 2 if it could not run. The name of the record is the script's argument."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if len(sys.argv) != 2:
        print("usage: case.py RECORD")
        return 2
    path = os.path.join(folder, sys.argv[1])
    systems = []

    def factory(**options):
        system = System(path, **options)
        system.record.add(f"trouble {'on' if trouble else 'off'}")
        systems.append(system)
        return system

    async def main():
        # An early end of the script still ends the processes that it started.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(factory, trouble), seconds)
        finally:
            for system in systems:
                await system.end()

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, nothing was judged
        print(f"could not run: {type(error).__name__} {error}")
        return 2
    record = systems[0].record
    for text in broken:
        record.add("VERDICT " + text)
        print(text)
    record.add(f"VERDICT {'broken' if broken else 'held'}")
    print("broken" if broken else "held", f"(logs of the processes: {systems[0].folder})")
    return 1 if broken else 0
