"""Decides which host writes a snapshot, and when."""

from collections.abc import Iterable

from jackdawspur.configuration._state_machine import ConfigurationStateMachine
from jackdawspur.model import HostId

__all__ = ["SnapshotScheduler"]

# Each host waits this much longer than the one ranked before it.
DELAY_PER_RANK_S = 5.0
# How long a host waits for its snapshot to be read back before it writes another one.
RETRY_S = 30.0


class SnapshotScheduler:
    """Decide from this host's view of its peers when it should write a snapshot.

    A snapshot is due well before the log is trimmed. The hosts are ranked by name: if
    the first one can't reach the log, the next one writes it. If views differ, two
    hosts may write one, which is harmless.
    """

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._due_since: float | None = None
        self._not_before = float("-inf")

    def due(
        self,
        state_machine: ConfigurationStateMachine,
        can_write: bool,
        live: Iterable[HostId],
        wall: float,
        now: float,
    ) -> bool:
        """Return whether to write now; if so, start the delay before a retry."""
        policies = state_machine.configuration.policies
        is_old = wall - state_machine.snapshot_at >= policies.snapshot_interval_s
        many_changes = (
            state_machine.changes_since_snapshot >= policies.snapshot_after_changes
        )
        if not (can_write and (is_old or many_changes)):
            self._due_since = None
            return False
        if self._due_since is None:
            self._due_since = now
        names = sorted({(host.zone, host.name) for host in (*live, self._host)})
        # The first host waits too: when hosts start together, none has received a
        # heartbeat yet, and each would consider itself the first.
        rank = 1 + names.index((self._host.zone, self._host.name))
        delay = rank * DELAY_PER_RANK_S
        if now < max(self._due_since + delay, self._not_before):
            return False
        self._not_before = now + RETRY_S
        return True
