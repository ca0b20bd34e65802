"""Eligibility and rank of hosts in a leader election."""

from jackdawspur.group._messages import HostAddress, HostHeartbeat

__all__ = ["is_eligible", "rank"]

# A host that has run for less than this ranks last, since it is more likely to fail.
MIN_UPTIME_MS = 2000


def is_eligible(heartbeat: HostHeartbeat) -> bool:
    """Return whether a host may lead."""
    return heartbeat.ready and not heartbeat.draining and not heartbeat.slow


def rank(host: HostAddress, unix_ms: float) -> tuple[bool, float, int, str]:
    """Return a sort key; the host with the lowest key leads.

    The host with the largest processor share comes first, and among equals the one
    that started last, to within `MIN_UPTIME_MS`. In the next rolling restart that host
    is restarted last again, so the leader changes least often. A host that has run for
    less than `MIN_UPTIME_MS` ranks last.
    """
    fresh = unix_ms - host.started_ms < MIN_UPTIME_MS
    return (fresh, -host.processor, -(host.started_ms // MIN_UPTIME_MS), host.name)
