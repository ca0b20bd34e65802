"""How long callers wait for their answers, and who says so."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["LimitSource", "WaitLimit"]

MS_PER_S = 1000.0
# Of a caller that says nothing, over a route without a time-out.
ASSUMED_WAIT_S = 1.5


class LimitSource(Enum):
    """Say who stated how long a caller waits."""

    CALLER = "caller"
    ROUTE = "route"
    NOBODY = "assumed"


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """Keep what a caller and its route state, None for nothing, in seconds."""

    caller_s: float | None
    route_s: float | None

    @property
    def source(self) -> LimitSource:
        """Tell who said how long the caller waits.

        Only a caller knows when it leaves; a job ended before that is lost to it.
        """
        if self.caller_s is not None:
            return LimitSource.CALLER
        return LimitSource.NOBODY if self.route_s is None else LimitSource.ROUTE

    @property
    def wait_s(self) -> float:
        """Return how long the caller waits."""
        stated = {
            LimitSource.CALLER: self.caller_s,
            LimitSource.ROUTE: self.route_s,
            LimitSource.NOBODY: ASSUMED_WAIT_S,
        }
        return stated[self.source]

    def log_fields(self) -> dict[str, str | int | None]:
        """Return what the log tells of it, times in milliseconds."""
        return {
            "limit": self.source.value,
            "limit_ms": _ms(self.wait_s),
            "caller_ms": _ms(self.caller_s),
            "route_ms": _ms(self.route_s),
        }


def _ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * MS_PER_S)
