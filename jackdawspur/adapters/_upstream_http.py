"""Speak to one upstream over HTTP/JSON."""

from collections.abc import Callable, Sequence
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from jackdawspur.adapters._http_client import HttpClient
from jackdawspur.adapters._http_connection import HttpReply
from jackdawspur.adapters._json_reply import decode_reply
from jackdawspur.model import HostId, InvalidId, TaskId, TaskOutcome, UpstreamId
from jackdawspur.platform import (
    OutcomeUnknown,
    PlatformError,
    StartVerdict,
    TaskStart,
    UpstreamClient,
    UpstreamReply,
    Usage,
)
from jackdawspur.wire import (
    OutcomeBody,
    StartBody,
    StartsReply,
    StartsRequest,
    StatusReply,
    StatusRequest,
    StopRequest,
    UsageReply,
)

__all__ = ["HttpUpstream", "UpstreamTimeouts"]

from dataclasses import dataclass

MS = 1000.0
Done = Callable[[Result[UpstreamReply, PlatformError]], None]


@dataclass(frozen=True, slots=True)
class UpstreamTimeouts:
    """Bound the wait for replies, in milliseconds.

    `poll_ms` is added to the wait that a poll for results asks for.
    """

    start_ms: float = 1000.0
    status_ms: float = 1000.0
    poll_ms: float = 1000.0


class HttpUpstream(UpstreamClient):
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
        self._post("/v1/starts", body, self._timeouts.start_ms, self._started, done)

    def results(self, cursor: int, wait_ms: float, done: Done) -> None:
        """Wait for ended tasks of this host after `cursor`."""
        query = urlencode(
            {"holder": self._holder, "after": cursor, "wait_ms": int(wait_ms)}
        )
        timeout_s = (wait_ms + self._timeouts.poll_ms) / MS
        self._polls.request(
            "GET", f"/v1/results?{query}", b"", timeout_s, self._take(self._ended, done)
        )

    def status(self, tasks: Sequence[TaskId], seal: bool, done: Done) -> None:
        """Ask how far tasks are; with `seal`, bar those not yet started for good."""
        body = msgspec.json.encode(StatusRequest(_texts(tasks), seal))
        self._post("/v1/status", body, self._timeouts.status_ms, self._ended, done)

    def stop(self, tasks: Sequence[TaskId], done: Done) -> None:
        """Stop tasks that run and bar those not yet started."""
        body = msgspec.json.encode(StopRequest(_texts(tasks)))
        self._post("/v1/stop", body, self._timeouts.status_ms, self._ended, done)

    def usage(self, done: Done) -> None:
        """Ask for the load, which may be seconds old."""
        timeout_s = self._timeouts.status_ms / MS
        take = self._take(self._used, done)
        self._requests.request("GET", "/v1/usage", b"", timeout_s, take)

    def close(self) -> None:
        """Drop all connections."""
        self._requests.close()
        self._polls.close()

    def _post(
        self,
        path: str,
        body: bytes,
        timeout_ms: float,
        read: Callable[[bytes], UpstreamReply],
        done: Done,
    ) -> None:
        take = self._take(read, done)
        self._requests.request("POST", path, body, timeout_ms / MS, take)

    def _take(
        self, read: Callable[[bytes], UpstreamReply], done: Done
    ) -> Callable[[Result[HttpReply, PlatformError]], None]:
        def take(replied: Result[HttpReply, PlatformError]) -> None:
            done(replied.and_then(lambda reply: self._read(reply, read)))

        return take

    def _read(
        self, reply: HttpReply, read: Callable[[bytes], UpstreamReply]
    ) -> Result[UpstreamReply, PlatformError]:
        try:
            return Ok(read(decode_reply(reply)))
        except (msgspec.MsgspecError, InvalidId, PlatformError) as error:
            return Err(OutcomeUnknown(f"{self._upstream} spoke nonsense: {error}"))

    def _started(self, body: bytes) -> UpstreamReply:
        reply = msgspec.json.decode(body, type=StartsReply)
        verdicts = tuple(
            StartVerdict(TaskId.parse(each.task), each.refusal)
            for each in reply.verdicts
        )
        return UpstreamReply(self._upstream, reply.incarnation, verdicts)

    def _ended(self, body: bytes) -> UpstreamReply:
        reply = msgspec.json.decode(body, type=StatusReply)
        outcomes = tuple(_outcome(each) for each in reply.outcomes)
        return UpstreamReply(
            self._upstream, reply.incarnation, outcomes=outcomes, cursor=reply.cursor
        )

    def _used(self, body: bytes) -> UpstreamReply:
        reply = msgspec.json.decode(body, type=UsageReply)
        usage = Usage(reply.slots, reply.busy, reply.leaving)
        return UpstreamReply(self._upstream, reply.incarnation, usage=usage)


def _start_body(start: TaskStart) -> StartBody:
    return StartBody(
        task=str(start.task),
        payload=start.payload,
        lease_ms=start.lease_ms,
        cpus=start.cpus,
        memory_mb=start.memory_mb,
        accelerators=start.accelerators,
    )


def _outcome(body: OutcomeBody) -> TaskOutcome:
    return TaskOutcome(TaskId.parse(body.task), body.state, body.output, body.error)


def _texts(tasks: Sequence[TaskId]) -> tuple[str, ...]:
    return tuple(str(task) for task in tasks)
