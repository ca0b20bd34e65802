"""Appends claims of idempotency keys to the platform's log, and reads them."""

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
# Prevents a tight loop if the log answers an empty read before the wait has passed.
EMPTY_READ_GAP_S = 0.02
RATE_LIMIT_RETRY_S = 0.05

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
    """Appends claims in batches, one at a time, and reads the claims of all hosts."""

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
        self._next_offset = 0
        self._caught_up = False

    def start_reading(self) -> None:
        """Start to read the log."""
        self._read()

    def append(self, claim: Claim) -> None:
        """Append a claim, in one batch with all others that wait."""
        self._waiting.append(claim)
        self._append_next_batch()

    def _append_next_batch(self) -> None:
        if self._appending or not self._waiting:
            return
        if not self._rate_limiter.try_acquire(
            AppendPurpose.CLAIM, self._timer_queue.now
        ):
            self._timer_queue.call_later(RATE_LIMIT_RETRY_S, self._append_next_batch)
            return
        batch, self._waiting = self._waiting, []
        self._appending = True
        bodies = tuple(_ClaimBody(c.customer, c.key, str(c.submission)) for c in batch)
        record = msgspec.json.encode(_ClaimsRecord(SCHEMA, bodies)).decode()
        self._log.append(
            Stream.CLAIMS, record, lambda outcome: self._on_appended(batch, outcome)
        )

    def _on_appended(
        self, batch: list[Claim], outcome: Result[int, PlatformError]
    ) -> None:
        self._appending = False
        appended: bool | None = isinstance(outcome, Ok)
        if not appended and isinstance(outcome.err_value, OutcomeUnknown):
            appended = None
        for claim in batch:
            self._post(ClaimAppendCompleted(claim, appended))
        self._append_next_batch()

    def _read(self) -> None:
        wait_ms = READ_WAIT_MS if self._caught_up else 0.0
        self._log.read(Stream.CLAIMS, self._next_offset, wait_ms, self._on_read)

    def _on_read(self, outcome: Result[tuple[LogRecord, ...], PlatformError]) -> None:
        if isinstance(outcome, Ok):
            self._process_records(outcome.ok_value)
        elif isinstance(outcome.err_value, LogTrimmed):
            self._skip_to(outcome.err_value.first_offset)
        else:
            self._timer_queue.call_later(READ_RETRY_S, self._read)

    def _process_records(self, records: tuple[LogRecord, ...]) -> None:
        claims = [claim for record in records for claim in decode_claims(record)]
        if records:
            self._next_offset = records[-1].offset + 1
        self._caught_up = self._caught_up or not records
        if self._caught_up or claims:
            self._post(ClaimsRead(tuple(claims)))
        delay = 0.0 if records else EMPTY_READ_GAP_S
        self._timer_queue.call_later(delay, self._read)

    def _skip_to(self, first: int) -> None:
        """Continue at the new start of the log.

        The gap matters only if this host had caught up with the log before.
        """
        self._next_offset = first
        if self._caught_up:
            self._post(ClaimsRead((), gap=True))
        self._timer_queue.call_later(0.0, self._read)


def decode_claims(record: LogRecord) -> list[Claim]:
    """Return the claims of a record; log an error if it can't be decoded."""
    try:
        decoded = _RECORDS.decode(record.body)
        if decoded.schema != SCHEMA:
            raise msgspec.ValidationError(f"schema {decoded.schema} is not known")
        return [
            Claim(c.customer, c.key, SubmissionId.parse(c.submission))
            for c in decoded.claims
        ]
    except (msgspec.MsgspecError, RecursionError, InvalidId) as error:
        details = {"offset": record.offset, "reason": str(error)}
        log.error("claim record skipped", extra=details)
        return []
