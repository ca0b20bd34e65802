"""HTTP stand-in of the customers' platform: a store and workers."""

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
    """Addresses of the store and the workers, and the configuration in the store.

    Each worker has `cpu` thousandths of a core; `zones` are assigned to workers in
    rotation. `announced` are the workers' addresses in the store, if they differ from
    `workers`.
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
    """Faults of the store and of workers, which are given by index.

    `silent` workers send no replies, `unlisted` ones are removed from the list, and
    `forget` compacts the topics of the store.
    """

    store_down: bool = False
    silent: list[int] = []
    unlisted: list[int] = []
    forget: bool = False


class PlatformReport(msgspec.Struct):
    """Counters of all workers, and the names of tasks that were started and done.

    `lapsed` counts runs that ended because their lease expired; `over_capacity` and
    `two_at_once` must stay zero. `twice` has the starts of tasks already running.
    """

    starts: int = 0
    over_capacity: int = 0
    two_at_once: int = 0
    lapsed: int = 0
    started: list[str] = []
    done: list[str] = []
    twice: list[str] = []


@dataclass(eq=False)
class _PendingExchange:
    exchange: Exchange
    deadline: float


class FencedWorkerService(HttpService):
    """Serves one worker over HTTP; each task takes the same amount of its CPU."""

    def __init__(
        self, address: str, worker: FencedWorker, timer_queue, cpu: int
    ) -> None:
        super().__init__(split_address(address), channel=f"worker-{worker.name}")
        self.worker = worker
        self._timer_queue = timer_queue
        self._task_cpu = cpu
        self._incarnation_ms = int(time.time() * MS_PER_S)
        self._pending: list[_PendingExchange] = []
        self._tick()

    def serve(self, exchange: Exchange) -> None:
        """Answer a request, unless the worker is set to be unresponsive."""
        if self.worker.unresponsive:
            return
        if exchange.path == "/run-start":
            request = msgspec.json.decode(exchange.body, type=_Start)
            reason = self.worker.start(
                request.task,
                request.run,
                request.spec,
                request.deadline_ms,
                request.fencing_token,
                self._task_cpu,
            )
            self._reply(exchange, reason)
        elif exchange.path == "/run-stop":
            request = msgspec.json.decode(exchange.body, type=_Stop)
            reason = self.worker.stop(request.task, request.run, request.fencing_token)
            self._reply(exchange, reason)
        elif exchange.path == "/hold":
            self._poll(exchange)
        else:
            not_found(exchange)

    def _poll(self, exchange: Exchange) -> None:
        request = msgspec.json.decode(exchange.body, type=_Hold)
        reason = self.worker.poll(
            request.fencing_token, request.last_seen, request.deadline_ms
        )
        if reason:
            self._reply(exchange, reason)
            return
        deadline = self._timer_queue.now + request.wait_ms / MS_PER_S
        self._pending.append(_PendingExchange(exchange, deadline))
        self._answer_polls()

    def _answer_polls(self) -> None:
        now = self._timer_queue.now
        for pending in list(self._pending):
            if self.worker.unacknowledged_end_count or now >= pending.deadline:
                self._pending.remove(pending)
                running, ended = self.worker.encode_runs()
                body = {
                    "running": running,
                    "ended": ended,
                    "born": self._incarnation_ms,
                }
                pending.exchange.reply({"clock_ms": self.worker.clock_ms, **body})

    def _reply(self, exchange: Exchange, reason: str) -> None:
        body = {"clock_ms": self.worker.clock_ms}
        if reason:
            exchange.reply({**body, "reason": reason}, 409)
        else:
            exchange.reply(body)

    def _tick(self) -> None:
        self.worker.tick()
        if not self.worker.unresponsive:
            self._answer_polls()
        self._timer_queue.call_later(TICK_S, self._tick)


class StoreService(HttpService):
    """Serves the store, the faults and the report over HTTP."""

    def __init__(self, settings: PlatformSettings, timer_queue: TimerQueue) -> None:
        super().__init__(split_address(settings.store), channel="platform-store")
        self._store = KeyedStore()
        self._timer_queue = timer_queue
        self._counters = FencedWorkerCounters()
        self._faults = _Faults()
        self._pending: list[tuple[_PendingExchange, str, int]] = []
        document = msgspec.json.encode(settings.configuration)
        self._store.append(OPERATOR, "config", document)
        self._entries: list[bytes] = []
        self.workers = [
            self._make_worker(n, settings) for n in range(len(settings.workers))
        ]
        self._tick()

    def _make_worker(self, index: int, settings: PlatformSettings) -> FencedWorker:
        name = f"w{index}"
        entry = {
            "service": settings.configuration["routes"][0]["service"],
            "address": (settings.announced or settings.workers)[index],
            "zone": settings.zones[index % len(settings.zones)],
            "capacity": {"cpu": settings.cpu, "mem_mb": 131_072, "gpus": 0},
            "labels": [],
        }
        self._entries.append(msgspec.json.encode(entry))
        self._store.append(SERVERS, name, self._entries[index])
        clock = lambda: self._timer_queue.now  # noqa: E731
        return FencedWorker(name, settings.cpu, self._counters, clock)

    def serve(self, exchange: Exchange) -> None:
        """Answer a request."""
        if exchange.path == "/faults":
            self._set_faults(exchange)
        elif exchange.path == "/report":
            counters = self._counters
            exchange.reply(
                PlatformReport(
                    counters.starts,
                    counters.over_capacity,
                    counters.two_at_once,
                    counters.lapsed,
                    sorted(counters.running_by_task),
                    sorted(counters.done),
                    counters.twice,
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
        previously_unlisted = self._faults.unlisted
        self._faults = msgspec.json.decode(exchange.body, type=_Faults)
        for index, worker in enumerate(self.workers):
            worker.unresponsive = index in self._faults.silent
            unlisted = index in self._faults.unlisted
            if unlisted != (index in previously_unlisted):
                entry = b"" if unlisted else self._entries[index]
                self._store.append(SERVERS, worker.name, entry)
        if self._faults.forget:
            for topic in (OPERATOR, SERVERS):
                self._store.compact(topic)
        exchange.reply(self._faults)

    def _append(self, exchange: Exchange) -> None:
        topic, offset = exchange.query_text("topic"), 0
        for key, value in split_records(exchange.body):
            offset = self._store.append(topic, key, value)
        exchange.reply({"offset": offset, "end": offset + 1})
        self._answer_readers()

    def _newest(self, exchange: Exchange) -> None:
        values, end = self._store.newest(exchange.query_text("topic"))
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
            for key, value in values.items()
        ]
        exchange.reply({"items": items, "more": False, "end": end})

    def _read(self, exchange: Exchange) -> None:
        deadline = self._timer_queue.now + exchange.query_number("wait_ms") / MS_PER_S
        pending = _PendingExchange(exchange, deadline)
        entry = (pending, exchange.query_text("topic"), exchange.query_integer("from"))
        self._pending.append(entry)
        self._answer_readers()

    def _answer_readers(self) -> None:
        now = self._timer_queue.now
        for entry in list(self._pending):
            pending, topic, offset = entry
            records = self._store.read(topic, offset)
            if records is None:
                pending.exchange.reply({"first": 0}, 410)
            elif records[0] or now >= pending.deadline:
                data, end, first = records
                pending.exchange.reply_bytes(struct.pack(">QQ", end, first) + data)
            else:
                continue
            self._pending.remove(entry)

    def _tick(self) -> None:
        self._answer_readers()
        self._timer_queue.call_later(10 * TICK_S, self._tick)


def make_platform(
    settings: PlatformSettings, root: Manager, timer_queue: TimerQueue
) -> StoreService:
    """Register a store and its workers with an event loop."""
    store = StoreService(settings, timer_queue).register(root)
    for address, worker in zip(settings.workers, store.workers, strict=True):
        FencedWorkerService(address, worker, timer_queue, settings.cpu // 2).register(
            root
        )
    return store


def run_platform(settings: PlatformSettings) -> None:
    """Serve the stand-in until the process is stopped."""
    serve_until_stopped(
        lambda root, timer_queue: make_platform(settings, root, timer_queue)
    )
