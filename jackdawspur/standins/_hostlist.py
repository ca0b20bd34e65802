"""What a stand-in host list shows, one lag late; the time is passed."""

from collections import deque
from dataclasses import dataclass

import msgspec

from jackdawspur.wire import HostBody, HostsBody

__all__ = ["HostListFaults", "HostListSettings", "LaggingList"]

MS = 1000.0


@dataclass(frozen=True, slots=True)
class HostListSettings:
    """Say where the list is served, how far it lags and what it shows at first."""

    address: str
    lag_ms: float = 5000.0
    hosts: tuple[HostBody, ...] = ()


class HostListFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Say how the list misbehaves; a post replaces all faults set before.

    `outage` answers 503; `lose_replies` counts replies that are dropped.
    """

    outage: bool = False
    lose_replies: int = 0
    lag_ms: float | None = None


class LaggingList:
    """Keep the last lists, and show the one that is old enough."""

    def __init__(self, settings: HostListSettings, now: float) -> None:
        self._settings = settings
        self._faults = HostListFaults()
        self._lists = deque([(now, HostsBody(settings.hosts))])

    @property
    def faults(self) -> HostListFaults:
        """Return the faults set last."""
        return self._faults

    def set_faults(self, faults: HostListFaults) -> None:
        """Behave so from now on."""
        self._faults = faults

    def replace(self, hosts: HostsBody, now: float) -> None:
        """Set the true list."""
        self.shown(now)
        self._lists.append((now, hosts))

    def change(self, host: HostBody, now: float) -> None:
        """Add a host to the true list, or replace what it says of it."""
        others = self._others(host)
        self.replace(HostsBody((*others, host)), now)

    def remove(self, host: HostBody, now: float) -> None:
        """Take a host from the true list."""
        self.replace(HostsBody(self._others(host)), now)

    def shown(self, now: float) -> HostsBody:
        """Return the list as it was one lag ago."""
        lag_ms = self._faults.lag_ms
        if lag_ms is None:
            lag_ms = self._settings.lag_ms
        while len(self._lists) > 1 and self._lists[1][0] <= now - lag_ms / MS:
            self._lists.popleft()
        return self._lists[0][1]

    def _others(self, host: HostBody) -> tuple[HostBody, ...]:
        name = (host.zone, host.name)
        current = self._lists[-1][1].hosts
        return tuple(each for each in current if (each.zone, each.name) != name)
