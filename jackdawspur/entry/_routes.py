"""The HTTP interface of an entry host: callers, operators and health checks."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from time import time
from typing import Protocol

import msgspec

from jackdawspur.adapters import Call, WebService
from jackdawspur.callers import (
    BodyError,
    HttpResponse,
    JobClassSettings,
    read_ids_body,
    read_job_body,
    refusal_response,
    to_request,
)
from jackdawspur.configuration import (
    Configuration,
    ConfirmAsked,
    CustomerEntry,
    HistoryAsked,
    OperatorReply,
    OperatorRequest,
    PlanAsked,
    Readiness,
    StatusAsked,
    find_job_class,
    format_operator_reply,
    token_hash,
)
from jackdawspur.dispatch import (
    CallClosed,
    CancelRequested,
    Event,
    Polled,
    SubmissionIdsRequested,
    Submitted,
)
from jackdawspur.entry._status import HostStatus, format_status
from jackdawspur.model import FailureCode, InvalidId, JobRequest, SubmissionId
from jackdawspur.ownership import IDEMPOTENCY_KEY_TTL_S

__all__ = ["HostInterface", "Routes"]

KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 200
# A key expires after its TTL; if its job lived longer, a repeat would run it again.
# Half of the TTL leaves time for hosts that read the claim late.
MAX_KEYED_DEADLINE_MS = IDEMPOTENCY_KEY_TTL_S / 2 * 1000.0
TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"


class HostInterface(Protocol):
    """Methods of the host that the routes call."""

    def post(self, event: Event) -> None:
        """Queue an event for the core."""

    def handle_operator_request(self, request: OperatorRequest) -> None:
        """Pass a request to the operator API."""

    def reply(self, call_id: int, reply: HttpResponse) -> None:
        """Reply to a call."""

    def readiness(self) -> Readiness:
        """Return whether new jobs are accepted, and why not."""

    def status(self) -> HostStatus:
        """Return the status of this host for operators."""


@dataclass(frozen=True, slots=True)
class _ReadinessBody:
    ready: bool
    reason: str


@dataclass(frozen=True, slots=True)
class _OperatorReplyBody:
    code: str
    message: str
    page: str
    body: object


@dataclass(frozen=True, slots=True)
class _Route:
    method: str
    pattern: re.Pattern[str]
    handle: Callable[["Routes", Call, re.Match[str]], None]


class Routes(WebService):
    """Turns HTTP calls into events and operator requests."""

    def __init__(self, host: HostInterface) -> None:
        self._host = host
        self._customers: dict[str, CustomerEntry] = {}
        self._text_calls: set[int] = set()
        self._status_calls: set[int] = set()

    def set_configuration(self, configuration: Configuration) -> None:
        """Use the customers and tokens of a configuration from now on."""
        self._customers = {
            hashed: customer
            for customer in configuration.customers
            for hashed in customer.token_sha256
        }

    def handle_call(self, call: Call) -> None:
        """Pass a call to the handler of its route."""
        known_path = False
        for route in _ROUTES:
            match = route.pattern.fullmatch(call.path)
            if match is None:
                continue
            known_path = True
            if route.method == call.method:
                route.handle(self, call, match)
                return
        self._refuse_unknown_route(call, known_path)

    def caller_disconnected(self, call_id: int) -> None:
        """Process the disconnection of a caller."""
        self._text_calls.discard(call_id)
        self._status_calls.discard(call_id)
        self._host.post(CallClosed(call_id))

    def deliver_operator_reply(self, reply: OperatorReply) -> None:
        """Send a reply of the operator API to its operator."""
        as_text = reply.call in self._text_calls
        self._text_calls.discard(reply.call)
        wants_status = reply.call in self._status_calls
        self._status_calls.discard(reply.call)
        if wants_status and reply.status == HTTPStatus.OK:
            self._reply_status(reply, as_text)
        elif as_text:
            body = format_operator_reply(reply).encode()
            self._host.reply(
                reply.call, HttpResponse(int(reply.status), body, 0, TEXT_CONTENT_TYPE)
            )
        else:
            reply_body = _OperatorReplyBody(
                str(reply.code), reply.message, reply.page, reply.body
            )
            body = msgspec.json.encode(reply_body)
            self._host.reply(reply.call, HttpResponse(int(reply.status), body))

    def _reply_status(self, reply: OperatorReply, as_text: bool) -> None:
        status = self._host.status()
        if as_text:
            body = (format_status(status) + format_operator_reply(reply)).encode()
            self._host.reply(reply.call, HttpResponse(200, body, 0, TEXT_CONTENT_TYPE))
            return
        reply_body = _StatusBody(status, reply.body)
        self._host.reply(reply.call, HttpResponse(200, msgspec.json.encode(reply_body)))

    def _refuse_unknown_route(self, call: Call, known_path: bool) -> None:
        code = FailureCode.INVALID if known_path else FailureCode.NOT_FOUND
        text = f"{call.method} {call.path} is not supported"
        self._host.reply(call.call_id, refusal_response(code, text))

    def _authenticate(self, call: Call) -> CustomerEntry | None:
        """Return the customer that owns the call's token, or refuse the call."""
        customer = (
            self._customers.get(token_hash(call.bearer_token))
            if call.bearer_token
            else None
        )
        if customer is not None:
            return customer
        readiness = self._host.readiness()
        if not self._customers and not readiness.ready:
            refused = refusal_response(FailureCode.NOT_READY, readiness.message)
        else:
            text = "a bearer token of a customer is needed"
            refused = refusal_response(FailureCode.UNAUTHORIZED, text)
        self._host.reply(call.call_id, refused)
        return None

    def _refuse(self, call: Call, code: FailureCode, text: str) -> None:
        self._host.reply(call.call_id, refusal_response(code, text))

    def _submit(
        self, call: Call, submission: SubmissionId | None, key: str | None
    ) -> None:
        customer = self._authenticate(call)
        if customer is None:
            return
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            text = f"{KEY_HEADER}: 1 to {MAX_KEY_LENGTH} characters expected"
            self._refuse(call, FailureCode.INVALID, text)
            return
        try:
            body = read_job_body(call.body)
            class_settings = _job_class_settings(customer, body.job_class)
            request = to_request(body, customer.name, class_settings, key, submission)
            _check_keyed_deadline(request)
        except BodyError as error:
            self._refuse(call, FailureCode.INVALID, str(error))
            return
        self._host.post(Submitted(call.call_id, request, call.query_flag("wait")))

    def _post_job(self, call: Call, _match: re.Match[str]) -> None:
        self._submit(call, None, call.headers.get(KEY_HEADER))

    def _put_submission(self, call: Call, match: re.Match[str]) -> None:
        submission = self._parse_submission(call, match)
        if submission is not None:
            self._submit(call, submission, None)

    def _parse_submission(
        self, call: Call, match: re.Match[str]
    ) -> SubmissionId | None:
        try:
            return SubmissionId.parse(match["id"])
        except InvalidId as error:
            self._refuse(call, FailureCode.NOT_FOUND, str(error))
            return None

    def _get_submission(self, call: Call, match: re.Match[str]) -> None:
        customer = self._authenticate(call)
        submission = self._parse_submission(call, match) if customer else None
        if submission is not None:
            wait = call.query_flag("wait")
            self._host.post(Polled(call.call_id, customer.name, submission, wait))

    def _delete_submission(self, call: Call, match: re.Match[str]) -> None:
        customer = self._authenticate(call)
        submission = self._parse_submission(call, match) if customer else None
        if submission is not None:
            self._host.post(CancelRequested(call.call_id, customer.name, submission))

    def _post_submissions(self, call: Call, _match: re.Match[str]) -> None:
        customer = self._authenticate(call)
        if customer is None:
            return
        try:
            count = read_ids_body(call.body).count
        except BodyError as error:
            self._refuse(call, FailureCode.INVALID, str(error))
            return
        self._host.post(SubmissionIdsRequested(call.call_id, customer.name, count))

    def _livez(self, call: Call, _match: re.Match[str]) -> None:
        self._host.reply(call.call_id, HttpResponse(200, b'{"live":true}'))

    def _readyz(self, call: Call, _match: re.Match[str]) -> None:
        readiness = self._host.readiness()
        body = msgspec.json.encode(_ReadinessBody(readiness.ready, readiness.message))
        self._host.reply(
            call.call_id, HttpResponse(200 if readiness.ready else 503, body)
        )

    def _send_request(self, call: Call, request: OperatorRequest) -> None:
        if "format=text" in call.query:
            self._text_calls.add(call.call_id)
        self._host.handle_operator_request(request)

    def _plan(self, call: Call, _match: re.Match[str]) -> None:
        intent = call.body.decode(errors="replace")
        self._send_request(
            call, PlanAsked(call.call_id, call.bearer_token or "", intent, time())
        )

    def _confirm(self, call: Call, match: re.Match[str]) -> None:
        request = ConfirmAsked(
            call.call_id, call.bearer_token or "", match["id"], time()
        )
        self._send_request(call, request)

    def _history(self, call: Call, _match: re.Match[str]) -> None:
        self._send_request(
            call, HistoryAsked(call.call_id, call.bearer_token or "", time())
        )

    def _status(self, call: Call, _match: re.Match[str]) -> None:
        self._status_calls.add(call.call_id)
        self._send_request(
            call, StatusAsked(call.call_id, call.bearer_token or "", time())
        )


