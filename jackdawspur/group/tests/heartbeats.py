"""Heartbeats for tests of groups."""

from jackdawspur.group import Group, HostAddress, HostHeartbeat

__all__ = ["heartbeat_of"]


def heartbeat_of(group: Group, host: HostAddress, now: float) -> HostHeartbeat:
    """Return a heartbeat of a host whose list of upstreams was read just now."""
    term = group.term(now)
    return HostHeartbeat(
        host=host,
        sent_at=now,
        leads=group.is_leader,
        fence=group.fence if group.is_leader else 0,
        ready=True,
        draining=group.draining,
        slow=group.slow,
        configuration=1,
        upstreams_age_s=0.0,
        knows=(),
        follows=term.fence if term else 0,
    )
