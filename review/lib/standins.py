"""Stand-ins of the platform: its store, and workers that run tasks.

They follow PROTOCOL.md. Where the page leaves something open they do what a sound store
or worker does. Only what the scripts need is built.
"""

import asyncio
import base64
import json
import struct
import sys
import time
from pathlib import Path

from http11 import serve

# Bounds of the settings sheet (RAMDENEE, DERINSU): hold_max_ms and stop_timeout_ms.
HOLD_MAX_MS = 1000
STOP_MS = 20


class Record:
    """All that is sent, answered and run, with times in seconds since the start."""

    def __init__(self):
        self._zero = time.monotonic()
        self.events = []

    def now(self):
        """Return the time since the start."""
        return time.monotonic() - self._zero

    def add(self, kind, **fields):
        """Add an event."""
        event = {"t": round(self.now(), 3), "kind": kind, **fields}
        self.events.append(event)
        return event

    def add_at(self, at, **fields):
        """Add an event of another process, with the time of the steady clock."""
        self.events.append({"t": round(at - self._zero, 3), **fields})

    def overlaps(self, least_s):
        """Return what runs of one task worked at the same time, as texts."""
        ends = {
            (e["task"], e["run"], e["worker"]): e["t"]
            for e in self.events
            if e["kind"] == "run-end"
        }
        runs = {}
        for e in self.events:
            if e["kind"] == "run-start":
                end = ends.get((e["task"], e["run"], e["worker"]), self.now())
                span = (e["t"], end, e["worker"], e["run"])
                runs.setdefault(e["task"], []).append(span)
        found = []
        for task, spans in runs.items():
            spans.sort()
            for one, other in zip(spans, spans[1:], strict=False):
                overlap = min(one[1], other[1]) - other[0]
                if overlap > least_s:
                    found.append(
                        f"{task}: run {one[3]} on {one[2]} and run {other[3]} on "
                        f"{other[2]} worked at the same time for {overlap:.3f} s, from "
                        f"second {other[0]:.3f} on"
                    )
        return found

    def write(self, path):
        """Write one event a line."""
        events = sorted(self.events, key=lambda event: event["t"])
        lines = [json.dumps(event) for event in events]
        path.write_text("\n".join(lines) + "\n")


class Store:
    """Keyed topics in a log, each with one partition."""

    def __init__(self):
        self._topics = {}
        # How long an answer takes: 4 ms on the sheet.
        self.answer_s = 0.004
        self._changed = asyncio.Condition()

    async def put(self, topic, key, value):
        """Append a record, as the operator or a worker does."""
        async with self._changed:
            self._topics.setdefault(topic, []).append((key, value))
            self._changed.notify_all()

    def newest(self, topic):
        """Return the newest value of each key."""
        values = {}
        for key, value in self._topics.get(topic, []):
            values.pop(key, None)
            if value:
                values[key] = value
        return values

    async def handle(self, request, view=bytes):
        """Answer a call of the system; `view` translates addresses in values."""
        topic = request.query.get("topic", "")
        await asyncio.sleep(self.answer_s)
        if request.path == "/log-append":
            return await self._append(topic, request.body)
        if request.path == "/log-newest":
            items = [
                {"key": key, "value": base64.b64encode(view(value)).decode(), "offset": 0}
                for key, value in self.newest(topic).items()
            ]
            end = len(self._topics.get(topic, []))
            return 200, json.dumps({"items": items, "more": False, "end": end}).encode()
        if request.path == "/log-read":
            return await self._read(topic, request, view)
        return 404, b"{}"

    async def _append(self, topic, data):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        position, offset = 0, len(self._topics.get(topic, []))
        while position < len(data):
            (length,) = struct.unpack_from(">I", data, position)
            record = data[position + 4 : position + 4 + length]
            key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
            await self.put(topic, key, value)
            position += 4 + length
        end = len(self._topics.get(topic, []))
        return 200, json.dumps({"offset": offset, "end": end}).encode()

    async def _read(self, topic, request, view):
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000

        def available():
            return len(self._topics.get(topic, [])) > start

        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait_for(available), wait_s)
            except (asyncio.TimeoutError, TimeoutError):
                pass
        records = self._topics.get(topic, [])
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            record = bytes([len(key.encode())]) + key.encode() + view(value)
            data += struct.pack(">I", len(record)) + record
        return 200, data


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, ends_at, fails, started_at):
        self.task, self.number = task, number
        self.ends_at, self.fails, self.started_at = ends_at, fails, started_at
        self.stopped_at = None


