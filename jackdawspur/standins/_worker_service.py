"""HTTP service of stand-in workers; one process may serve many."""

import time
from collections import Counter, deque
from collections.abc import Callable

import msgspec
from circuits import Manager

from jackdawspur.adapters import TimerHandle, TimerQueue, split_address
from jackdawspur.standins._http_service import (
    Exchange,
    HttpService,
    not_found,
    serve_until_stopped,
)
from jackdawspur.standins._worker import Worker
from jackdawspur.standins._worker_types import (
    WorkerCounters,
    WorkerFaults,
    WorkerPoolSettings,
    WorkerSettings,
)
from jackdawspur.wire import StartsRequest, StatusRequest, StopRequest

__all__ = ["WorkerService", "make_worker_pool", "run_worker"]

MS_PER_S = 1000.0
STARTS = "/v1/starts"
RESULTS = "/v1/results"
STATUS = "/v1/status"
STOP = "/v1/stop"
USAGE = "/v1/usage"
COUNTERS = "/v1/counters"
FAULTS = "/faults"


class _Poll:
    """A long poll that waits for a result of its holder or for its timeout."""

    __slots__ = ("after", "timer", "exchange", "holder")

    def __init__(self, exchange: Exchange, holder: str, after: int) -> None:
        self.exchange = exchange
        self.holder = holder
        self.after = after
        self.timer: TimerHandle | None = None


