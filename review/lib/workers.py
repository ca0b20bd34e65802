"""Several workers in a process of their own, which answers at once.

Started with: workers.py ADDRESS NAME [ADDRESS NAME ...]. It prints "ready", and then
one event a line, with the time of the steady clock that all processes share.
"""

import asyncio
import json
import sys
import time

from standins import HOLD_MAX_MS, STOP_MS


class Worker:
    """A worker with fences, leases and ends, as PROTOCOL.md tells them."""

    def __init__(self, name):
        self.name = name
        self._fence = 0
        self._deadline_ms = 0
        # By task and run: when it started, when it is done, when it is stopped.
        self._runs = {}
        self._last = {}
        self._ends = []
        self._end_count = 0
        self._zero = time.monotonic() - 100.0
        self._held = []

    @property
    def clock_ms(self):
        """Return the worker's steady clock."""
        return int((time.monotonic() - self._zero) * 1000)

    def tick(self, now):
        """End runs, and answer the calls that wait for an end."""
        for key, (_, done_at, stopped_at) in list(self._runs.items()):
            how = None
            if stopped_at is not None and now >= stopped_at:
                how = "stopped"
            elif self.clock_ms > self._deadline_ms:
                how = "lapsed"
            elif stopped_at is None and now >= done_at:
                how = "done"
            if how:
                del self._runs[key]
                self._last[key[0]] = max(key[1], self._last.get(key[0], 0))
                self._end_count += 1
                self._ends.append([self._end_count, *key, how, ""])
                self._tell("run-end", key, how=how)
        held, self._held = self._held, []
        for until, reply in held:
            if self._ends or now >= until:
                reply(200, self._lists(now))
            else:
                self._held.append((until, reply))

    def _tell(self, kind, key, **fields):
        event = {"at": time.monotonic(), "kind": kind, "worker": self.name}
        event |= {"task": key[0], "run": key[1], **fields}
        sys.stdout.write(json.dumps(event) + "\n")
        sys.stdout.flush()

    def _lists(self, now):
        running = [
            [*key, "", max(0, min(99, int(100 * (now - at) / (done - at)))), 0.0]
            for key, (at, done, _) in self._runs.items()
        ]
        ends = self._ends[:500]
        return {"clock_ms": self.clock_ms, "running": running, "ended": ends}

    def handle(self, path, body, expected, reply):
        """Answer a call of the system."""
        clock = {"clock_ms": self.clock_ms}
        if expected not in (None, self.name):
            return reply(421, clock)
        call = json.loads(body or "{}")
        if call.get("fencing_token", 0) < self._fence:
            return reply(409, clock | {"reason": "fence"})
        self._fence = call.get("fencing_token", 0)
        if path == "/hold":
            self._extend(call.get("deadline_ms") or 0)
            seen = call["last_seen"]
            self._ends = [end for end in self._ends if end[0] > seen]
            now = time.monotonic()
            wait_s = min(2000, call.get("wait_ms", 0)) / 1000
            if self._ends or not wait_s:
                return reply(200, self._lists(now))
            return self._held.append((now + wait_s, reply))
        key = call["task"], call["run"]
        if path == "/run-stop":
            self._last[key[0]] = max(key[1], self._last.get(key[0], 0))
            if key in self._runs and self._runs[key][2] is None:
                at, done, _ = self._runs[key]
                self._runs[key] = (at, done, time.monotonic() + STOP_MS / 1000)
            return reply(200, clock)
        return self._start(key, call, clock, reply)

    def _start(self, key, call, clock, reply):
        if call["deadline_ms"] <= self.clock_ms:
            return reply(409, clock | {"reason": "late"})
        self._extend(call["deadline_ms"])
        if key in self._runs:
            return reply(200, clock)
        if key[1] <= self._last.get(key[0], 0):
            return reply(409, clock | {"reason": "old"})
        now = time.monotonic()
        self._runs[key] = (now, now + json.loads(call["spec"])["run_ms"] / 1000, None)
        self._tell("run-start", key, spec=call["spec"])
        return reply(200, clock)

    def _extend(self, deadline_ms):
        limit = self.clock_ms + HOLD_MAX_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, limit))


class Channel(asyncio.Protocol):
    """One channel: a call at a time."""

    def __init__(self, worker):
        self._worker = worker
        self._data = b""
        self._transport = None

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data):
        """Handle the calls that are complete."""
        self._data += data
        while (end := self._data.find(b"\r\n\r\n")) >= 0:
            lines = self._data[:end].decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in lines[1:])
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            whole = end + 4 + int(headers.get("content-length", "0"))
            if len(self._data) < whole:
                return
            body, self._data = self._data[end + 4 : whole], self._data[whole:]
            path = lines[0].split(" ")[1]
            expected = headers.get("x-expect-instance")
            self._worker.handle(path, body, expected, self._reply)

    def _reply(self, status, body):
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        head += f"Content-Length: {len(data)}\r\n\r\n"
        if not self._transport.is_closing():
            self._transport.write(head.encode() + data)


async def main(arguments):
    """Serve workers until the process is ended."""
    loop = asyncio.get_running_loop()
    workers = []
    for address, name in zip(arguments[::2], arguments[1::2], strict=True):
        worker = Worker(name)
        host, port = address.split(":")
        await loop.create_server(lambda w=worker: Channel(w), host, int(port))
        workers.append(worker)
    sys.stdout.write("ready\n")
    sys.stdout.flush()
    while True:
        await asyncio.sleep(0.003)
        now = time.monotonic()
        for worker in workers:
            worker.tick(now)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
