"""The interface to the platform's list of hosts."""

import abc
import enum
from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from jackdawspur.external._errors import PlatformError

__all__ = ["HostList", "HostRole", "ListedHost"]


class HostRole(enum.StrEnum):
    """Role of a listed host."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host as last seen by the platform."""

    zone: str
    name: str
    role: HostRole
    leaving: bool = False


HostListCallback = Callable[[Result[tuple[ListedHost, ...], PlatformError]], None]


class HostList(abc.ABC):
    """Reads the platform's list of hosts, which lags behind their actual state."""

    @abc.abstractmethod
    def fetch(self, done: HostListCallback) -> None:
        """Pass the hosts that the platform considers live or leaving to `done`."""
