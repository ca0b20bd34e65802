"""What heartbeats tell about the lists of upstreams of other hosts."""

from collections.abc import Sequence

from jackdawspur.group._messages import HostHeartbeat
from jackdawspur.group._pauses import MAX_PAUSE_S

__all__ = ["list_bounds"]


def list_bounds(
    list_ages: Sequence[tuple[HostHeartbeat, float]], now: float
) -> tuple[int, float]:
    """Return the maximum length of the hosts' lists, and when all had read theirs.

    Hosts without a list are left out, since they have just started and can't lead. If
    they counted, no upstream could be used until they have one. A heartbeat may have
    waited to be read for as long as a host that leads may be paused.
    """
    ready = [(heartbeat, age_s) for heartbeat, age_s in list_ages if heartbeat.ready]
    longest = max((heartbeat.upstreams for heartbeat, _age_s in ready), default=0)
    oldest_age_s = max((age_s for _heartbeat, age_s in ready), default=0.0)
    return longest, now - oldest_age_s - MAX_PAUSE_S
