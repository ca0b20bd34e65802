"""Choose who writes a snapshot, and when."""

from collections.abc import Iterable

from jackdawspur.configuration._state_machine import ConfigurationStateMachine
from jackdawspur.model import HostId

__all__ = ["SnapshotTurns"]

STAGGER_S = 5.0
RETRY_S = 30.0


class SnapshotTurns:
    """Work out this host's turn from its own view.

    A snapshot is due well before the log trims. If the first host can't reach the
    log, or views differ, the next one follows; a double changes nothing.
    """

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._due_since: float | None = None
        self._not_before = float("-inf")

    def due(
        self,
        fold: ConfigurationStateMachine,
        able: bool,
        live: Iterable[HostId],
        wall: float,
        now: float,
    ) -> bool:
        """Tell whether to write now; a true answer starts the wait for a retry."""
        policies = fold.configuration.policies
        aged = wall - fold.snapshot_at >= policies.snapshot_interval_s
        many = fold.changes_since_snapshot >= policies.snapshot_after_changes
        if not (able and (aged or many)):
            self._due_since = None
            return False
        if self._due_since is None:
            self._due_since = now
        names = sorted({(host.zone, host.name) for host in (*live, self._host)})
        # The first one waits too: when hosts start together none has heard of the
        # others yet, and each would believe that it is the first.
        place = 1 + names.index((self._host.zone, self._host.name))
        turn = place * STAGGER_S
        if now < max(self._due_since + turn, self._not_before):
            return False
        self._not_before = now + RETRY_S
        return True
