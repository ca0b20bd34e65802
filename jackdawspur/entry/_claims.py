"""Claims of idempotency keys in the platform's log."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Ok, Result

from jackdawspur.adapters import TimerQueue
from jackdawspur.configuration import AppendPurpose, AppendRateLimiter
from jackdawspur.dispatch import Claim, ClaimAppendCompleted, ClaimsRead, Event
from jackdawspur.external import (
    Log,
    LogRecord,
    LogTrimmed,
    OutcomeUnknown,
    PlatformError,
    Stream,
)
from jackdawspur.model import InvalidId, SubmissionId

__all__ = ["ClaimDriver"]

SCHEMA = 1
READ_WAIT_MS = 2000.0
READ_RETRY_S = 0.3
# An empty reply before its wait was over must not become a tight loop.
EMPTY_READ_GAP_S = 0.02
BUDGET_RETRY_S = 0.05

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _ClaimBody:
    customer: str
    key: str
    submission: str


@dataclass(frozen=True, slots=True)
class _ClaimsRecord:
    schema: int
    claims: tuple[_ClaimBody, ...]


_RECORDS = msgspec.json.Decoder(_ClaimsRecord)


class ClaimDriver:
    """Append claims in batches, one append at a time, and read everyone's back."""

    def __init__(
        self,
        platform_log: Log,
        rate_limiter: AppendRateLimiter,
        timer_queue: TimerQueue,
        post: Callable[[Event], None],
    ) -> None:
        self._log = platform_log
        self._rate_limiter = rate_limiter
        self._timer_queue = timer_queue
        self._post = post
        self._waiting: list[Claim] = []
        self._appending = False
        self._next = 0
        self._caught_up = False

    def begin(self) -> None:
        """Start to read."""
        self._read()

    def append(self, claim: Claim) -> None:
        """Append a claim, together with all others that wait by then."""
        self._waiting.append(claim)
        self._pump()

    def _pump(self) -> None:
        if self._appending or not self._waiting:
            return
        if not self._rate_limiter.try_acquire(
            AppendPurpose.CLAIM, self._timer_queue.now
        ):
            self._timer_queue.call_later(BUDGET_RETRY_S, self._pump)
            return
        batch, self._waiting = self._waiting, []
        self._appending = True
        bodies = tuple(_ClaimBody(c.customer, c.key, str(c.submission)) for c in batch)
        record = msgspec.json.encode(_ClaimsRecord(SCHEMA, bodies)).decode()
        self._log.append(
            Stream.CLAIMS, record, lambda done: self._appended(batch, done)
        )

    def _appended(self, batch: list[Claim], done: Result[int, PlatformError]) -> None:
        self._appending = False
        appended: bool | None = isinstance(done, Ok)
        if not appended and isinstance(done.err_value, OutcomeUnknown):
            appended = None
        for claim in batch:
            self._post(ClaimAppendCompleted(claim, appended))
        self._pump()

    def _read(self) -> None:
        wait_ms = READ_WAIT_MS if self._caught_up else 0.0
        self._log.read(Stream.CLAIMS, self._next, wait_ms, self._on_read)

    def _on_read(self, done: Result[tuple[LogRecord, ...], PlatformError]) -> None:
        if isinstance(done, Ok):
            self._take(done.ok_value)
        elif isinstance(done.err_value, LogTrimmed):
            self._skip(done.err_value.first_offset)
        else:
            self._timer_queue.call_later(READ_RETRY_S, self._read)

    def _take(self, records: tuple[LogRecord, ...]) -> None:
        claims = [claim for record in records for claim in decode_claims(record)]
        if records:
            self._next = records[-1].offset + 1
        self._caught_up = self._caught_up or not records
        if self._caught_up or claims:
            self._post(ClaimsRead(tuple(claims)))
        delay = 0.0 if records else EMPTY_READ_GAP_S
        self._timer_queue.call_later(delay, self._read)

    def _skip(self, first: int) -> None:
        """Go on where the log now starts; after a start that is no loss."""
        self._next = first
        if self._caught_up:
            self._post(ClaimsRead((), gap=True))
        self._timer_queue.call_later(0.0, self._read)


def decode_claims(record: LogRecord) -> list[Claim]:
    """Return the claims of a record; one that can't be read is reported."""
    try:
        read = _RECORDS.decode(record.body)
        if read.schema != SCHEMA:
            raise msgspec.ValidationError(f"schema {read.schema} is not known")
        return [
            Claim(c.customer, c.key, SubmissionId.parse(c.submission))
            for c in read.claims
        ]
    except (msgspec.MsgspecError, RecursionError, InvalidId) as error:
        reason = {"offset": record.offset, "reason": str(error)}
        log.error("claim record skipped", extra=reason)
        return []