class WorkerService(HttpService):
    """Serves one worker over HTTP and injects the faults that are set."""

    def __init__(
        self,
        worker: Worker,
        address: tuple[str, int],
        timer_queue: TimerQueue,
        name: str,
    ) -> None:
        super().__init__(address, channel=f"worker-{name}")
        self._worker = worker
        self._timer_queue = timer_queue
        self._polls: list[_Poll] = []
        self._wake_timer: TimerHandle | None = None
        self._wake_at: float | None = None
        self._frozen_until = 0.0
        self._deferred_requests: deque[Callable[[], None]] = deque()
        self._held_replies: deque[Callable[[], None]] = deque()
        self._requests: Counter[str] = Counter()
        self._replies_to_drop: Counter[str] = Counter()
        self._request_handlers = {
            STARTS: self._starts,
            RESULTS: self._results,
            STATUS: self._status,
            STOP: self._stop,
            USAGE: self._usage,
        }

    @property
    def worker(self) -> Worker:
        """Return the worker that is served."""
        return self._worker

    def serve(self, exchange: Exchange) -> None:
        """Answer a request; defer it while the worker is frozen."""
        self._requests[exchange.path] += 1
        if exchange.path == FAULTS:
            self._set_faults(exchange)
        elif exchange.path == COUNTERS:
            exchange.reply(self._counters())
        else:
            handler = self._request_handlers.get(exchange.path, not_found)
            self._run_or_defer(lambda: exchange.guard(handler))

    def on_caller_disconnected(self, call_id: int) -> None:
        """Drop the poll of a caller that disconnected."""
        for poll in [p for p in self._polls if p.exchange.call_id == call_id]:
            poll.timer.cancel()
            self._polls.remove(poll)

    def _counters(self) -> WorkerCounters:
        return msgspec.structs.replace(
            self._worker.counters(),
            requests=dict(self._requests),
            processor_s=time.process_time(),
        )

    def _run_or_defer(self, action: Callable[[], None]) -> None:
        if self._timer_queue.now < self._frozen_until:
            self._deferred_requests.append(action)
            return
        action()
        # Any request may have ended tasks that were due.
        self._answer_polls()
        self._schedule_wake()

    def _starts(self, exchange: Exchange) -> None:
        request = msgspec.json.decode(exchange.body, type=StartsRequest)
        self._reply(exchange, self._worker.start(request, self._timer_queue.now))

    def _results(self, exchange: Exchange) -> None:
        poll = _Poll(
            exchange, exchange.query_text("holder"), exchange.query_integer("after")
        )
        wait_ms = exchange.query_number("wait_ms")
        if not self._answer_poll(poll, final=wait_ms <= 0):
            self._polls.append(poll)
            poll.timer = self._timer_queue.call_later(
                wait_ms / MS_PER_S,
                lambda: self._run_or_defer(lambda: self._on_poll_timeout(poll)),
            )

    def _status(self, exchange: Exchange) -> None:
        request = msgspec.json.decode(exchange.body, type=StatusRequest)
        now = self._timer_queue.now
        self._reply(exchange, self._worker.status(request.tasks, request.seal, now))

    def _stop(self, exchange: Exchange) -> None:
        request = msgspec.json.decode(exchange.body, type=StopRequest)
        self._reply(exchange, self._worker.stop(request.tasks, self._timer_queue.now))

    def _usage(self, exchange: Exchange) -> None:
        self._reply(exchange, self._worker.usage(self._timer_queue.now))

    def _on_poll_timeout(self, poll: _Poll) -> None:
        if poll in self._polls:
            self._polls.remove(poll)
            self._answer_poll(poll, final=True)

    def _answer_polls(self) -> None:
        for poll in list(self._polls):
            if self._answer_poll(poll, final=False):
                poll.timer.cancel()
                self._polls.remove(poll)

    def _answer_poll(self, poll: _Poll, final: bool) -> bool:
        reply = self._worker.results(poll.holder, poll.after, self._timer_queue.now)
        if reply.outcomes or final:
            self._reply(poll.exchange, reply)
            return True
        return False

    def _reply(self, exchange: Exchange, body) -> None:
        if self._replies_to_drop[exchange.path] > 0:
            self._replies_to_drop[exchange.path] -= 1
            exchange.drop()
        elif self._worker.faults.hold_replies:
            self._held_replies.append(lambda: exchange.reply(body))
        else:
            exchange.reply(body)

    def _set_faults(self, exchange: Exchange) -> None:
        faults = msgspec.json.decode(exchange.body, type=WorkerFaults)
        now = self._timer_queue.now
        self._worker.set_faults(faults, now)
        self._replies_to_drop[STARTS] = faults.lose_starts
        self._replies_to_drop[RESULTS] = faults.lose_results
        self._replies_to_drop[STATUS] = faults.lose_status
        self._replies_to_drop[STOP] = faults.lose_stops
        self._frozen_until = now + faults.frozen_ms / MS_PER_S
        self._timer_queue.call_later(faults.frozen_ms / MS_PER_S, self._thaw)
        while self._held_replies and not faults.hold_replies:
            self._held_replies.popleft()()
        exchange.reply(faults)

    def _thaw(self) -> None:
        if self._timer_queue.now < self._frozen_until:
            return
        self._advance()
        while self._deferred_requests:
            self._deferred_requests.popleft()()

    def _advance(self) -> None:
        self._wake_at = None
        if self._timer_queue.now < self._frozen_until:
            return
        self._worker.advance(self._timer_queue.now)
        self._answer_polls()
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        next_change = self._worker.next_change
        if next_change is None or (
            self._wake_at is not None and self._wake_at <= next_change
        ):
            return
        if self._wake_timer is not None:
            self._wake_timer.cancel()
        self._wake_at = next_change
        delay = max(0.0, next_change - self._timer_queue.now)
        self._wake_timer = self._timer_queue.call_later(delay, self._advance)


def make_worker_pool(
    settings: WorkerPoolSettings, root: Manager, timer_queue: TimerQueue
) -> tuple[WorkerService, ...]:
    """Register the workers of one process with its event loop."""
    incarnation = int(time.time() * MS_PER_S)
    return tuple(
        _make_service(settings, index, address, timer_queue, incarnation).register(root)
        for index, address in enumerate(settings.addresses)
    )


def run_worker(settings: WorkerPoolSettings) -> None:
    """Serve the workers until the process is stopped."""
    serve_until_stopped(
        lambda root, timer_queue: make_worker_pool(settings, root, timer_queue)
    )


def _make_service(
    settings: WorkerPoolSettings,
    index: int,
    address: str,
    timer_queue: TimerQueue,
    incarnation: int,
) -> WorkerService:
    worker_settings: WorkerSettings = settings.worker
    worker = Worker(worker_settings, incarnation, settings.seed + index)
    return WorkerService(worker, split_address(address), timer_queue, str(index))
