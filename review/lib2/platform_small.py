"""Stand-ins of the platform's store and of workers, as PROTOCOL.md tells them."""

import asyncio
import base64
import json
import struct
import time

from http_small import Reset, Server, Silence, reply


class Store:
    """The keyed topics of the store; each host reaches it at an address of its own."""

    def __init__(self):
        self.records = {}
        self._changed = asyncio.Condition()
        self.doors = {}

    async def write(self, topic, key, value):
        """Append a record as the operator or a worker; empty bytes delete the key."""
        async with self._changed:
            self.records.setdefault(topic, []).append((key, value))
            self._changed.notify_all()

    async def write_json(self, topic, key, body):
        await self.write(topic, key, json.dumps(body).encode())

    def add_door(self, name, address):
        door = Door(self, address)
        self.doors[name] = door
        return door


class Door:
    """The way of one host to the store. `mode`: ok, busy, reset or silent."""

    def __init__(self, store, address):
        self._store = store
        self.address = address
        self.mode = "ok"
        self.server = Server(address, self._handle)

    def _check(self):
        if self.mode == "silent":
            raise Silence
        if self.mode == "reset":
            raise Reset

    async def _handle(self, request):
        self._check()
        if self.mode == "busy":
            return reply({}, 503)
        answer = await self._answer(request)
        self._check()
        return answer

    async def _answer(self, request):
        topic = request.query.get("topic", "")
        records = self._store.records.setdefault(topic, [])
        if request.path == "/log-newest":
            return self._newest(records)
        if request.path == "/log-read":
            return await self._read(request, records)
        if request.path == "/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return reply({}, 403)
            return await self._append(request, topic)
        return reply({}, 404)

    def _newest(self, records):
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        items = [
            {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
            for k, (v, o) in newest.items()
        ]
        return reply({"items": items, "more": False, "end": len(records)})

    async def _read(self, request, records):
        start = int(request.query.get("from", 0))
        wait_s = int(request.query.get("wait_ms", 0)) / 1000.0
        changed = self._store._changed
        async with changed:
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait_for(
                        lambda: len(records) > start or self.mode != "ok"
                    )
            except TimeoutError:
                pass
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            name = key.encode()
            record = bytes([len(name)]) + name + value
            data += struct.pack(">I", len(record)) + record
        return 200, {"Content-Type": "application/octet-stream"}, data

    async def _append(self, request, topic):
        body, at, first = request.body, 0, None
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            record = body[at + 4 : at + 4 + length]
            key = record[1 : 1 + record[0]].decode()
            if first is None:
                first = len(self._store.records[topic])
            await self._store.write(topic, key, record[1 + record[0] :])
            at += 4 + length
        return reply({"offset": first or 0, "end": len(self._store.records[topic])})

    async def set_mode(self, mode):
        self.mode = mode
        async with self._store._changed:
            self._store._changed.notify_all()
        if mode == "reset":
            for writer in list(self.server._writers):
                writer.transport.abort()


class Worker:
    """A worker that doesn't guard its capacity, and notes all that it starts.

    `jobs` maps a job's id to its body, so that the use of each task is known. `slow`
    is by how much its clock is slow.
    """

    HOLD_MAX_MS = 1000
    STOP_S = 0.02

    def __init__(self, world, name, address, zone, service, cpu, labels, run_ms):
        self.world = world
        self.name, self.address, self.zone = name, address, zone
        self.service, self.cpu, self.labels = service, cpu, labels
        self.run_ms = run_ms
        self.server = Server(address, self._handle)
        self.state = "ready"
        self.up = False
        self.faults = {}
        self._beats = None

    async def boot(self):
        """Start with nothing that was before, and register in the store."""
        self.born = int(time.time() * 1000)
        self._t0 = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.runs = {}
        self.ended = []
        self.count = 0
        self.last_run = {}
        self._event = asyncio.Condition()
        self.sequence = 0
        self.up = True
        await self.register()
        await self.server.start()
        self._beats = asyncio.create_task(self._live(self.born))

    async def crash(self):
        self.up = False
        self._beats.cancel()
        await self.server.stop()
        for run in self.runs.values():
            self.world.note("crashed", self, run["task"], run["run"])
        self.runs = {}

    def clock_ms(self):
        return int((time.monotonic() - self._t0) * 1000) + 1000

    async def register(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpus": 0},
            "labels": self.labels,
            "born": self.born,
        }
        await self.world.store.write_json("keyed.servers", self.name, entry)

    async def _live(self, born):
        beat = time.monotonic()
        while self.up and self.born == born:
            await asyncio.sleep(0.004)
            now = time.monotonic()
            if now - beat >= 1.5:
                beat = now
                await self.register()
            for run in list(self.runs.values()):
                if run["stopping"] is not None:
                    if now >= run["stopping"]:
                        await self._end(run, run["why"])
                elif now >= run["ends"]:
                    await self._end(run, "done")
                elif self.clock_ms() >= self.deadline_ms:
                    await self._end(run, "lapsed")

    async def _end(self, run, how):
        self.runs.pop((run["task"], run["run"]), None)
        self.count += 1
        self.ended.append([self.count, run["task"], run["run"], how, ""])
        self.last_run[run["task"]] = max(self.last_run.get(run["task"], 0), run["run"])
        self.world.note(how, self, run["task"], run["run"])
        async with self._event:
            self._event.notify_all()

    async def _handle(self, request):
        if request.path == "/health":
            return reply({})
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return reply({}, 421)
        born = self.born
        body = request.json()
        hook = self.faults.get(request.path)
        if hook is not None:
            await hook(body)
        if body.get("fencing_token", 0) < self.fence:
            return self._refuse("fence")
        self.fence = body.get("fencing_token", 0)
        if request.path == "/run-start":
            answer = self._start(body)
        elif request.path == "/run-stop":
            answer = self._stop(body)
        elif request.path == "/hold":
            answer = await self._hold(body, born)
        else:
            answer = reply({}, 404)
        if self.born != born or not self.up:
            raise Reset
        return answer

    def _refuse(self, reason):
        return reply(
            {"clock_ms": self.clock_ms(), "born": self.born, "reason": reason}, 409
        )

    def _extend(self, deadline_ms):
        if deadline_ms is not None:
            most = self.clock_ms() + self.HOLD_MAX_MS
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, most))

    def _start(self, body):
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(body["deadline_ms"])
        fine = reply({"clock_ms": self.clock_ms(), "born": self.born})
        if (task, number) in self.runs:
            return fine
        if number <= self.last_run.get(task, 0):
            return self._refuse("old")
        self.last_run[task] = number
        now = time.monotonic()
        self.runs[task, number] = {
            "task": task,
            "run": number,
            "at": now,
            "ends": now + self.run_ms(task) / 1000.0,
            "stopping": None,
            "why": "",
        }
        self.world.started(self, task, number, body)
        return fine

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.last_run[task] = max(self.last_run.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and run["stopping"] is None:
            run["stopping"], run["why"] = time.monotonic() + self.STOP_S, "stopped"
        return reply({"clock_ms": self.clock_ms(), "born": self.born})

    async def _hold(self, body, born):
        self._extend(body.get("deadline_ms"))
        seen = body.get("last_seen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        wait_s = min(2000, body.get("wait_ms", 0)) / 1000.0
        if wait_s and not self.ended:
            async with self._event:
                try:
                    async with asyncio.timeout(wait_s):
                        await self._event.wait_for(lambda: self.ended)
                except TimeoutError:
                    pass
        now = time.monotonic()
        running = []
        for run in self.runs.values():
            part = (now - run["at"]) / max(0.001, run["ends"] - run["at"])
            used = self.world.cost(run["task"])
            running.append(
                [run["task"], run["run"], "", int(100 * min(part, 0.99)), used]
            )
        return reply(
            {
                "clock_ms": self.clock_ms(),
                "born": self.born,
                "running": running,
                "ended": self.ended[:500],
            }
        )
