"""HTTP requests and replies of callers in the platform's format."""

import math

import msgspec

from jackdawspur.adapters import Call
from jackdawspur.callers import HttpResponse
from jackdawspur.front import (
    CallerPort,
    CallerRequest,
    ConfigurationDecodeError,
    RequestKind,
    RouteTable,
)
from jackdawspur.leases import Resources
from jackdawspur.platform._bodies import ConfigurationBody, JobBody, RouteBody, StepBody
from jackdawspur.platform._entries import MAX_RESOURCE
from jackdawspur.runs import (
    MAX_TOTAL_SIZE,
    SIZE_RETRY_S,
    JobEnd,
    JobOutcome,
    JobRequest,
    JobStep,
    Route,
    job_size,
)

__all__ = ["PlatformCallerCodec"]

MAX_SPEC_BYTES = 4000
MAX_TASKS = 10_000
# Bound of the numbers of a configuration, which are passed on between hosts.
MAX_CONFIGURED = (1 << 53) - 1
JOB_ID_DIGITS = 16
MAX_TIMEOUT_DIGITS = 9
MS_PER_S = 1000.0
STATUS_BY_END = {
    JobEnd.COMPLETE: 200,
    JobEnd.FAILED: 200,
    JobEnd.REFUSED: 429,
    JobEnd.OUT_OF_TIME: 504,
    JobEnd.LOST: 502,
}
STATE_BY_END = {JobEnd.COMPLETE: "completed", JobEnd.FAILED: "failed"}

_decode_job = msgspec.json.Decoder(JobBody).decode
_decode_configuration = msgspec.json.Decoder(ConfigurationBody).decode


class _StateReply(msgspec.Struct):
    state: str


class _WaitingReply(msgspec.Struct):
    waiting: int


class _ErrorReply(msgspec.Struct):
    error: str
    not_run: bool = True


class PlatformCallerCodec(CallerPort):
    """Decodes callers' requests and encodes the replies."""

    def decode_call(
        self, call: Call, routes: RouteTable, max_size: int = MAX_TOTAL_SIZE
    ) -> CallerRequest | HttpResponse:
        """Return the decoded request, or the refusal of an invalid one."""
        host = call.headers.get("Host", "").partition(":")[0]
        route = routes.find(host, call.path)
        if route is None:
            return _error_response(404, "no route matches this host and path")
        job_id = call.path[len(route.path_prefix) :]
        if not job_id:
            if call.method != "GET":
                return _error_response(405, "expected GET, or a job id in the path")
            return CallerRequest(RequestKind.COUNT, route, "", None, None)
        if not _is_job_id(job_id):
            return _error_response(
                400, f"id: {JOB_ID_DIGITS} hexadecimal digits expected"
            )
        return self._read_job_call(call, route, job_id, max_size)

    def _read_job_call(
        self, call: Call, route: Route, job_id: str, max_size: int
    ) -> CallerRequest | HttpResponse:
        if call.method == "GET":
            return CallerRequest(RequestKind.STATE, route, job_id, None, None)
        if call.method == "DELETE":
            return CallerRequest(RequestKind.CANCEL, route, job_id, None, None)
        if call.method != "POST":
            return _error_response(405, "expected POST, GET or DELETE")
        try:
            request = _to_job_request(job_id, route, _decode_job(call.body), max_size)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            return _error_response(400, str(error))
        if isinstance(request, HttpResponse):
            return request
        caller_timeout_s = _caller_timeout_s(call.headers.get("X-Deadline-Ms"))
        return CallerRequest(
            RequestKind.SUBMIT, route, job_id, request, caller_timeout_s
        )

    def encode_outcome(self, outcome: JobOutcome) -> HttpResponse:
        """Return the reply to a submission."""
        status = STATUS_BY_END[outcome.end]
        if outcome.not_run and outcome.end is JobEnd.OUT_OF_TIME:
            status = 503
        state = STATE_BY_END.get(outcome.end)
        if state is not None:
            return HttpResponse(status, msgspec.json.encode(_StateReply(state)))
        body = _ErrorReply(outcome.reason, outcome.not_run)
        retry_after_s = math.ceil(outcome.retry_after_s)
        return HttpResponse(status, msgspec.json.encode(body), retry_after_s)

    def encode_waiting_count(self, waiting: int) -> HttpResponse:
        """Return the reply to a request for the number of waiting jobs."""
        return HttpResponse(200, msgspec.json.encode(_WaitingReply(waiting)))

    def encode_unknown_job(self) -> HttpResponse:
        """Return the reply to a request for a job that this host doesn't know."""
        return _error_response(410, "no such job")

    def encode_cancelled(self) -> HttpResponse:
        """Return the reply to a successful cancellation."""
        return HttpResponse(200, msgspec.json.encode(_StateReply("cancelled")))

    def encode_not_ready(self, reason: str) -> HttpResponse:
        """Return the refusal by a host that isn't ready."""
        body = msgspec.json.encode(_ErrorReply(reason))
        return HttpResponse(503, body, retry_after_s=1)

    def decode_configuration(self, document: bytes) -> RouteTable:
        """Return the routes; raise `ConfigurationDecodeError` for invalid data."""
        try:
            body = _decode_configuration(document)
        except (msgspec.DecodeError, RecursionError) as error:
            raise ConfigurationDecodeError(str(error)) from error
        routes = tuple(_to_route(route) for route in body.routes)
        limits = body.limits
        _check_numbers(body.version, limits.max_body_bytes, limits.max_header_bytes)
        return RouteTable(
            body.version, routes, limits.max_body_bytes, limits.max_header_bytes
        )


