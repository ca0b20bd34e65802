"""Fold the records of the log, in log order, into the version in force."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from jackdawspur.configuration._changes import apply_changes
from jackdawspur.configuration._checks import check_references
from jackdawspur.configuration._diff import summarize
from jackdawspur.configuration._document import HISTORY_KEPT, Configuration
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
from jackdawspur.configuration._reports import Skipped, Void
from jackdawspur.external import LogRecord

__all__ = ["NOTHING", "ConfigurationStateMachine"]

NOTHING = -1
VOIDS_KEPT = 128
SKIPPED_KEPT = 64
PLANS_KEPT = 128
# Bounds the memory of plans that nobody confirms; one change takes about 1 KB.
PLANNED_CHANGES_KEPT = 8_000
# Confirms that wait for a snapshot after a gap; a snapshot comes long before.
HELD_RECORDS = 2_000


class ConfigurationStateMachine:
    """Keep the state that a prefix of the log gives; the same on every host.

    `version` is in force here. `head` is the confirm that won last; it is ahead of
    `version` only while a winner has a schema that this program can't read. Without
    `contiguous`, records before `through` were trimmed away unread: the last good
    version serves, and nothing is judged until a snapshot covers the gap.
    """

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.version = NOTHING
        self.head = NOTHING
        self.through = NOTHING
        self.contiguous = True
        self.snapshot_at = 0.0
        self._snapshot_version = NOTHING
        self._gap = NOTHING
        self._history: OrderedDict[str, HistoryEntry] = OrderedDict()
        self._plans: OrderedDict[str, Proposal] = OrderedDict()
        self._voids: deque[Void] = deque(maxlen=VOIDS_KEPT)
        self._skipped: deque[Skipped] = deque(maxlen=SKIPPED_KEPT)
        self._held: deque[LogRecord] = deque()

    @property
    def changes_since_snapshot(self) -> int:
        """Return how many changes in force the newest snapshot lacks."""
        return len(self.changes_since(self._snapshot_version))

    @property
    def history(self) -> tuple[HistoryEntry, ...]:
        """Return the newest changes in force, oldest first."""
        return tuple(self._history.values())

    @property
    def voids(self) -> tuple[Void, ...]:
        """Return the newest confirms that lost, oldest first."""
        return tuple(self._voids)

    @property
    def skipped(self) -> tuple[Skipped, ...]:
        """Return the newest records that changed nothing, oldest first."""
        return tuple(self._skipped)

    @property
    def plans(self) -> tuple[Proposal, ...]:
        """Return the plans that nobody confirmed yet, oldest first."""
        return tuple(self._plans.values())

    def plan(self, plan: str) -> Proposal | None:
        """Return a proposal that is still kept."""
        return self._plans.get(plan)

    def confirmed(self, plan: str) -> HistoryEntry | None:
        """Return the change that a plan became."""
        return self._history.get(plan)

    def changes_since(self, version: int) -> tuple[HistoryEntry, ...]:
        """Return the changes in force that came after a version."""
        return tuple(e for e in self._history.values() if e.version > version)

    def apply_records(self, records: Iterable[LogRecord]) -> None:
        """Fold records that follow `through` without a gap; repeats do nothing."""
        for record in records:
            if record.offset <= self.through:
                continue
            self._fold_one(record)
            self.through = record.offset

    def skip_to(self, first: int) -> None:
        """Note that records before the offset `first` can't be read any more."""
        if first > self.through + 1:
            self.contiguous = False
            self.through = first - 1
            self._gap = first
            self._held.clear()

    def take_state(self, state: Snapshot) -> bool:
        """Take the state that a peer passed on; tell whether it brought anything.

        It stands for all records up to `through`, but isn't one of them. Folded as
        a record, it would hide the confirm that stands at its offset. An older state
        would take the version back.
        """
        known = self.contiguous and self.head == self.version
        if known and state.through <= self.through:
            return False
        if state.version < self.version:
            return False
        if state.through > self.through:
            self.contiguous = False
            self.through = state.through
            self._gap = state.through + 1
            self._held.clear()
        self._take_snapshot(state.through, state)
        return True

    def _fold_one(self, record: LogRecord) -> None:
        try:
            if self.contiguous and self.head == self.version:
                mark = decode_snapshot_header(record.body)
                if mark:
                    self._mark(mark)
                    return
            decoded = decode_record(record.body)
        except RecordError as error:
            self._skip(record.offset, error.reason, str(error))
            if error.reason is SkipReason.NEWER_SCHEMA:
                self._follow_newer(record)
            return
        match decoded:
            case Proposal():
                self._keep_plan(decoded)
            case Snapshot():
                self._take_snapshot(record.offset, decoded)
            case Confirm() if not self.contiguous:
                self._hold(record)
            case Confirm():
                self._judge(record.offset, decoded)

    def _follow_newer(self, record: LogRecord) -> None:
        # A host with a newer program applies this confirm. Its place in the order is
        # followed here too: else the hosts would judge later confirms differently.
        envelope = decode_envelope(record.body)
        if not self.contiguous:
            self._hold(record)
        elif envelope.kind == "confirm" and envelope.base == self.head:
            self.head = record.offset

    def _keep_plan(self, proposal: Proposal) -> None:
        self._plans.setdefault(proposal.plan, proposal)
        total = sum(len(plan.changes) for plan in self._plans.values())
        while len(self._plans) > 1 and (
            len(self._plans) > PLANS_KEPT or total > PLANNED_CHANGES_KEPT
        ):
            _, dropped = self._plans.popitem(last=False)
            total -= len(dropped.changes)

    def _judge(self, offset: int, confirm: Confirm) -> None:
        # A lost reply makes a host append the same confirm again. The plan won
        # already, so the repeat is neither a second change nor a conflict.
        if confirm.plan in self._history:
            return
        if confirm.base != self.head:
            self._void(offset, confirm)
            return
        if self.head != self.version:
            # Built on a winner that this program can't read: followed, not applied.
            self.head = offset
            text = "its base has a newer schema version"
            self._skip(offset, SkipReason.NEWER_SCHEMA, text)
            return
        after, errors = apply_changes(self.configuration, confirm.changes)
        errors = errors or tuple(check_references(after))
        if errors:
            text = "; ".join(f"{e.path}: {e.message}" for e in errors[:3])
            self._skip(offset, SkipReason.INVALID, text)
            return
        self._apply(offset, confirm, after)

    def _apply(self, offset: int, confirm: Confirm, after: Configuration) -> None:
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
        self._remember(entry)
        self.configuration = after
        self.version = self.head = offset

    def _void(self, offset: int, confirm: Confirm) -> None:
        if any(void.plan == confirm.plan for void in self._voids):
            return
        self._voids.append(
            Void(
                offset,
                confirm.plan,
                confirm.base,
                confirm.operator,
                confirm.reason,
                confirm.at,
                self.head,
            )
        )

    def _hold(self, record: LogRecord) -> None:
        self._held.append(record)
        if len(self._held) > HELD_RECORDS:
            self._gap = self._held.popleft().offset + 1

    def _take_snapshot(self, offset: int, snapshot: Snapshot) -> None:
        if not self.contiguous:
            self._bridge(offset, snapshot)
        elif snapshot.version == self.head != self.version:
            self._adopt(snapshot)
        self._mark(snapshot)

    def _mark(self, snapshot: Snapshot | SnapshotHeader) -> None:
        # A snapshot whose writer lagged still spares readers what came before it.
        if self._snapshot_version <= snapshot.version <= self.version:
            self._snapshot_version = snapshot.version
            self.snapshot_at = snapshot.at

    def _bridge(self, offset: int, snapshot: Snapshot) -> None:
        covers = snapshot.through >= self._gap - 1
        if snapshot.version < self.version:
            # A lagging writer's copy, or with `covers` a log that was set back. The
            # version in force never goes back; the operators have to look at it.
            if covers:
                text = f"snapshot of {snapshot.version}, in force {self.version}"
                self._skip(offset, SkipReason.LOG_WENT_BACK, text)
            return
        self._adopt(snapshot)
        if not covers:
            return
        self.contiguous = True
        held = tuple(self._held)
        self._held.clear()
        for record in held:
            if record.offset > snapshot.through:
                self._fold_one(record)

    def _adopt(self, snapshot: Snapshot) -> None:
        self.configuration = snapshot.configuration
        self.version = self.head = snapshot.version
        for entry in snapshot.history:
            self._remember(entry)

    def _remember(self, entry: HistoryEntry) -> None:
        self._history[entry.plan] = entry
        while len(self._history) > HISTORY_KEPT:
            self._history.popitem(last=False)

    def _skip(self, offset: int, reason: SkipReason, message: str) -> None:
        if all(known.offset != offset for known in self._skipped):
            self._skipped.append(Skipped(offset, reason, message))
