"""Serve a stand-in of the customers' platform over HTTP: a store and its workers."""

import base64
import struct
import time
from dataclasses import dataclass

import msgspec
from circuits import Manager

from jackdawspur.adapters import TimerQueue, split_address
from jackdawspur.standins._fenced_worker import FencedWorker, FencedWorkerCounters
from jackdawspur.standins._http_service import (
    ErrorBody,
    Exchange,
    HttpService,
    not_found,
    serve_until_stopped,
)
from jackdawspur.standins._keyed_store import KeyedStore, split_records

__all__ = ["PlatformReport", "PlatformSettings", "make_platform", "run_platform"]

TICK_S = 0.005
SERVERS = "keyed.servers"
OPERATOR = "keyed.op"
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Say where the store and the workers listen and what the configuration is.

    Each worker has `cpu` thousandths of a core; `zones` are dealt to them in turn.
    `announced` are the addresses at which workers are reached, if not their own.
    """

    store: str
    workers: tuple[str, ...]
    zones: tuple[str, ...]
    configuration: dict
    cpu: int = 32_000
    announced: tuple[str, ...] = ()


class _Start(msgspec.Struct):
    task: str
    run: int
    spec: str
    deadline_ms: int
    fencing_token: int


class _Stop(msgspec.Struct):
    task: str
    run: int
    fencing_token: int


class _Hold(msgspec.Struct):
    fencing_token: int
    last_seen: int = 0
    deadline_ms: int | None = None
    wait_ms: int = 0


class _Faults(msgspec.Struct):
    """Set what goes wrong: the store is away, workers are silent or off the list.

    Workers stand by number.
    """

    store_down: bool = False
    silent: list[int] = []
    unlisted: list[int] = []
    forget: bool = False


class PlatformReport(msgspec.Struct):
    """Tell what all workers counted, and the names of tasks that began and were done.

    `lapsed` counts runs that ended with their lease; the other two must stay zero.
    `twice` names the tasks with two runs at one time.
    """

    starts: int = 0
    over_capacity: int = 0
    two_at_once: int = 0
    lapsed: int = 0
    started: list[str] = []
    done: list[str] = []
    twice: list[str] = []


@dataclass(eq=False)
class _Waiting:
    exchange: Exchange
    until: float


class FencedWorkerService(HttpService):
    """Put one worker behind HTTP; each task takes the same share of it."""

    def __init__(
        self, address: str, worker: FencedWorker, timer_queue, cpu: int
    ) -> None:
        super().__init__(split_address(address), channel=f"worker-{worker.name}")
        self.worker = worker
        self._timer_queue = timer_queue
        self._task_cpu = cpu
        self._born_ms = int(time.time() * MS_PER_S)
        self._waiting: list[_Waiting] = []
        self._tick()

    def serve(self, exchange: Exchange) -> None:
        """Answer one request; a silent worker never does."""
        if self.worker.silent:
            return
        if exchange.path == "/run-start":
            asked = msgspec.json.decode(exchange.body, type=_Start)
            reason = self.worker.start(
                asked.task,
                asked.run,
                asked.spec,
                asked.deadline_ms,
                asked.fencing_token,
                self._task_cpu,
            )
            self._reply(exchange, reason)
        elif exchange.path == "/run-stop":
            asked = msgspec.json.decode(exchange.body, type=_Stop)
            reason = self.worker.stop(asked.task, asked.run, asked.fencing_token)
            self._reply(exchange, reason)
        elif exchange.path == "/hold":
            self._hold(exchange)
        else:
            not_found(exchange)

    def _hold(self, exchange: Exchange) -> None:
        asked = msgspec.json.decode(exchange.body, type=_Hold)
        reason = self.worker.hold(
            asked.fencing_token, asked.last_seen, asked.deadline_ms
        )
        if reason:
            self._reply(exchange, reason)
            return
        until = self._timer_queue.now + asked.wait_ms / MS_PER_S
        self._waiting.append(_Waiting(exchange, until))
        self._answer_waiting()

    def _answer_waiting(self) -> None:
        now = self._timer_queue.now
        for waiting in list(self._waiting):
            if self.worker.unseen or now >= waiting.until:
                self._waiting.remove(waiting)
                running, ended = self.worker.rows()
                body = {"running": running, "ended": ended, "born": self._born_ms}
                waiting.exchange.reply({"clock_ms": self.worker.clock_ms, **body})

    def _reply(self, exchange: Exchange, reason: str) -> None:
        body = {"clock_ms": self.worker.clock_ms}
        if reason:
            exchange.reply({**body, "reason": reason}, 409)
        else:
            exchange.reply(body)

    def _tick(self) -> None:
        self.worker.tick()
        if not self.worker.silent:
            self._answer_waiting()
        self._timer_queue.call_later(TICK_S, self._tick)


class StoreService(HttpService):
    """Put the store behind HTTP, and set faults and report there too."""

    def __init__(self, settings: PlatformSettings, timer_queue: TimerQueue) -> None:
        super().__init__(split_address(settings.store), channel="platform-store")
        self._store = KeyedStore()
        self._timer_queue = timer_queue
        self._tally = FencedWorkerCounters()
        self._faults = _Faults()
        self._waiting: list[tuple[_Waiting, str, int]] = []
        document = msgspec.json.encode(settings.configuration)
        self._store.append(OPERATOR, "config", document)
        self._entries: list[bytes] = []
        self.workers = [self._worker(n, settings) for n in range(len(settings.workers))]
        self._tick()

    def _worker(self, number: int, settings: PlatformSettings) -> FencedWorker:
        name = f"w{number}"
        entry = {
            "service": settings.configuration["routes"][0]["service"],
            "address": (settings.announced or settings.workers)[number],
            "zone": settings.zones[number % len(settings.zones)],
            "capacity": {"cpu": settings.cpu, "mem_mb": 131_072, "gpus": 0},
            "labels": [],
        }
        self._entries.append(msgspec.json.encode(entry))
        self._store.append(SERVERS, name, self._entries[number])
        clock = lambda: self._timer_queue.now  # noqa: E731
        return FencedWorker(name, settings.cpu, self._tally, clock)

    def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/faults":
            self._set_faults(exchange)
        elif exchange.path == "/report":
            tally = self._tally
            exchange.reply(
                PlatformReport(
                    tally.starts,
                    tally.over_capacity,
                    tally.two_at_once,
                    tally.lapsed,
                    sorted(tally.running),
                    sorted(tally.done),
                    tally.twice,
                )
            )
        elif self._faults.store_down:
            exchange.reply(ErrorBody("the store is down"), 503)
        elif exchange.path == "/log-append":
            self._append(exchange)
        elif exchange.path == "/log-newest":
            self._newest(exchange)
        elif exchange.path == "/log-read":
            self._read(exchange)
        else:
            not_found(exchange)

    def _set_faults(self, exchange: Exchange) -> None:
        before = self._faults.unlisted
        self._faults = msgspec.json.decode(exchange.body, type=_Faults)
        for number, worker in enumerate(self.workers):
            worker.silent = number in self._faults.silent
            unlisted = number in self._faults.unlisted
            if unlisted != (number in before):
                entry = b"" if unlisted else self._entries[number]
                self._store.append(SERVERS, worker.name, entry)
        if self._faults.forget:
            for topic in (OPERATOR, SERVERS):
                self._store.forget(topic)
        exchange.reply(self._faults)

    def _append(self, exchange: Exchange) -> None:
        topic, offset = exchange.text("topic"), 0
        for key, value in split_records(exchange.body):
            offset = self._store.append(topic, key, value)
        exchange.reply({"offset": offset, "end": offset + 1})
        self._answer_readers()

    def _newest(self, exchange: Exchange) -> None:
        values, end = self._store.newest(exchange.text("topic"))
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
            for key, value in values.items()
        ]
        exchange.reply({"items": items, "more": False, "end": end})

    def _read(self, exchange: Exchange) -> None:
        until = self._timer_queue.now + exchange.call_id("wait_ms") / MS_PER_S
        waiting = _Waiting(exchange, until)
        entry = (waiting, exchange.text("topic"), exchange.whole("from"))
        self._waiting.append(entry)
        self._answer_readers()

    def _answer_readers(self) -> None:
        now = self._timer_queue.now
        for entry in list(self._waiting):
            waiting, topic, offset = entry
            found = self._store.read(topic, offset)
            if found is None:
                waiting.exchange.reply({"first": 0}, 410)
            elif found[0] or now >= waiting.until:
                data, end, first = found
                waiting.exchange.reply_bytes(struct.pack(">QQ", end, first) + data)
            else:
                continue
            self._waiting.remove(entry)

    def _tick(self) -> None:
        self._answer_readers()
        self._timer_queue.call_later(10 * TICK_S, self._tick)


def make_platform(
    settings: PlatformSettings, root: Manager, timer_queue: TimerQueue
) -> StoreService:
    """Register a store and its workers at a loop."""
    store = StoreService(settings, timer_queue).register(root)
    for address, worker in zip(settings.workers, store.workers, strict=True):
        FencedWorkerService(address, worker, timer_queue, settings.cpu // 2).register(
            root
        )
    return store


def run_platform(settings: PlatformSettings) -> None:
    """Serve the stand-in until the process is told to stop."""
    serve_until_stopped(
        lambda root, timer_queue: make_platform(settings, root, timer_queue)
    )
