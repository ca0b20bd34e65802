"""Client for the platform's workers."""

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
from jackdawspur.exceptions import JackdawspurError
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
from jackdawspur.platform._repeated_log import RepeatedErrorLog
from jackdawspur.runs import PollUpstream, StartRun, StopRun

__all__ = ["PlatformUpstreamClient"]

CONNECT_TIMEOUT_S = 0.25
# Maximum number of connections to an upstream. One waits in a long poll; the others
# carry starts, stops and repeated polls. More than a few are opened only if replies get
# lost.
MAX_CONNECTIONS = 10
OUTCOME_BY_REFUSAL = {
    "fence": CallOutcome.FENCED,
    "old": CallOutcome.OLD_RUN,
    "late": CallOutcome.LATE,
    "room": CallOutcome.NO_ROOM,
    "ticket": CallOutcome.NO_TICKET,
}
OUTCOME_BY_STATUS = {
    200: CallOutcome.OK,
    400: CallOutcome.INVALID,
    404: CallOutcome.INVALID,
    421: CallOutcome.GONE,
    429: CallOutcome.UNHEALTHY,
    503: CallOutcome.UNHEALTHY,
}

# Bound of all numbers in replies: integers that a float represents exactly.
MAX_INTEGER = 1 << 53

log = logging.getLogger("jackdawspur.platform")

# What decoding raises for malformed, nested, incomplete and too large values.
DECODE_ERRORS = (
    msgspec.DecodeError,
    RecursionError,
    ValueError,
    OverflowError,
    IndexError,
    TypeError,
)

_encode = msgspec.json.Encoder().encode
_decode_refusal = msgspec.json.Decoder(RefusalBody).decode
_decode_report = msgspec.json.Decoder(HoldReply).decode


class ReportDecodeError(JackdawspurError):
    """Raised when the reply to a poll is malformed."""


class PlatformUpstreamClient(UpstreamPort):
    """Calls upstreams over persistent connections, sending each call at most once."""

    def __init__(self, owner: Component, timer_queue: TimerQueue) -> None:
        self._owner = owner
        self._timer_queue = timer_queue
        self._clients: dict[str, HttpClient] = {}
        self._error_log = RepeatedErrorLog(log, "upstream")

    def start(self, effect: StartRun, done: Callable[[CallOutcome], None]) -> None:
        """Start a run."""
        body = RunStartBody(
            effect.run.task,
            effect.run.number,
            effect.spec,
            effect.lease_until_ms,
            effect.fence,
        )
        self._call(effect, "/run-start", _encode(body), _report_outcome_to(done))

    def stop(self, effect: StopRun, done: Callable[[CallOutcome], None]) -> None:
        """Stop a run."""
        body = RunStopBody(effect.run.task, effect.run.number, effect.fence)
        self._call(effect, "/run-stop", _encode(body), _report_outcome_to(done))

    def poll_runs(
        self, effect: PollUpstream, done: Callable[[PollReport | CallOutcome], None]
    ) -> None:
        """Request all runs of an upstream and renew its lease."""
        body = HoldBody(
            effect.fence, effect.last_seen, effect.lease_until_ms, effect.wait_ms
        )

        def on_reply(result: Result[ClientResponse, PlatformError]) -> None:
            outcome = _call_outcome(result)
            if outcome is CallOutcome.OK:
                outcome = self._read_report(effect, result.ok_value)
            done(outcome)

        self._call(effect, "/hold", _encode(body), on_reply)

    def _read_report(
        self, effect: PollUpstream, reply: ClientResponse
    ) -> PollReport | CallOutcome:
        """Return the report in a reply, or that its outcome is unknown."""
        name = str(effect.upstream)
        try:
            report = _decode_poll_report(reply)
        except ReportDecodeError as error:
            self._error_log.add(name, "upstream answered nonsense", str(error))
            return CallOutcome.UNKNOWN
        self._error_log.resolve(name)
        return report

    def close_connections_except(self, addresses: set[str]) -> None:
        """Close the connections to all addresses except the given ones."""
        for address in [a for a in self._clients if a not in addresses]:
            client = self._clients.pop(address)
            client.close()
            client.unregister()

    def _call(self, effect, path: str, body: bytes, done) -> None:
        client = self._clients.get(effect.address)
        if client is None:
            client = self._clients[effect.address] = HttpClient(
                split_address(effect.address),
                self._timer_queue,
                HttpClientLimits(
                    max_connections=MAX_CONNECTIONS, connect_timeout_s=CONNECT_TIMEOUT_S
                ),
            ).register(self._owner)
        # Each incarnation of an upstream has a different name, and refuses calls that
        # expect the name of another one.
        headers = (("X-Expect-Instance", effect.upstream.name),)
        client.request("POST", path, body, effect.timeout_s, done, headers)


def _report_outcome_to(done: Callable[[CallOutcome], None]):
    return lambda result: done(_call_outcome(result))


def _call_outcome(result: Result[ClientResponse, PlatformError]) -> CallOutcome:
    if result.is_err():
        outcome_unknown = isinstance(result.err_value, OutcomeUnknown)
        return CallOutcome.UNKNOWN if outcome_unknown else CallOutcome.NOT_SENT
    reply = result.ok_value
    if reply.status != 409:
        return OUTCOME_BY_STATUS.get(reply.status, CallOutcome.UNKNOWN)
    try:
        reason = _decode_refusal(reply.body).reason
    except (msgspec.DecodeError, RecursionError):
        reason = ""
    return OUTCOME_BY_REFUSAL.get(reason, CallOutcome.UNKNOWN)


def _decode_poll_report(reply: ClientResponse) -> PollReport:
    try:
        body = _decode_report(reply.body)
        return PollReport(
            _to_integer(body.clock_ms),
            tuple(_to_running_run(row) for row in body.running),
            tuple(_to_ended_run(row) for row in body.ended),
            _to_integer(body.born),
        )
    except DECODE_ERRORS as error:
        raise ReportDecodeError(str(error)) from error


def _to_running_run(row: list) -> RunningRun:
    """Decode ``[task, run, checkpoint, percent, ...]``."""
    run, percent = RunId(str(row[0]), _to_integer(row[1])), float(row[3])
    if not 0.0 <= percent <= MAX_INTEGER:
        raise ValueError(f"percent: {percent} is out of range")
    return RunningRun(run, str(row[2]), percent)


def _to_ended_run(row: list) -> EndedRun:
    """Decode ``[number, task, run, result, checkpoint]``."""
    run = RunId(str(row[1]), _to_integer(row[2]))
    return EndedRun(_to_integer(row[0]), run, RunResult(row[3]), str(row[4]))


def _to_integer(value: str | int | float) -> int:
    number = int(value)
    if not 0 <= number <= MAX_INTEGER:
        raise ValueError("a number is out of range")
    return number
