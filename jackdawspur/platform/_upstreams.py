"""Calls to upstreams as the platform's workers take them."""

import logging
from collections.abc import Callable

import msgspec
from circuits import Component
from result import Result

from jackdawspur.adapters import (
    ClientResponse,
    HttpClient,
    HttpClientLimits,
    TimerQueue,
    split_address,
)
from jackdawspur.external import OutcomeUnknown, PlatformError
from jackdawspur.front import UpstreamPort
from jackdawspur.leases import (
    CallOutcome,
    EndedRun,
    PollReport,
    RunId,
    RunningRun,
    RunResult,
)
from jackdawspur.platform._bodies import (
    HoldBody,
    HoldReply,
    RefusalBody,
    RunStartBody,
    RunStopBody,
)
from jackdawspur.runs import PollUpstream, StartRun, StopRun

__all__ = ["PlatformUpstreamClient"]

CONNECT_S = 0.25
# One connection waits for ends, the others carry starts, stops and what repeats lost
# looks; more than the first few are opened only where replies get lost.
CONNECTIONS = 10
REFUSALS = {
    "fence": CallOutcome.FENCED,
    "old": CallOutcome.OLD_RUN,
    "late": CallOutcome.LATE,
    "room": CallOutcome.NO_ROOM,
    "ticket": CallOutcome.NO_TICKET,
}
OUTCOME_OF_STATUS = {
    200: CallOutcome.OK,
    400: CallOutcome.INVALID,
    404: CallOutcome.INVALID,
    421: CallOutcome.GONE,
    429: CallOutcome.UNHEALTHY,
    503: CallOutcome.UNHEALTHY,
}

log = logging.getLogger("jackdawspur.platform")

_encode = msgspec.json.Encoder().encode
_decode_refusal = msgspec.json.Decoder(RefusalBody).decode
_decode_report = msgspec.json.Decoder(HoldReply).decode


class PlatformUpstreamClient(UpstreamPort):
    """Call upstreams over kept-alive connections, each call at most once."""

    def __init__(self, owner: Component, timer_queue: TimerQueue) -> None:
        self._owner = owner
        self._timer_queue = timer_queue
        self._clients: dict[str, HttpClient] = {}

    def start(self, order: StartRun, done: Callable[[CallOutcome], None]) -> None:
        """Start a run."""
        body = RunStartBody(
            order.run.task,
            order.run.number,
            order.spec,
            order.lease_until_ms,
            order.fence,
        )
        self._call(order, "/run-start", _encode(body), _outcome_to(done))

    def stop(self, order: StopRun, done: Callable[[CallOutcome], None]) -> None:
        """Stop a run."""
        body = RunStopBody(order.run.task, order.run.number, order.fence)
        self._call(order, "/run-stop", _encode(body), _outcome_to(done))

    def poll_runs(
        self, order: PollUpstream, done: Callable[[PollReport | CallOutcome], None]
    ) -> None:
        """Ask for all runs and prolong the lease."""
        body = HoldBody(
            order.fence, order.last_seen, order.lease_until_ms, order.wait_ms
        )

        def replied(result: Result[ClientResponse, PlatformError]) -> None:
            outcome = _outcome(result)
            done(_report(result.ok_value) if outcome is CallOutcome.OK else outcome)

        self._call(order, "/hold", _encode(body), replied)

    def close_connections_except(self, addresses: set[str]) -> None:
        """Close the connections to all other addresses."""
        for address in [a for a in self._clients if a not in addresses]:
            client = self._clients.pop(address)
            client.close()
            client.unregister()

    def _call(self, order, path: str, body: bytes, done) -> None:
        client = self._clients.get(order.address)
        if client is None:
            client = self._clients[order.address] = HttpClient(
                split_address(order.address),
                self._timer_queue,
                HttpClientLimits(
                    max_connections=CONNECTIONS, connect_timeout_s=CONNECT_S
                ),
            ).register(self._owner)
        # The name of an upstream is that of one boot of it; any other refuses.
        headers = (("X-Expect-Instance", order.upstream.name),)
        client.request("POST", path, body, order.timeout_s, done, headers)


def _outcome_to(done: Callable[[CallOutcome], None]):
    return lambda result: done(_outcome(result))


def _outcome(result: Result[ClientResponse, PlatformError]) -> CallOutcome:
    if result.is_err():
        lost = isinstance(result.err_value, OutcomeUnknown)
        return CallOutcome.UNKNOWN if lost else CallOutcome.NOT_SENT
    reply = result.ok_value
    if reply.status != 409:
        return OUTCOME_OF_STATUS.get(reply.status, CallOutcome.UNKNOWN)
    try:
        reason = _decode_refusal(reply.body).reason
    except msgspec.DecodeError:
        reason = ""
    return REFUSALS.get(reason, CallOutcome.UNKNOWN)


def _report(reply: ClientResponse) -> PollReport | CallOutcome:
    try:
        body = _decode_report(reply.body)
        return PollReport(
            body.clock_ms,
            tuple(_running(row) for row in body.running),
            tuple(_ended(row) for row in body.ended),
            body.born,
        )
    except (msgspec.DecodeError, ValueError, IndexError, TypeError) as error:
        log.warning("upstream answered nonsense", extra={"reason": str(error)})
        return CallOutcome.UNKNOWN


def _running(row: list) -> RunningRun:
    """Decode ``[task, run, saved, percent, ...]``."""
    return RunningRun(RunId(str(row[0]), int(row[1])), str(row[2]), float(row[3]))


def _ended(row: list) -> EndedRun:
    """Decode ``[number, task, run, how, saved]``."""
    run = RunId(str(row[1]), int(row[2]))
    return EndedRun(int(row[0]), run, RunResult(row[3]), str(row[4]))
