"""Keep the newest records of the log to pass them on."""

from collections import deque
from collections.abc import Iterable

from jackdawspur.configuration._errors import RecordError
from jackdawspur.configuration._records import (
    Snapshot,
    decode_envelope,
    decode_record,
    encode_record,
)
from jackdawspur.configuration._state_machine import NOTHING, ConfigurationStateMachine
from jackdawspur.external import LogRecord
from jackdawspur.messages import RecordsPassed

__all__ = ["WHOLE_STATE", "Tail", "build_snapshot", "state_in"]

# Asked for in place of an offset when a gap has to be bridged.
WHOLE_STATE = -2

RECORDS_KEPT = 512
BYTES_KEPT = 1_000_000
RECORDS_PASSED = 100
BYTES_PASSED = 250_000
HISTORY_IN_SNAPSHOT = 50


def build_snapshot(fold: ConfigurationStateMachine, wall: float) -> Snapshot:
    """Return the state of a fold as a record.

    `through` claims only what this host is sure of: beyond a gap, or past a winner
    of a newer schema, that is the version in force.
    """
    sure = fold.contiguous and fold.head == fold.version
    return Snapshot(
        id=f"snapshot-{fold.version}",
        version=fold.version,
        through=fold.through if sure else fold.version,
        at=wall,
        configuration=fold.configuration,
        history=fold.history[-HISTORY_IN_SNAPSHOT:],
    )


def state_in(passed: RecordsPassed) -> Snapshot | None:
    """Return the state that a peer passed on in place of records.

    A snapshot of the log stands after all that it covers; only a state made up for
    a peer covers its own offset.
    """
    if not passed.records or not _is_snapshot(passed.records[0].body):
        return None
    try:
        snapshot = decode_record(passed.records[0].body)
    except RecordError:
        return None
    if not isinstance(snapshot, Snapshot):
        return None
    return snapshot if snapshot.through >= passed.records[0].offset else None


class Tail:
    """Hold records without a gap after the offset `after`, bounded."""

    def __init__(self) -> None:
        self._after = NOTHING
        self._records: deque[LogRecord] = deque()
        self._bytes = 0

    def extend(self, records: Iterable[LogRecord]) -> None:
        """Add records that follow without a gap.

        Snapshots are left out: who lacks nothing else doesn't need them, and one
        would push hundreds of changes out.
        """
        for record in records:
            if _is_snapshot(record.body):
                continue
            self._records.append(record)
            self._bytes += len(record.body)
        while len(self._records) > RECORDS_KEPT or self._bytes > BYTES_KEPT:
            dropped = self._records.popleft()
            self._after = dropped.offset
            self._bytes -= len(dropped.body)

    def restart(self, after: int) -> None:
        """Forget all records, because others are missing before the next."""
        self._records.clear()
        self._bytes = 0
        self._after = after

    def answer(
        self, after: int, fold: ConfigurationStateMachine, wall: float
    ) -> RecordsPassed:
        """Return what follows an offset, or a snapshot if that is not kept."""
        if after >= self._after:
            return RecordsPassed(self._batch(after), after)
        if fold.version == NOTHING:
            return RecordsPassed((), after)
        snapshot = build_snapshot(fold, wall)
        record = LogRecord(snapshot.through, encode_record(snapshot))
        return RecordsPassed((record,), snapshot.through - 1)

    def _batch(self, after: int) -> tuple[LogRecord, ...]:
        batch: list[LogRecord] = []
        size = 0
        for record in self._records:
            if record.offset <= after:
                continue
            size += len(record.body)
            if batch and (size > BYTES_PASSED or len(batch) == RECORDS_PASSED):
                break
            batch.append(record)
        return tuple(batch)


def _is_snapshot(body: str) -> bool:
    try:
        return decode_envelope(body).kind == "snapshot"
    except RecordError:
        return False