class Worker:
    """A worker with fences, leases and ends, as PROTOCOL.md tells them.

    The spec of a job is a JSON text; `run_ms` there is how long each task works.
    """

    def __init__(self, name, record):
        self.name = name
        self._record = record
        self._fence = 0
        self._deadline_ms = 0
        self._runs = {}
        self._last_number = {}
        self._ends = []
        self._end_count = 0
        self._zero = time.monotonic() - 100.0
        self._changed = asyncio.Condition()

    @property
    def clock_ms(self):
        """Return the worker's steady clock."""
        return int((time.monotonic() - self._zero) * 1000)

    async def tick(self):
        """End runs that are done, stopped or whose lease has lapsed; never returns."""
        while True:
            await asyncio.sleep(0.004)
            now = time.monotonic()
            ended = False
            for run in list(self._runs.values()):
                how = None
                if run.stopped_at is not None and now >= run.stopped_at:
                    how = "stopped"
                elif self.clock_ms > self._deadline_ms:
                    how = "lapsed"
                elif run.stopped_at is None and now >= run.ends_at:
                    how = "failed" if run.fails else "done"
                if how:
                    self._end(run, how)
                    ended = True
            if ended:
                async with self._changed:
                    self._changed.notify_all()

    def _end(self, run, how):
        del self._runs[run.task, run.number]
        self._last_number[run.task] = max(
            run.number, self._last_number.get(run.task, 0)
        )
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.number, how, ""])
        self._record.add(
            "run-end", worker=self.name, task=run.task, run=run.number, how=how
        )

    async def handle(self, request):
        """Answer a call of the system."""
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.name):
            return 421, json.dumps({"clock_ms": self.clock_ms}).encode()
        if request.path == "/health":
            return 200, b"{}"
        await asyncio.sleep(0.001)
        body = json.loads(request.body)
        actions = {
            "/run-start": self._start,
            "/run-stop": self._stop,
            "/hold": self._hold,
        }
        if request.path not in actions:
            return 404, b"{}"
        return await actions[request.path](body)

    def _reply(self, reason=""):
        body = {"clock_ms": self.clock_ms}
        if reason:
            return 409, json.dumps({**body, "reason": reason}).encode()
        return 200, json.dumps(body).encode()

    def _accept_fence(self, body):
        fence = body.get("fencing_token", 0)
        if fence < self._fence:
            return False
        self._fence = fence
        return True

    def _extend(self, deadline_ms):
        limit = self.clock_ms + HOLD_MAX_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, limit))

    async def _start(self, body):
        task, number = body["task"], body["run"]
        told = {"worker": self.name, "task": task, "run": number}
        if not self._accept_fence(body):
            return self._reply("fence")
        if body["deadline_ms"] <= self.clock_ms:
            return self._reply("late")
        self._extend(body["deadline_ms"])
        if (task, number) in self._runs:
            return self._reply()
        if number <= self._last_number.get(task, 0):
            return self._reply("old")
        spec = json.loads(body["spec"] or "{}")
        now = time.monotonic()
        ends_at = now + spec.get("run_ms", 100) / 1000
        self._runs[task, number] = Run(
            task, number, ends_at, spec.get("fails", False), now
        )
        self._record.add("run-start", **told, spec=body["spec"])
        return self._reply()

    async def _stop(self, body):
        if not self._accept_fence(body):
            return self._reply("fence")
        task, number = body["task"], body["run"]
        self._last_number[task] = max(number, self._last_number.get(task, 0))
        run = self._runs.get((task, number))
        if run is not None and run.stopped_at is None:
            run.stopped_at = time.monotonic() + STOP_MS / 1000
        return self._reply()

    async def _hold(self, body):
        if not self._accept_fence(body):
            return self._reply("fence")
        if body.get("deadline_ms"):
            self._extend(body["deadline_ms"])
        seen = body["last_seen"]
        self._ends = [end for end in self._ends if end[0] > seen]
        wait_s = min(2.0, body.get("wait_ms", 0) / 1000)
        async with self._changed:
            try:
                await asyncio.wait_for(
                    self._changed.wait_for(lambda: bool(self._ends)), wait_s
                )
            except (asyncio.TimeoutError, TimeoutError):
                pass
        now = time.monotonic()
        running = [
            [run.task, run.number, "", self._percent(run, now), 0.0]
            for run in self._runs.values()
        ]
        reply = {"clock_ms": self.clock_ms, "running": running, "ended": self._ends[:500]}
        return 200, json.dumps(reply).encode()

    def _percent(self, run, now):
        whole = run.ends_at - run.started_at
        return max(0, min(99, int(100 * (now - run.started_at) / whole))) if whole else 99


