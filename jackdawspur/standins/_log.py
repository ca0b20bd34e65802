"""What a stand-in log keeps, trims and refuses; the time is passed."""

from collections import deque
from dataclasses import dataclass

import msgspec

from jackdawspur.wire import RecordBody

__all__ = ["LogFaults", "LogSettings", "LogStore"]


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Size the log: where it listens, its delay, limits and retention.

    `append_delay_ms` in milliseconds; `appends_per_s` with a burst of one second.
    """

    address: str
    append_delay_ms: float = 5.0
    appends_per_s: float = 500.0
    records_kept: int = 100000
    seconds_kept: float = 86400.0
    records_per_reply: int = 1000
    record_bytes: int = 1024 * 1024
    streams: int = 64


class LogFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Say how the log misbehaves; a post replaces all faults set before.

    `outage` answers 503 without effect; `silent` gives no answer and no effect;
    `lose_appends` and `lose_reads` count replies dropped after their effect; a
    retention that is set here holds from now on.
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
class _StreamKept:
    next_offset: int
    records: deque[tuple[float, RecordBody]]

    @property
    def first(self) -> int:
        """Return the oldest offset that can be read."""
        return self.records[0][1].offset if self.records else self.next_offset


class LogStore:
    """Keep streams of records in order, within the retention."""

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._faults = LogFaults()
        self._streams: dict[str, _StreamKept] = {}
        self._tokens = settings.appends_per_s
        self._tokens_at = 0.0

    @property
    def faults(self) -> LogFaults:
        """Return the faults set last."""
        return self._faults

    @property
    def settings(self) -> LogSettings:
        """Return the settings it was made with."""
        return self._settings

    def set_faults(self, faults: LogFaults) -> None:
        """Behave so from now on."""
        self._faults = faults

    def admit(self, stream: str, now: float) -> bool:
        """Take one append from the rate limit, or refuse it."""
        rate = _set(self._faults.appends_per_s, self._settings.appends_per_s)
        tokens = self._tokens + (now - self._tokens_at) * rate
        self._tokens = min(rate, tokens)
        self._tokens_at = now
        known = stream in self._streams or (len(self._streams) < self._settings.streams)
        if self._tokens < 1.0 or not known:
            return False
        self._tokens -= 1.0
        return True

    def append(self, stream: str, body: str, now: float) -> int:
        """Append a record; return its offset."""
        kept = self._streams.setdefault(stream, _StreamKept(0, deque()))
        offset = kept.next_offset
        kept.next_offset += 1
        kept.records.append((now, RecordBody(offset, body)))
        self._trim(kept, now)
        return offset

    def first(self, stream: str, now: float) -> int:
        """Return the oldest offset of a stream that can be read."""
        kept = self._streams.get(stream)
        if kept is None:
            return 0
        self._trim(kept, now)
        return kept.first

    def read(self, stream: str, offset: int, now: float) -> tuple[RecordBody, ...]:
        """Return records from `offset` on, which must not be trimmed."""
        kept = self._streams.get(stream)
        if kept is None:
            return ()
        skipped = max(0, offset - self.first(stream, now))
        end = min(len(kept.records), skipped + self._settings.records_per_reply)
        return tuple(kept.records[place][1] for place in range(skipped, end))

    def _trim(self, kept: _StreamKept, now: float) -> None:
        records_kept = _set(self._faults.records_kept, self._settings.records_kept)
        seconds_kept = _set(self._faults.seconds_kept, self._settings.seconds_kept)
        records = kept.records
        while records and (
            len(records) > records_kept or records[0][0] <= now - seconds_kept
        ):
            records.popleft()


def _set(fault, setting):
    return setting if fault is None else fault
