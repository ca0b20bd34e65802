"""Client of one upstream over HTTP/JSON."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec
from result import Result

from jackdawspur.adapters._http_client import HttpClient
from jackdawspur.adapters._json_reply import (
    MS_PER_S,
    MalformedReply,
    reply_handler,
    success_body,
)
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

ReplyCallback = Callable[[Result[UpstreamReply, PlatformError]], None]


@dataclass(frozen=True, slots=True)
class UpstreamTimeouts:
    """Reply timeouts in milliseconds.

    `poll_ms` is added to the wait time that a poll for results requests.
    """

    start_ms: float = 1000.0
    status_ms: float = 1000.0
    poll_ms: float = 1000.0


class HttpUpstreamClient(UpstreamClient):
    """Sends the requests of one holder to one upstream.

    Polls for results use a separate client, so that they never block starts.
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

    def start(self, starts: Sequence[TaskStart], done: ReplyCallback) -> None:
        """Start tasks; `Unavailable` means that no byte was sent."""
        bodies = tuple(_start_body(task_start) for task_start in starts)
        body = msgspec.json.encode(StartsRequest(self._holder, bodies))

        def decode(reply: ClientResponse) -> UpstreamReply:
            return self._read_verdicts(reply, starts, bodies)

        self._post("/v1/starts", body, self._timeouts.start_ms, decode, done)

    def results(self, cursor: int, wait_ms: float, done: ReplyCallback) -> None:
        """Wait for tasks of this host that ended after `cursor`."""
        query = urlencode(
            {"holder": self._holder, "after": cursor, "wait_ms": int(wait_ms)}
        )
        timeout_s = (wait_ms + self._timeouts.poll_ms) / MS_PER_S
        receive = reply_handler(str(self._upstream), self._read_results, done)
        self._polls.request("GET", f"/v1/results?{query}", b"", timeout_s, receive)

    def status(self, tasks: Sequence[TaskId], seal: bool, done: ReplyCallback) -> None:
        """Query the state of tasks; `seal` keeps unstarted ones from ever starting."""
        encoded_ids = _encode_ids(tasks)
        body = msgspec.json.encode(StatusRequest(encoded_ids, seal))
        self._query_outcomes("/v1/status", body, tasks, encoded_ids, done)

    def stop(self, tasks: Sequence[TaskId], done: ReplyCallback) -> None:
        """Stop running tasks and keep unstarted ones from ever starting."""
        encoded_ids = _encode_ids(tasks)
        body = msgspec.json.encode(StopRequest(encoded_ids))
        self._query_outcomes("/v1/stop", body, tasks, encoded_ids, done)

    def usage(self, done: ReplyCallback) -> None:
        """Query the load; the reported values may be seconds old."""
        receive = reply_handler(str(self._upstream), self._read_usage, done)
        timeout_s = self._timeouts.status_ms / MS_PER_S
        self._requests.request("GET", "/v1/usage", b"", timeout_s, receive)

    def close(self) -> None:
        """Close all connections."""
        self._requests.close()
        self._polls.close()

    def _query_outcomes(
        self,
        path: str,
        body: bytes,
        tasks: Sequence[TaskId],
        encoded_ids: tuple[str, ...],
        done: ReplyCallback,
    ) -> None:
        def decode(reply: ClientResponse) -> UpstreamReply:
            return self._read_outcomes(reply, tasks, encoded_ids)

        self._post(path, body, self._timeouts.status_ms, decode, done)

    def _post(
        self,
        path: str,
        body: bytes,
        timeout_ms: float,
        decode: Callable[[ClientResponse], UpstreamReply],
        done: ReplyCallback,
    ) -> None:
        receive = reply_handler(str(self._upstream), decode, done)
        self._requests.request("POST", path, body, timeout_ms / MS_PER_S, receive)

    def _read_verdicts(
        self,
        reply: ClientResponse,
        starts: Sequence[TaskStart],
        bodies: tuple[StartBody, ...],
    ) -> UpstreamReply:
        decoded = msgspec.json.decode(success_body(reply), type=StartsReply)
        _check_tasks(
            [verdict.task for verdict in decoded.verdicts],
            [body.task for body in bodies],
        )
        verdicts = tuple(
            StartVerdict(start.task, verdict.refusal)
            for start, verdict in zip(starts, decoded.verdicts, strict=True)
        )
        return UpstreamReply(self._upstream, decoded.incarnation, verdicts)

    def _read_outcomes(
        self,
        reply: ClientResponse,
        tasks: Sequence[TaskId],
        encoded_ids: tuple[str, ...],
    ) -> UpstreamReply:
        decoded = msgspec.json.decode(success_body(reply), type=StatusReply)
        _check_tasks([outcome.task for outcome in decoded.outcomes], list(encoded_ids))
        outcomes = tuple(
            TaskOutcome(task, outcome.state, outcome.output, outcome.error)
            for task, outcome in zip(tasks, decoded.outcomes, strict=True)
        )
        return UpstreamReply(self._upstream, decoded.incarnation, outcomes=outcomes)

    def _read_results(self, reply: ClientResponse) -> UpstreamReply:
        decoded = msgspec.json.decode(success_body(reply), type=StatusReply)
        outcomes = tuple(
            TaskOutcome(
                TaskId.parse(outcome.task), outcome.state, outcome.output, outcome.error
            )
            for outcome in decoded.outcomes
        )
        return UpstreamReply(
            self._upstream,
            decoded.incarnation,
            outcomes=outcomes,
            cursor=decoded.cursor,
        )

    def _read_usage(self, reply: ClientResponse) -> UpstreamReply:
        decoded = msgspec.json.decode(success_body(reply), type=UsageReply)
        usage = Usage(decoded.slots, decoded.busy, decoded.leaving)
        return UpstreamReply(self._upstream, decoded.incarnation, usage=usage)


def _start_body(start: TaskStart) -> StartBody:
    return StartBody(
        task=str(start.task),
        payload=start.payload,
        lease_ms=start.lease_ms,
        cpus=start.cpus,
        memory_mb=start.memory_mb,
        accelerators=start.accelerators,
    )


def _encode_ids(tasks: Sequence[TaskId]) -> tuple[str, ...]:
    return tuple(str(task) for task in tasks)


def _check_tasks(answered_tasks: list[str], requested_tasks: list[str]) -> None:
    if answered_tasks != requested_tasks:
        raise MalformedReply("the tasks in the reply differ from the requested ones")
