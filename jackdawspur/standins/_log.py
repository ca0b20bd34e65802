"""Stand-in log without sockets; callers pass the current time."""

from collections import deque
from dataclasses import dataclass

import msgspec

from jackdawspur.wire import RecordBody

__all__ = ["LogFaults", "LogSettings", "LogStore"]


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Address, delay, limits and retention of the log.

    `appends_per_s` allows bursts of one second.
    """

    address: str
    append_delay_ms: float = 5.0
    appends_per_s: float = 500.0
    records_kept: int = 100000
    seconds_kept: float = 86400.0
    records_per_reply: int = 1000
    max_record_bytes: int = 1024 * 1024
    max_streams: int = 64


class LogFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the log; a post replaces all faults set before.

    With `outage` the log replies 503 without effect; with `silent` it sends no reply
    and has no effect. `lose_appends` and `lose_reads` are numbers of replies to drop
    after the request took effect. A rate or retention set here replaces that of the
    settings.
    """

    outage: bool = False
    silent: bool = False
    slow_factor: float = 1.0
    lose_appends: int = 0
    lose_reads: int = 0
    appends_per_s: float | None = None
    records_kept: int | None = None
    seconds_kept: float | None = None


@dataclass(slots=True)
class _Stream:
    next_offset: int
    records: deque[tuple[float, RecordBody]]

    @property
    def first(self) -> int:
        """Return the oldest offset that can be read."""
        return self.records[0][1].offset if self.records else self.next_offset


class LogStore:
    """Streams of records in order, within the retention."""

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._faults = LogFaults()
        self._streams: dict[str, _Stream] = {}
        self._tokens = settings.appends_per_s
        self._tokens_at = 0.0

    @property
    def faults(self) -> LogFaults:
        """Return the faults set last."""
        return self._faults

    @property
    def settings(self) -> LogSettings:
        """Return the settings of the log."""
        return self._settings

    def set_faults(self, faults: LogFaults) -> None:
        """Replace the current faults."""
        self._faults = faults

    def admit(self, stream: str, now: float) -> bool:
        """Consume a token of the rate limit; return False if the append is refused."""
        rate = _override(self._faults.appends_per_s, self._settings.appends_per_s)
        tokens = self._tokens + (now - self._tokens_at) * rate
        self._tokens = min(rate, tokens)
        self._tokens_at = now
        allowed = stream in self._streams or (
            len(self._streams) < self._settings.max_streams
        )
        if self._tokens < 1.0 or not allowed:
            return False
        self._tokens -= 1.0
        return True

    def append(self, stream: str, body: str, now: float) -> int:
        """Append a record; return its offset."""
        stored = self._streams.setdefault(stream, _Stream(0, deque()))
        offset = stored.next_offset
        stored.next_offset += 1
        stored.records.append((now, RecordBody(offset, body)))
        self._trim(stored, now)
        return offset

    def first(self, stream: str, now: float) -> int:
        """Return the oldest offset of a stream that can be read."""
        stored = self._streams.get(stream)
        if stored is None:
            return 0
        self._trim(stored, now)
        return stored.first

    def read(self, stream: str, offset: int, now: float) -> tuple[RecordBody, ...]:
        """Return the records from `offset` on, which must not be trimmed."""
        stored = self._streams.get(stream)
        if stored is None:
            return ()
        skipped = max(0, offset - self.first(stream, now))
        end = min(len(stored.records), skipped + self._settings.records_per_reply)
        return tuple(stored.records[index][1] for index in range(skipped, end))

    def _trim(self, stored: _Stream, now: float) -> None:
        records_kept = _override(self._faults.records_kept, self._settings.records_kept)
        seconds_kept = _override(self._faults.seconds_kept, self._settings.seconds_kept)
        records = stored.records
        while records and (
            len(records) > records_kept or records[0][0] <= now - seconds_kept
        ):
            records.popleft()


def _override(fault, setting):
    return setting if fault is None else fault
