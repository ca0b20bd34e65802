"""The interface of policies: events and the current time in, effects out."""

import abc
import random
from collections.abc import Callable

from jackdawspur.dispatch import Effect, Event
from jackdawspur.model import HostId

__all__ = ["Dispatcher", "DispatcherFactory"]


class Dispatcher(abc.ABC):
    """The core logic of one incarnation of an entry host."""

    @abc.abstractmethod
    def next_wake(self) -> float | None:
        """Return when the next `Tick` is due, in seconds, or None."""

    @abc.abstractmethod
    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event and return the effects to carry out."""


DispatcherFactory = Callable[[HostId, random.Random, float], Dispatcher]
