"""Terms of leaders and their precedence."""

from dataclasses import dataclass, field

from jackdawspur.group._messages import HostHeartbeat
from jackdawspur.leases import Fence

__all__ = ["Term", "precedence"]


@dataclass(frozen=True, slots=True)
class Term:
    """A period in which one host leads under one fence.

    `by_zone` is true if its group consists of one zone; it may change within a term.
    """

    leader: str
    fence: Fence
    by_zone: bool = field(default=False, compare=False)


def precedence(term: Term | HostHeartbeat) -> tuple[bool, Fence]:
    """Return a sort key; a host follows the leader with the highest key.

    The leader of a single zone precedes one of all zones. It steps down as soon as its
    own list is short enough. Until then both leaders run jobs, each its own.
    """
    return (term.by_zone, term.fence)
