"""Replicated state machine that applies the records of the log in order."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from jackdawspur.configuration._changes import apply_changes
from jackdawspur.configuration._checks import check_references
from jackdawspur.configuration._diff import summarize
from jackdawspur.configuration._document import MAX_HISTORY, Configuration
from jackdawspur.configuration._errors import RecordError, SkipReason
from jackdawspur.configuration._records import (
    Confirm,
    HistoryEntry,
    Proposal,
    Snapshot,
    SnapshotHeader,
    decode_envelope,
    decode_record,
    decode_snapshot_header,
)
from jackdawspur.configuration._reports import SkippedRecord, VoidConfirm
from jackdawspur.external import LogRecord

__all__ = ["NO_VERSION", "ConfigurationStateMachine"]

NO_VERSION = -1
MAX_VOID_CONFIRMS = 128
MAX_SKIPPED = 64
MAX_PLANS = 128
# Bounds the memory of unconfirmed plans; one change takes about 1 KB.
MAX_PLANNED_CHANGES = 8_000
# Records buffered after a gap; a snapshot arrives long before this many.
MAX_BUFFERED_RECORDS = 2_000


class ConfigurationStateMachine:
    """State of the configuration after a log prefix; the same on every host.

    A version is the offset of its confirm. `version` is in force on this host. `head`
    is the last version that won; it is ahead of `version` only while its confirm has a
    schema that this program can't decode. `through` is the offset of the last record
    applied. If `contiguous` is false, the log was trimmed before this host read some
    records up to `through`: the last valid version stays in force, and no confirm is
    decided until a snapshot covers the gap.
    """

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.version = NO_VERSION
        self.head = NO_VERSION
        self.through = NO_VERSION
        self.contiguous = True
        self.snapshot_at = 0.0
        self._snapshot_version = NO_VERSION
        # First offset after the gap, used only while not contiguous.
        self._gap_end = NO_VERSION
        self._history: OrderedDict[str, HistoryEntry] = OrderedDict()
        self._plans: OrderedDict[str, Proposal] = OrderedDict()
        self._void_confirms: deque[VoidConfirm] = deque(maxlen=MAX_VOID_CONFIRMS)
        self._skipped: deque[SkippedRecord] = deque(maxlen=MAX_SKIPPED)
        self._buffered: deque[LogRecord] = deque()

    @property
    def changes_since_snapshot(self) -> int:
        """Return the number of changes in force since the newest snapshot."""
        return len(self.changes_since(self._snapshot_version))

    @property
    def history(self) -> tuple[HistoryEntry, ...]:
        """Return the most recent changes in force, oldest first."""
        return tuple(self._history.values())

    @property
    def void_confirms(self) -> tuple[VoidConfirm, ...]:
        """Return the most recent void confirms, oldest first."""
        return tuple(self._void_confirms)

    @property
    def skipped(self) -> tuple[SkippedRecord, ...]:
        """Return the most recent records skipped without effect, oldest first."""
        return tuple(self._skipped)

    @property
    def plans(self) -> tuple[Proposal, ...]:
        """Return the plans that are not confirmed yet, oldest first."""
        return tuple(self._plans.values())

    def plan(self, plan: str) -> Proposal | None:
        """Return the proposal of a plan, or None if it is no longer kept."""
        return self._plans.get(plan)

    def confirmed(self, plan: str) -> HistoryEntry | None:
        """Return the change that resulted from a plan, or None if it is unknown."""
        return self._history.get(plan)

    def changes_since(self, version: int) -> tuple[HistoryEntry, ...]:
        """Return the changes in force after a version."""
        return tuple(e for e in self._history.values() if e.version > version)

    def apply_records(self, records: Iterable[LogRecord]) -> None:
        """Apply records that follow `through` without a gap; ignore repeated ones."""
        for record in records:
            if record.offset <= self.through:
                continue
            self._apply_record(record)
            self.through = record.offset

    def skip_to(self, first: int) -> None:
        """Record that the log no longer holds records before the offset `first`."""
        if first > self.through + 1:
            self.contiguous = False
            self.through = first - 1
            self._gap_end = first
            self._buffered.clear()

    def install_state(self, state: Snapshot) -> bool:
        """Install a state sent by a peer; return whether it was newer than this one.

        It covers all records up to `through`, but isn't a record of the log. Applied
        as a record, it would hide the confirm at its offset. An older state is
        rejected, because it would set the version back.
        """
        known = self.contiguous and self.head == self.version
        if known and state.through <= self.through:
            return False
        if state.version < self.version:
            return False
        if state.through > self.through:
            self.contiguous = False
            self.through = state.through
            self._gap_end = state.through + 1
            self._buffered.clear()
        self._apply_snapshot(state.through, state)
        return True

    def _apply_record(self, record: LogRecord) -> None:
        try:
            if self.contiguous and self.head == self.version:
                header = decode_snapshot_header(record.body)
                if header:
                    self._record_snapshot(header)
                    return
            decoded = decode_record(record.body)
        except RecordError as error:
            self._record_skipped(record.offset, error.reason, str(error))
            if error.reason is SkipReason.NEWER_SCHEMA:
                self._track_newer_confirm(record)
            return
        match decoded:
            case Proposal():
                self._add_plan(decoded)
            case Snapshot():
                self._apply_snapshot(record.offset, decoded)
            case Confirm() if not self.contiguous:
                self._buffer(record)
            case Confirm():
                self._resolve_confirm(record.offset, decoded)

    def _track_newer_confirm(self, record: LogRecord) -> None:
        # Hosts with a newer program apply this confirm. The head advances here too:
        # otherwise the hosts would decide differently on later confirms.
        envelope = decode_envelope(record.body)
        if not self.contiguous:
            self._buffer(record)
        elif envelope.kind == "confirm" and envelope.base == self.head:
            self.head = record.offset

    def _add_plan(self, proposal: Proposal) -> None:
        self._plans.setdefault(proposal.plan, proposal)
        total = sum(len(plan.changes) for plan in self._plans.values())
        while len(self._plans) > 1 and (
            len(self._plans) > MAX_PLANS or total > MAX_PLANNED_CHANGES
        ):
            _, evicted = self._plans.popitem(last=False)
            total -= len(evicted.changes)

    def _resolve_confirm(self, offset: int, confirm: Confirm) -> None:
        # After a lost reply a host appends the same confirm again. The plan is already
        # in force, so the repeat is neither a second change nor a conflict.
        if confirm.plan in self._history:
            return
        if confirm.base != self.head:
            self._record_void_confirm(offset, confirm)
            return
        if self.head != self.version:
            # Based on a confirm that this program can't decode: advance the head only.
            self.head = offset
            text = "its base has a newer schema version"
            self._record_skipped(offset, SkipReason.NEWER_SCHEMA, text)
            return
        after, errors = apply_changes(self.configuration, confirm.changes)
        errors = errors or tuple(check_references(after))
        if errors:
            text = "; ".join(f"{e.path}: {e.message}" for e in errors[:3])
            self._record_skipped(offset, SkipReason.INVALID, text)
            return
        self._put_in_force(offset, confirm, after)

    def _put_in_force(
        self, offset: int, confirm: Confirm, after: Configuration
    ) -> None:
        entry = HistoryEntry(
            version=offset,
            base=confirm.base,
            plan=confirm.plan,
            operator=confirm.operator,
            reason=confirm.reason,
            at=confirm.at,
            summary=summarize(self.configuration, confirm.changes),
        )
        self._plans.pop(confirm.plan, None)
        self._add_to_history(entry)
        self.configuration = after
        self.version = self.head = offset

    def _record_void_confirm(self, offset: int, confirm: Confirm) -> None:
        if any(void.plan == confirm.plan for void in self._void_confirms):
            return
        self._void_confirms.append(
            VoidConfirm(
                offset,
                confirm.plan,
                confirm.base,
                confirm.operator,
                confirm.reason,
                confirm.at,
                self.head,
            )
        )

    def _buffer(self, record: LogRecord) -> None:
        self._buffered.append(record)
        if len(self._buffered) > MAX_BUFFERED_RECORDS:
            self._gap_end = self._buffered.popleft().offset + 1

    def _apply_snapshot(self, offset: int, snapshot: Snapshot) -> None:
        if not self.contiguous:
            self._close_gap(offset, snapshot)
        elif snapshot.version == self.head != self.version:
            self._install_snapshot(snapshot)
        self._record_snapshot(snapshot)

    def _record_snapshot(self, snapshot: Snapshot | SnapshotHeader) -> None:
        # The snapshot of a lagging writer still covers the records before its version.
        if self._snapshot_version <= snapshot.version <= self.version:
            self._snapshot_version = snapshot.version
            self.snapshot_at = snapshot.at

    def _close_gap(self, offset: int, snapshot: Snapshot) -> None:
        covers = snapshot.through >= self._gap_end - 1
        if snapshot.version < self.version:
            # The snapshot comes from a lagging writer or, if it covers the gap, from a
            # log that was restored to an older state. The version in force never goes
            # back; operators must investigate.
            if covers:
                text = f"snapshot of {snapshot.version}, in force {self.version}"
                self._record_skipped(offset, SkipReason.LOG_WENT_BACK, text)
            return
        self._install_snapshot(snapshot)
        if not covers:
            return
        self.contiguous = True
        buffered = tuple(self._buffered)
        self._buffered.clear()
        for record in buffered:
            if record.offset > snapshot.through:
                self._apply_record(record)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self.configuration = snapshot.configuration
        self.version = self.head = snapshot.version
        for entry in snapshot.history:
            self._add_to_history(entry)

    def _add_to_history(self, entry: HistoryEntry) -> None:
        self._history[entry.plan] = entry
        while len(self._history) > MAX_HISTORY:
            self._history.popitem(last=False)

    def _record_skipped(self, offset: int, reason: SkipReason, message: str) -> None:
        if all(known.offset != offset for known in self._skipped):
            self._skipped.append(SkippedRecord(offset, reason, message))
