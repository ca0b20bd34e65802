"""How long callers wait for their answers, and who says so."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["LimitSource", "WaitLimit", "wait_limit"]

MS_PER_S = 1000.0


class LimitSource(Enum):
    """Say who stated how long a caller waits."""

    CALLER = "caller"
    ROUTE = "route"


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """Tell how long a caller waits, who said so, and what each has stated."""

    wait_s: float
    source: LimitSource
    caller_s: float | None
    route_s: float

    def log_fields(self) -> dict[str, str | int | None]:
        """Return what the log tells of it, times in milliseconds."""
        caller_ms = None if self.caller_s is None else round(self.caller_s * MS_PER_S)
        return {
            "limit": self.source.value,
            "limit_ms": round(self.wait_s * MS_PER_S),
            "caller_ms": caller_ms,
            "route_ms": round(self.route_s * MS_PER_S),
        }


def wait_limit(caller_s: float | None, route_s: float) -> WaitLimit:
    """Return how long a caller waits: what it states, else its route's time-out.

    Only a caller knows when it leaves; a job ended before that is lost to it.
    """
    if caller_s is None:
        return WaitLimit(route_s, LimitSource.ROUTE, None, route_s)
    return WaitLimit(caller_s, LimitSource.CALLER, caller_s, route_s)
