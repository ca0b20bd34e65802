"""Which host is to lead next."""

from jackdawspur.group._messages import HostAddress, HostHeartbeat

__all__ = ["is_fit", "rank"]

# A host just started is likely to be one that fails; it leads if no other can.
SETTLED_MS = 2000


def is_fit(beat: HostHeartbeat) -> bool:
    """Tell whether a host may lead."""
    return beat.ready and not beat.draining and not beat.slow


def rank(host: HostAddress, unix_ms: float) -> tuple[bool, float, int, str]:
    """Return a key whose lowest leads: the largest, of these the one restarted last.

    A host started just now is passed over. While all hosts are restarted one after the
    other, the one restarted last is the one whose turn comes last again.
    """
    fresh = unix_ms - host.started_ms < SETTLED_MS
    return (fresh, -host.processor, -(host.started_ms // SETTLED_MS), host.name)