class Platform:
    """The store and the workers, on loopback addresses."""

    def __init__(self, record, network=None):
        self.record = record
        self.network = network
        self.store = Store()
        self.processes = []
        self._draining, self._gone = set(), set()
        self._changed_states = asyncio.Event()
        self.workers = []
        self._tasks = []
        self._sequence = 0

    async def start_store(self, address):
        """Serve the store."""
        await serve(address, self.store.handle)

    async def start_worker(self, address, zone, service, cpu=32_000):
        """Serve a worker and register it."""
        worker = Worker(f"i-{len(self.workers):08x}", self.record)
        if self.network is None:
            await serve(address, worker.handle)
        else:
            await self.network.serve_worker(address[0], zone, worker.handle)
        self.workers.append(worker)
        entry = _entry(address, zone, service, cpu)
        self._tasks.append(asyncio.create_task(worker.tick()))
        self._tasks.append(asyncio.create_task(self._beat(worker.name, entry)))

    async def start_workers(self, rows, service, cpu=32_000):
        """Serve workers in a process of their own; `rows` are addresses and zones."""
        names = [f"i-{len(self.workers) + n:08x}" for n in range(len(rows))]
        self.workers += names
        arguments = []
        for (address, _), name in zip(rows, names, strict=True):
            arguments += [f"{address[0]}:{address[1]}", name]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).with_name("workers.py")),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
        )
        self.processes.append(process)
        await process.stdout.readline()
        self._tasks.append(asyncio.create_task(self._read_events(process)))
        for ((address, zone), name) in zip(rows, names, strict=True):
            entry = _entry(address, zone, service, cpu)
            self._tasks.append(asyncio.create_task(self._beat(name, entry)))

    async def _read_events(self, process):
        while line := await process.stdout.readline():
            self.record.add_at(**json.loads(line))

    async def _beat(self, name, entry):
        while True:
            self._sequence += 1
            clock_ms = int(time.monotonic() * 1000)
            state = "draining" if name in self._draining else "ready"
            body = {**entry, "state": state, "clock_ms": clock_ms}
            body["sequence"] = self._sequence
            await self.store.put("keyed.servers", name, json.dumps(body).encode())
            if name in self._gone:
                await self.store.put("keyed.servers", name, b"")
                return
            self._changed_states.clear()
            try:
                await asyncio.wait_for(self._changed_states.wait(), 1.5)
            except (asyncio.TimeoutError, TimeoutError):
                pass

    def drain(self, names):
        """Report workers as draining."""
        self._draining |= set(names)
        self._changed_states.set()

    def remove(self, names):
        """Remove the entries of workers that have left."""
        self._gone |= set(names)
        self._changed_states.set()

    def close(self):
        """End the workers' processes."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()


def _entry(address, zone, service, cpu):
    return {
        "service": service,
        "address": f"{address[0]}:{address[1]}",
        "zone": zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "capacity": {"cpu": cpu, "mem_mb": 131_072, "gpus": 0},
        "labels": ["a", "r1"],
    }
