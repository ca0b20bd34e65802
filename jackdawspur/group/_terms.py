"""The time in which a host leads."""

from dataclasses import dataclass, field

from jackdawspur.group._messages import HostHeartbeat
from jackdawspur.leases import Fence

__all__ = ["Term", "precedence"]


@dataclass(frozen=True, slots=True)
class Term:
    """Name the time in which a host leads under one fence.

    `by_zone` tells whether its group is one zone alone, which may change meanwhile.
    """

    leader: str
    fence: Fence
    by_zone: bool = field(default=False, compare=False)


def precedence(term: Term | HostHeartbeat) -> tuple[bool, Fence]:
    """Return a key whose highest leads a host.

    Of one zone's leading host and one of all zones, the former gives up as soon as its
    own list is short enough. Until then both run jobs, and each keeps those it has.
    """
    return (term.by_zone, term.fence)
