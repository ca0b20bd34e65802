"""The project's own policy, as the entry host runs it."""

import random

from jackdawspur.bench._dispatcher import Dispatcher
from jackdawspur.dispatch import TICK_S, Effect, EntryCore, Event, Tick
from jackdawspur.model import HostId

__all__ = ["ProductDispatcher"]


class ProductDispatcher(Dispatcher):
    """Drive an `EntryCore` with ticks as often as it asks for."""

    def __init__(self, host: HostId, rng: random.Random, now: float) -> None:
        self._core = EntryCore(host, rng, now, crosses_zones=True)
        self._ticked_at = now

    @property
    def core(self) -> EntryCore:
        """Return the decisions, to be read only."""
        return self._core

    def next_wake(self) -> float:
        due = self._ticked_at + TICK_S
        wanted = self._core.next_wake()
        return due if wanted is None else min(due, wanted)

    def handle(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, Tick):
            self._ticked_at = now
        return self._core.handle(event, now)
