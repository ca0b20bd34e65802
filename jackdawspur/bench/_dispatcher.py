"""What the bench drives: events and the time in, effects out."""

import abc
import random
from collections.abc import Callable

from jackdawspur.dispatch import Effect, Event
from jackdawspur.model import HostId

__all__ = ["Dispatcher", "DispatcherFactory"]


class Dispatcher(abc.ABC):
    """Decide for one run of an entry host."""

    @abc.abstractmethod
    def next_wake(self) -> float | None:
        """Return when the next `Tick` is wanted, in seconds, or None."""

    @abc.abstractmethod
    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take an event and return what is to be done."""


DispatcherFactory = Callable[[HostId, random.Random, float], Dispatcher]
