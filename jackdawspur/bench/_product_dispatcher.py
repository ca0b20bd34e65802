"""The product's policy, as the entry host runs it."""

import random

from jackdawspur.bench._dispatcher import Dispatcher
from jackdawspur.dispatch import TICK_S, Effect, EntryCore, Event, Tick
from jackdawspur.model import HostId

__all__ = ["ProductDispatcher"]


class ProductDispatcher(Dispatcher):
    """Adapt an `EntryCore` to the bench, with ticks at the times that it requests."""

    def __init__(self, host: HostId, rng: random.Random, now: float) -> None:
        self._core = EntryCore(host, rng, now, crosses_zones=True)
        self._last_tick_at = now

    @property
    def core(self) -> EntryCore:
        """Return the core; callers must only read it."""
        return self._core

    def next_wake(self) -> float:
        due = self._last_tick_at + TICK_S
        requested = self._core.next_wake()
        return due if requested is None else min(due, requested)

    def handle(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, Tick):
            self._last_tick_at = now
        return self._core.handle(event, now)
