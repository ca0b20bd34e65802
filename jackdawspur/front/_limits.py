"""Time limits of callers and where they come from."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["LimitSource", "WaitLimit"]

MS_PER_S = 1000.0
# Assumed if neither the caller nor the route states a timeout.
ASSUMED_WAIT_S = 1.5


class LimitSource(Enum):
    """The source of a caller's time limit."""

    CALLER = "caller"
    ROUTE = "route"
    NOBODY = "assumed"


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """Timeouts stated by a caller and by its route in seconds, None if not stated."""

    caller_s: float | None
    route_s: float | None

    @property
    def source(self) -> LimitSource:
        """Return the source of the limit; the caller's own timeout comes first.

        Only the caller knows how long it waits; a job that is ended earlier is lost to
        it without need.
        """
        if self.caller_s is not None:
            return LimitSource.CALLER
        return LimitSource.NOBODY if self.route_s is None else LimitSource.ROUTE

    @property
    def wait_s(self) -> float:
        """Return the limit in seconds."""
        stated = {
            LimitSource.CALLER: self.caller_s,
            LimitSource.ROUTE: self.route_s,
            LimitSource.NOBODY: ASSUMED_WAIT_S,
        }
        return stated[self.source]

    def log_fields(self) -> dict[str, str | int | None]:
        """Return the fields for the log, times in milliseconds."""
        return {
            "limit": self.source.value,
            "limit_ms": _ms(self.wait_s),
            "caller_ms": _ms(self.caller_s),
            "route_ms": _ms(self.route_s),
        }


def _ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * MS_PER_S)
