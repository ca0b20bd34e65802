"""Availability of a group whose zone has nothing left that can serve its callers."""

import logging

__all__ = ["Availability"]

# Capacity offers of other groups arrive every 0.2 s. Hosts that are not ready get no
# new connections, so an interruption of the links for less than this must not count.
UNAVAILABLE_AFTER_S = 0.5

log = logging.getLogger("jackdawspur.decisions")


class Availability:
    """Track on the leader whether its group can serve new jobs."""

    def __init__(self) -> None:
        self._unable_since: float | None = None
        self.is_available = True

    def update(self, can_serve: bool, now: float) -> None:
        """Record whether any upstream, or another group, can take new jobs now.

        The group is unavailable after `UNAVAILABLE_AFTER_S` without any, and available
        again at once.
        """
        if can_serve:
            self._unable_since = None
        elif self._unable_since is None:
            self._unable_since = now
        unable_s = 0.0 if can_serve else now - self._unable_since
        is_available = unable_s < UNAVAILABLE_AFTER_S
        if is_available != self.is_available:
            self.is_available = is_available
            log.info(
                "availability of the group changed",
                extra={"available": is_available, "unable_s": round(unable_s, 3)},
            )

    def clear(self) -> None:
        """Start over, at the end of a term."""
        self._unable_since = None
        self.is_available = True