def _check_numbers(*numbers: int) -> None:
    """Raise `ConfigurationDecodeError` for a number that can't be passed on."""
    if any(abs(number) > MAX_CONFIGURED for number in numbers):
        raise ConfigurationDecodeError("a number is out of range")


def _to_route(body: RouteBody) -> Route:
    _check_numbers(body.priority, body.max_attempts)
    return Route(
        name=body.name,
        host=body.host,
        path_prefix=body.path_prefix,
        service=body.service,
        timeout_ms=body.timeout_ms,
        margin_ms=body.slo_ms,
        stretch=body.stretch,
        priority=body.priority,
        max_attempts=max(1, body.max_attempts),
    )


def _to_job_request(
    job_id: str, route: Route, body: JobBody, max_size: int
) -> JobRequest | HttpResponse:
    if len(body.spec.encode()) > MAX_SPEC_BYTES:
        raise ValueError(f"spec: at most {MAX_SPEC_BYTES} bytes expected")
    if not body.steps:
        raise ValueError("steps: at least one expected")
    long_running = body.long_running or any(step.long_running for step in body.steps)
    gang_or_speculative = any(step.gang or step.speculative for step in body.steps)
    if not body.best_effort or body.repeat_count or long_running or gang_or_speculative:
        return _error_response(503, "this host doesn't serve jobs of this kind")
    if sum(max(0, step.count) for step in body.steps) > MAX_TASKS:
        raise ValueError(f"steps: at most {MAX_TASKS} tasks expected")
    # Refused before its steps are converted, which takes most of the processor time.
    if job_size(body) > max_size:
        text = "the host has no memory for a job of this size"
        return _error_response(503, text, SIZE_RETRY_S)
    steps = tuple(_to_step(index, step) for index, step in enumerate(body.steps))
    return JobRequest(job_id, body.spec, steps, route)


def _to_step(index: int, body: StepBody) -> JobStep:
    if body.count < 1:
        raise ValueError(f"steps[{index}].count: at least 1 expected")
    numbers = (body.cpu, body.mem_mb, body.gpus, body.max_per_server)
    if min(numbers) < 0:
        raise ValueError(f"steps[{index}]: numbers must not be negative")
    if max(numbers) > MAX_RESOURCE:
        raise ValueError(f"steps[{index}]: numbers must be at most {MAX_RESOURCE}")
    if any(not 0 <= earlier < index for earlier in body.after):
        raise ValueError(f"steps[{index}].after: indexes of earlier steps expected")
    return JobStep(
        count=body.count,
        resources=Resources(body.cpu, body.mem_mb, body.gpus),
        estimate_ms=body.estimate_ms,
        after=tuple(body.after),
        label=body.requires,
        near=body.affinity,
        most_per_upstream=body.max_per_server,
    )


def _is_job_id(text: str) -> bool:
    digits = "0123456789abcdefABCDEF"
    return len(text) == JOB_ID_DIGITS and all(c in digits for c in text)


def _caller_timeout_s(text: str | None) -> float | None:
    value = (text or "").strip()
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_TIMEOUT_DIGITS):
        return None
    return int(value) / MS_PER_S


def _error_response(status: int, text: str, retry_after_s: int = 0) -> HttpResponse:
    body = msgspec.json.encode(_ErrorReply(text))
    return HttpResponse(status, body, retry_after_s)