@dataclass(frozen=True, slots=True)
class _StatusBody:
    host: HostStatus
    configuration: object


def _check_keyed_deadline(request: JobRequest) -> None:
    if request.key is not None and request.deadline_ms > MAX_KEYED_DEADLINE_MS:
        maximum = f"{MAX_KEYED_DEADLINE_MS:.0f}"
        raise BodyError(f"deadline_ms: at most {maximum} with an {KEY_HEADER}")


def _job_class_settings(customer: CustomerEntry, name: str) -> JobClassSettings:
    settings = find_job_class(customer, name)
    if settings is None:
        known = ", ".join(c.name for c in customer.classes) or "none"
        raise BodyError(f"job_class: no such class; configured are: {known}")
    return JobClassSettings(
        settings.deadline_ms, settings.max_tasks, settings.idempotent
    )


def _route(method: str, path: str, handle) -> _Route:
    return _Route(method, re.compile(path), handle)


_ID_PATTERN = r"(?P<id>[A-Za-z0-9._-]{1,200})"
_ROUTES = (
    _route("POST", r"/v1/jobs", Routes._post_job),
    _route("POST", r"/v1/submissions", Routes._post_submissions),
    _route("PUT", rf"/v1/submissions/{_ID_PATTERN}", Routes._put_submission),
    _route("GET", rf"/v1/submissions/{_ID_PATTERN}", Routes._get_submission),
    _route("DELETE", rf"/v1/submissions/{_ID_PATTERN}", Routes._delete_submission),
    _route("GET", r"/livez", Routes._livez),
    _route("GET", r"/readyz", Routes._readyz),
    _route("GET", r"/status", Routes._status),
    _route("POST", r"/admin/v1/plans", Routes._plan),
    _route("POST", rf"/admin/v1/plans/{_ID_PATTERN}/confirm", Routes._confirm),
    _route("GET", r"/admin/v1/history", Routes._history),
)
