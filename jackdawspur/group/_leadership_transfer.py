"""Transfer of the leadership to a host with more processor capacity."""

from collections.abc import Sequence

from jackdawspur.group._candidates import is_eligible, rank
from jackdawspur.group._messages import HostAddress, HostHeartbeat
from jackdawspur.leases import Fence

__all__ = ["LeadershipTransfer"]

# Minimum time that a host leads before it transfers the leadership voluntarily: during
# each change of leader no task starts for a moment. The time doubles with each transfer
# to the same host, so that the leadership doesn't oscillate if that host often fails.
MIN_LEADERSHIP_S = 5.0
MAX_DOUBLINGS = 4
MS_PER_S = 1000.0
# Ratio of processor shares; below it a transfer costs more than it gains.
MIN_PROCESSOR_RATIO = 1.5
# The candidate's list of upstreams must be as recent as a leader's.
MAX_LIST_AGE_S = 2.0


class LeadershipTransfer:
    """Decides whether and to which host the leadership is transferred."""

    def __init__(self, local: HostAddress) -> None:
        self._local = local
        self._leading_since = 0.0
        self._transfer_counts: dict[str, int] = {}
        self.transferred_to = ""

    def leadership_started(self, now: float) -> None:
        """Record that this host leads from now on."""
        self._leading_since = now
        self.transferred_to = ""

    def is_due(
        self,
        heartbeats: Sequence[HostHeartbeat],
        fence: Fence,
        unix_ms: float,
        now: float,
    ) -> bool:
        """Return whether to step down for a stronger host, and if so, record that."""
        eligible = [heartbeat for heartbeat in heartbeats if is_eligible(heartbeat)]
        candidate = min(
            eligible, key=lambda heartbeat: rank(heartbeat.host, unix_ms), default=None
        )
        if candidate is None or not self._is_better_leader(candidate, fence, unix_ms):
            return False
        name = candidate.host.name
        transfers = self._transfer_counts.get(name, 0)
        if now - self._leading_since < MIN_LEADERSHIP_S * 2 ** min(
            transfers, MAX_DOUBLINGS
        ):
            return False
        self._transfer_counts[name] = transfers + 1
        self.transferred_to = name
        return True

    def _is_better_leader(
        self, heartbeat: HostHeartbeat, fence: Fence, unix_ms: float
    ) -> bool:
        stronger = (
            heartbeat.host.processor >= MIN_PROCESSOR_RATIO * self._local.processor
        )
        long_running = (
            unix_ms - heartbeat.host.started_ms >= MIN_LEADERSHIP_S * MS_PER_S
        )
        follows = heartbeat.follows == fence
        return (
            stronger
            and long_running
            and follows
            and heartbeat.upstreams_age_s < MAX_LIST_AGE_S
        )
