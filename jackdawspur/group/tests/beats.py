"""Heartbeats of groups under test."""

from jackdawspur.group import Group, HostAddress, HostBeat

__all__ = ["beat_of"]


def beat_of(group: Group, host: HostAddress, now: float) -> HostBeat:
    """Return what a host with a fresh list tells of its group."""
    term = group.term(now)
    return HostBeat(
        host=host,
        sent_at=now,
        leads=group.leads,
        fence=group.fence if group.leads else 0,
        ready=True,
        draining=group.draining,
        slow=group.slow,
        configuration=1,
        upstreams_age_s=0.0,
        knows=(),
        follows=term.fence if term else 0,
    )
