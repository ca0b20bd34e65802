"""Stand-in host list with a lag, without sockets; callers pass the current time."""

from collections import deque
from dataclasses import dataclass

import msgspec

from jackdawspur.wire import HostBody, HostsBody

__all__ = ["HostListFaults", "HostListSettings", "LaggingList"]

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class HostListSettings:
    """Address, lag and initial hosts of the list."""

    address: str
    lag_ms: float = 5000.0
    hosts: tuple[HostBody, ...] = ()


class HostListFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the list; a post replaces all faults set before.

    With `outage` the list replies 503; `lose_replies` is a number of replies to drop.
    """

    outage: bool = False
    lose_replies: int = 0
    lag_ms: float | None = None


class LaggingList:
    """Recent versions of the list; readers get the version of one lag ago."""

    def __init__(self, settings: HostListSettings, now: float) -> None:
        self._settings = settings
        self._faults = HostListFaults()
        self._lists = deque([(now, HostsBody(settings.hosts))])

    @property
    def faults(self) -> HostListFaults:
        """Return the faults set last."""
        return self._faults

    def set_faults(self, faults: HostListFaults) -> None:
        """Replace the current faults."""
        self._faults = faults

    def replace(self, hosts: HostsBody, now: float) -> None:
        """Replace the current list."""
        self.visible(now)
        self._lists.append((now, hosts))

    def put(self, host: HostBody, now: float) -> None:
        """Add a host to the current list, or replace its entry."""
        others = self._without(host)
        self.replace(HostsBody((*others, host)), now)

    def remove(self, host: HostBody, now: float) -> None:
        """Remove a host from the current list."""
        self.replace(HostsBody(self._without(host)), now)

    def visible(self, now: float) -> HostsBody:
        """Return the list as it was one lag ago."""
        lag_ms = self._faults.lag_ms
        if lag_ms is None:
            lag_ms = self._settings.lag_ms
        while len(self._lists) > 1 and self._lists[1][0] <= now - lag_ms / MS_PER_S:
            self._lists.popleft()
        return self._lists[0][1]

    def _without(self, host: HostBody) -> tuple[HostBody, ...]:
        name = (host.zone, host.name)
        current = self._lists[-1][1].hosts
        return tuple(other for other in current if (other.zone, other.name) != name)
