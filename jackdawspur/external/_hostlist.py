"""The interface of the platform's lagging list of hosts."""

import abc
import enum
from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from jackdawspur.external._errors import PlatformError

__all__ = ["HostList", "HostRole", "ListedHost"]


class HostRole(enum.StrEnum):
    """Tell entry hosts from upstreams."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Describe a host as the platform last saw it."""

    zone: str
    name: str
    role: HostRole
    leaving: bool = False


Listed = Callable[[Result[tuple[ListedHost, ...], PlatformError]], None]


class HostList(abc.ABC):
    """Read the list of hosts; it lags behind the truth."""

    @abc.abstractmethod
    def fetch(self, done: Listed) -> None:
        """Report the hosts that the platform believes live or leaving."""
