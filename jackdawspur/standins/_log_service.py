"""HTTP service of the stand-in log."""

from collections import Counter
from http import HTTPMethod, HTTPStatus
from urllib.parse import unquote

import msgspec
from circuits import Manager

from jackdawspur.adapters import TimerHandle, TimerQueue, split_address
from jackdawspur.standins._http_service import (
    BadQuery,
    ErrorBody,
    Exchange,
    HttpService,
    not_found,
    serve_until_stopped,
)
from jackdawspur.standins._log import LogFaults, LogSettings, LogStore
from jackdawspur.wire import AppendReply, ReadReply, TrimmedReply

__all__ = ["LogService", "make_log", "run_log"]

MS_PER_S = 1000.0
FAULTS = "/faults"
STREAMS = "/v1/streams/"


class _Poll:
    """A read that waits for a record or for its timeout."""

    __slots__ = ("timer", "exchange", "offset", "stream")

    def __init__(self, exchange: Exchange, stream: str, offset: int) -> None:
        self.exchange = exchange
        self.stream = stream
        self.offset = offset
        self.timer: TimerHandle | None = None


class LogService(HttpService):
    """Serves one log over HTTP and injects the faults that are set."""

    def __init__(self, store: LogStore, timer_queue: TimerQueue) -> None:
        super().__init__(split_address(store.settings.address), channel="log")
        self._store = store
        self._timer_queue = timer_queue
        self._polls: list[_Poll] = []
        self._replies_to_drop: Counter[HTTPMethod] = Counter()

    def serve(self, exchange: Exchange) -> None:
        """Answer a request according to the faults that are set."""
        if exchange.path == FAULTS:
            self._set_faults(exchange)
        elif self._store.faults.silent:
            return
        elif self._store.faults.outage:
            body = ErrorBody("the log is down")
            exchange.reply(body, HTTPStatus.SERVICE_UNAVAILABLE)
        elif not exchange.path.startswith(STREAMS):
            not_found(exchange)
        elif exchange.method == HTTPMethod.POST:
            self._append(exchange, unquote(exchange.path[len(STREAMS) :]))
        else:
            self._read(exchange, unquote(exchange.path[len(STREAMS) :]))

    def on_caller_disconnected(self, call_id: int) -> None:
        """Drop the reads of a closed connection."""
        for poll in [p for p in self._polls if p.exchange.call_id == call_id]:
            self._drop_poll(poll)

    def _append(self, exchange: Exchange, stream: str) -> None:
        if len(exchange.body) > self._store.settings.max_record_bytes:
            body = ErrorBody("the record is too large")
            exchange.reply(body, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._store.admit(stream, self._timer_queue.now):
            body = ErrorBody("too many appends, or too many streams")
            exchange.reply(body, HTTPStatus.TOO_MANY_REQUESTS)
        else:
            delay_ms = self._store.settings.append_delay_ms
            delay_s = delay_ms * self._store.faults.slow_factor / MS_PER_S
            text = _decode_text(exchange.body)
            self._timer_queue.call_later(
                delay_s, lambda: self._complete_append(exchange, stream, text)
            )

    def _complete_append(self, exchange: Exchange, stream: str, text: str) -> None:
        offset = self._store.append(stream, text, self._timer_queue.now)
        self._reply(exchange, AppendReply(offset))
        for poll in [p for p in self._polls if p.stream == stream]:
            self._drop_poll(poll)
            self._answer(poll, final=True)

    def _read(self, exchange: Exchange, stream: str) -> None:
        poll = _Poll(exchange, stream, exchange.query_integer("from"))
        wait_ms = exchange.query_number("wait_ms")
        if not self._answer(poll, final=wait_ms <= 0):
            self._polls.append(poll)
            poll.timer = self._timer_queue.call_later(
                wait_ms / MS_PER_S, lambda: self._on_timeout(poll)
            )

    def _on_timeout(self, poll: _Poll) -> None:
        self._drop_poll(poll)
        self._answer(poll, final=True)

    def _drop_poll(self, poll: _Poll) -> None:
        self._polls.remove(poll)
        poll.timer.cancel()

    def _answer(self, poll: _Poll, final: bool) -> bool:
        now = self._timer_queue.now
        first = self._store.first(poll.stream, now)
        if poll.offset < first:
            poll.exchange.reply(TrimmedReply(first), HTTPStatus.GONE)
            return True
        records = self._store.read(poll.stream, poll.offset, now)
        if records or final:
            self._reply(poll.exchange, ReadReply(records))
            return True
        return False

    def _reply(self, exchange: Exchange, body) -> None:
        if self._replies_to_drop[exchange.method] > 0:
            self._replies_to_drop[exchange.method] -= 1
            exchange.drop()
        else:
            exchange.reply(body)

    def _set_faults(self, exchange: Exchange) -> None:
        faults = msgspec.json.decode(exchange.body, type=LogFaults)
        self._store.set_faults(faults)
        self._replies_to_drop[HTTPMethod.POST] = faults.lose_appends
        self._replies_to_drop[HTTPMethod.GET] = faults.lose_reads
        exchange.reply(faults)


def make_log(
    settings: LogSettings, root: Manager, timer_queue: TimerQueue
) -> LogService:
    """Register a log with an event loop."""
    return LogService(LogStore(settings), timer_queue).register(root)


def run_log(settings: LogSettings) -> None:
    """Serve the log until the process is stopped."""
    serve_until_stopped(lambda root, timer_queue: make_log(settings, root, timer_queue))


def _decode_text(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise BadQuery("the record isn't UTF-8") from error
