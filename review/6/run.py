"""A host freezes with requests unread, and reads them after their clients asked again."""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from http_small import _read_head  # noqa: E402
from world import HOST, PREFIX, CannotRun, run_case  # noqa: E402

# A machine of the grown installation: 0.516 of a core, 200 MB. It carries 39 workers,
# so each zone has a group of its own from 40 workers on.
SIZE = {"share": 0.516, "cores": 1, "memory": 200, "link_mbps": 100.0}
WORKERS = 42
FREEZE_S = 3.5
LIMIT_S, RESEND_S = 1.5, 1.3
ROUNDS, CALLERS = 3, 6
TASK_MS = 900.0


class Channel:
    """A client's open channel to a host; it carries one request at a time."""

    def __init__(self, world, host):
        self.world, self.host = world, host

    async def open(self):
        ip, _, port = self.host.front.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))

    async def send(self, job, limit_s):
        """Send a job and return its status, 0 without an answer within the limit."""
        data = json.dumps(self.world.jobs[job]).encode()
        head = (
            f"POST {PREFIX}{job} HTTP/1.1\r\nHost: {HOST}\r\n"
            "Content-Type: application/json\r\n"
            f"X-Deadline-Ms: {int(LIMIT_S * 1000)}\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        self.world.say(f"client sends {job} to {self.host.name}")
        status = 0
        try:
            async with asyncio.timeout(limit_s):
                self.writer.write(head.encode() + data)
                while status < 200:
                    first, headers = await _read_head(self.reader)
                    status = int(first.split(" ", 2)[1])
                await self.reader.readexactly(int(headers.get("content-length", 0)))
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            status = 0
        self.world.say(f"client got {status or 'no answer'} for {job}")
        return status

    def close(self):
        self.writer.close()


def new_job(world, run_ms):
    job = world.new_id()
    step = {"count": 2, "cpu": 14000, "mem_mb": 64, "estimate_ms": run_ms}
    world.jobs[job] = {"spec": f"spec-{job}", "best_effort": True, "steps": [step]}
    world.run_times[job] = run_ms
    return job


async def client(world, channel, others):
    """Send a job; without an answer, send it again 1.3 s later to another host."""
    job = new_job(world, TASK_MS)
    status = await channel.send(job, LIMIT_S)
    channel.close()
    if status not in (0, 502, 504):
        return status
    await asyncio.sleep(RESEND_S)
    again = Channel(world, random.choice(others))
    await again.open()
    status = await again.send(job, LIMIT_S)
    again.close()
    return status


async def case(world, trouble):
    for n in range(6):
        world.add_host(n, world.zones[n % 3])
    for n in range(WORKERS):
        world.add_worker(n, world.zones[n % 3], 32000, ["a", f"rack-{n % 6}"])
    await world.start()
    await asyncio.sleep(6.0)
    found = await asyncio.gather(*(h.status() for h in world.hosts))
    leaders = [s.get("leader") for s in found]
    world.say(f"leaders: {leaders}")
    if len(set(leaders)) != 3:
        raise CannotRun(f"not one group a zone: {leaders}")
    statuses = []
    for number in range(ROUNDS):
        zone = world.zones[number % 3]
        frozen = next(
            h for h in world.hosts if h.zone == zone and h.name not in leaders
        )
        others = [h for h in world.hosts if h.zone != zone]
        channels = [Channel(world, frozen) for _ in range(CALLERS)]
        for channel in channels:
            await channel.open()
            if await channel.send(new_job(world, 60.0), LIMIT_S) != 200:
                raise CannotRun("a calm request was not served")
        begin = time.monotonic()
        if trouble:
            frozen.signal(signal.SIGSTOP)
            world.say(f"{frozen.name} freezes")
        calls = []
        for channel in channels:
            calls.append(asyncio.create_task(client(world, channel, others)))
            await asyncio.sleep(0.1)
        await asyncio.sleep(begin + FREEZE_S - time.monotonic())
        if trouble:
            world.say(f"{frozen.name} wakes")
            frozen.signal(signal.SIGCONT)
        statuses += await asyncio.gather(*calls)
        await asyncio.sleep(5.0)
    twice = [text for _, rule, text in world.broken if rule == "TWICE"]
    return {"broken": len(twice), "first": twice[:3], "statuses": statuses}


run_case(case, record=HERE / "record.txt", size=SIZE)
