"""Speak to one upstream over HTTP/JSON."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec
from result import Result

from jackdawspur.adapters._http_client import HttpClient
from jackdawspur.adapters._json_reply import MS, ForeignReply, reading, success
from jackdawspur.adapters._reply_reader import ClientResponse
from jackdawspur.external import (
    PlatformError,
    StartVerdict,
    TaskStart,
    UpstreamClient,
    UpstreamReply,
    Usage,
)
from jackdawspur.model import HostId, TaskId, TaskOutcome, UpstreamId
from jackdawspur.wire import (
    StartBody,
    StartsReply,
    StartsRequest,
    StatusReply,
    StatusRequest,
    StopRequest,
    UsageReply,
)

__all__ = ["HttpUpstreamClient", "UpstreamTimeouts"]

Done = Callable[[Result[UpstreamReply, PlatformError]], None]


@dataclass(frozen=True, slots=True)
class UpstreamTimeouts:
    """Bound the wait for replies, in milliseconds.

    `poll_ms` is added to the wait that a poll for results asks for.
    """

    start_ms: float = 1000.0
    status_ms: float = 1000.0
    poll_ms: float = 1000.0


class HttpUpstreamClient(UpstreamClient):
    """Ask one upstream on behalf of one holder.

    Polls for results have a client of their own, so that they never block starts.
    """

    def __init__(
        self,
        upstream: UpstreamId,
        holder: HostId,
        requests: HttpClient,
        polls: HttpClient,
        timeouts: UpstreamTimeouts | None = None,
    ) -> None:
        self._upstream = upstream
        self._holder = str(holder)
        self._requests = requests
        self._polls = polls
        self._timeouts = timeouts or UpstreamTimeouts()

    def start(self, starts: Sequence[TaskStart], done: Done) -> None:
        """Start tasks; `Unavailable` means that no byte left this host."""
        bodies = tuple(_start_body(each) for each in starts)
        body = msgspec.json.encode(StartsRequest(self._holder, bodies))

        def read(reply: ClientResponse) -> UpstreamReply:
            return self._read_verdicts(reply, starts, bodies)

        self._post("/v1/starts", body, self._timeouts.start_ms, read, done)

    def results(self, cursor: int, wait_ms: float, done: Done) -> None:
        """Wait for ended tasks of this host after `cursor`."""
        query = urlencode(
            {"holder": self._holder, "after": cursor, "wait_ms": int(wait_ms)}
        )
        timeout_s = (wait_ms + self._timeouts.poll_ms) / MS
        receive = reading(str(self._upstream), self._read_results, done)
        self._polls.request("GET", f"/v1/results?{query}", b"", timeout_s, receive)

    def status(self, tasks: Sequence[TaskId], seal: bool, done: Done) -> None:
        """Ask how far tasks are; with `seal`, bar those not yet started for good."""
        texts = _texts(tasks)
        body = msgspec.json.encode(StatusRequest(texts, seal))
        self._ask_outcomes("/v1/status", body, tasks, texts, done)

    def stop(self, tasks: Sequence[TaskId], done: Done) -> None:
        """Stop tasks that run and bar those not yet started."""
        texts = _texts(tasks)
        body = msgspec.json.encode(StopRequest(texts))
        self._ask_outcomes("/v1/stop", body, tasks, texts, done)

    def usage(self, done: Done) -> None:
        """Ask for the load, which may be seconds old."""
        receive = reading(str(self._upstream), self._read_usage, done)
        timeout_s = self._timeouts.status_ms / MS
        self._requests.request("GET", "/v1/usage", b"", timeout_s, receive)

    def close(self) -> None:
        """Drop all connections."""
        self._requests.close()
        self._polls.close()

    def _ask_outcomes(
        self,
        path: str,
        body: bytes,
        tasks: Sequence[TaskId],
        texts: tuple[str, ...],
        done: Done,
    ) -> None:
        def read(reply: ClientResponse) -> UpstreamReply:
            return self._read_outcomes(reply, tasks, texts)

        self._post(path, body, self._timeouts.status_ms, read, done)

    def _post(
        self,
        path: str,
        body: bytes,
        timeout_ms: float,
        read: Callable[[ClientResponse], UpstreamReply],
        done: Done,
    ) -> None:
        receive = reading(str(self._upstream), read, done)
        self._requests.request("POST", path, body, timeout_ms / MS, receive)

    def _read_verdicts(
        self,
        reply: ClientResponse,
        starts: Sequence[TaskStart],
        bodies: tuple[StartBody, ...],
    ) -> UpstreamReply:
        read = msgspec.json.decode(success(reply), type=StartsReply)
        _check_order(
            [each.task for each in read.verdicts], [each.task for each in bodies]
        )
        verdicts = tuple(
            StartVerdict(start.task, each.refusal)
            for start, each in zip(starts, read.verdicts, strict=True)
        )
        return UpstreamReply(self._upstream, read.incarnation, verdicts)

    def _read_outcomes(
        self, reply: ClientResponse, tasks: Sequence[TaskId], texts: tuple[str, ...]
    ) -> UpstreamReply:
        read = msgspec.json.decode(success(reply), type=StatusReply)
        _check_order([each.task for each in read.outcomes], list(texts))
        outcomes = tuple(
            TaskOutcome(task, each.state, each.output, each.error)
            for task, each in zip(tasks, read.outcomes, strict=True)
        )
        return UpstreamReply(self._upstream, read.incarnation, outcomes=outcomes)

    def _read_results(self, reply: ClientResponse) -> UpstreamReply:
        read = msgspec.json.decode(success(reply), type=StatusReply)
        outcomes = tuple(
            TaskOutcome(TaskId.parse(each.task), each.state, each.output, each.error)
            for each in read.outcomes
        )
        return UpstreamReply(
            self._upstream, read.incarnation, outcomes=outcomes, cursor=read.cursor
        )

    def _read_usage(self, reply: ClientResponse) -> UpstreamReply:
        read = msgspec.json.decode(success(reply), type=UsageReply)
        usage = Usage(read.slots, read.busy, read.leaving)
        return UpstreamReply(self._upstream, read.incarnation, usage=usage)


def _start_body(start: TaskStart) -> StartBody:
    return StartBody(
        task=str(start.task),
        payload=start.payload,
        lease_ms=start.lease_ms,
        cpus=start.cpus,
        memory_mb=start.memory_mb,
        accelerators=start.accelerators,
    )


def _texts(tasks: Sequence[TaskId]) -> tuple[str, ...]:
    return tuple(str(task) for task in tasks)


def _check_order(answered: list[str], asked: list[str]) -> None:
    if answered != asked:
        raise ForeignReply("it answers for other tasks than were asked")
