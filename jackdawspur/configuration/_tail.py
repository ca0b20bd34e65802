"""The most recent records of the log, kept to send them to peers."""

from collections import deque
from collections.abc import Iterable

from jackdawspur.configuration._errors import RecordError
from jackdawspur.configuration._records import (
    Snapshot,
    decode_envelope,
    decode_record,
    encode_record,
)
from jackdawspur.configuration._state_machine import (
    NO_VERSION,
    ConfigurationStateMachine,
)
from jackdawspur.external import LogRecord
from jackdawspur.messages import RecordsPassed

__all__ = ["FULL_STATE", "Tail", "build_snapshot", "extract_state"]

# Requested instead of an offset by a host that has a gap in its records.
FULL_STATE = -2

MAX_RECORDS = 512
MAX_BYTES = 1_000_000
MAX_BATCH_RECORDS = 100
MAX_BATCH_BYTES = 250_000
MAX_SNAPSHOT_HISTORY = 50


def build_snapshot(state_machine: ConfigurationStateMachine, wall: float) -> Snapshot:
    """Return the state of a state machine as a snapshot record.

    `through` covers only records that this host has applied: after a gap, or after a
    confirm of a newer schema, only those up to the version in force.
    """
    is_current = (
        state_machine.contiguous and state_machine.head == state_machine.version
    )
    return Snapshot(
        id=f"snapshot-{state_machine.version}",
        version=state_machine.version,
        through=state_machine.through if is_current else state_machine.version,
        at=wall,
        configuration=state_machine.configuration,
        history=state_machine.history[-MAX_SNAPSHOT_HISTORY:],
    )


def extract_state(passed: RecordsPassed) -> Snapshot | None:
    """Return the snapshot that a peer built and sent instead of records, or None.

    A snapshot from the log has a higher offset than all records that it covers; only
    a state built for a peer covers its own offset.
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
    """Bounded, gapless sequence of the most recent records."""

    def __init__(self) -> None:
        self._after = NO_VERSION
        self._records: deque[LogRecord] = deque()
        self._bytes = 0

    def extend(self, records: Iterable[LogRecord]) -> None:
        """Add records that follow without a gap.

        Snapshots are left out: a peer that has all other records doesn't need them,
        and one snapshot would evict hundreds of changes.
        """
        for record in records:
            if _is_snapshot(record.body):
                continue
            self._records.append(record)
            self._bytes += len(record.body)
        while len(self._records) > MAX_RECORDS or self._bytes > MAX_BYTES:
            evicted = self._records.popleft()
            self._after = evicted.offset
            self._bytes -= len(evicted.body)

    def reset(self, after: int) -> None:
        """Remove all records, as the next one will not directly follow them."""
        self._records.clear()
        self._bytes = 0
        self._after = after

    def records_after(
        self, after: int, state_machine: ConfigurationStateMachine, wall: float
    ) -> RecordsPassed:
        """Return the records after an offset, or a snapshot if some aren't kept."""
        if after >= self._after:
            return RecordsPassed(self._batch(after), after)
        if state_machine.version == NO_VERSION:
            return RecordsPassed((), after)
        snapshot = build_snapshot(state_machine, wall)
        record = LogRecord(snapshot.through, encode_record(snapshot))
        return RecordsPassed((record,), snapshot.through - 1)

    def _batch(self, after: int) -> tuple[LogRecord, ...]:
        batch: list[LogRecord] = []
        size = 0
        for record in self._records:
            if record.offset <= after:
                continue
            size += len(record.body)
            if batch and (size > MAX_BATCH_BYTES or len(batch) == MAX_BATCH_RECORDS):
                break
            batch.append(record)
        return tuple(batch)


def _is_snapshot(body: str) -> bool:
    try:
        return decode_envelope(body).kind == "snapshot"
    except RecordError:
        return False
