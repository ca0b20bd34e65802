"""Learned values that a follower receives from its leader."""

from dataclasses import dataclass

from jackdawspur.runs._learned import (
    LearnedSlowdown,
    LearnedStats,
    unpack_route,
    unpack_slowdowns,
)
from jackdawspur.scheduling import Moments

__all__ = ["ReceivedUpdates", "weight"]

# A value that nobody has confirmed for this long counts for half as many tasks.
HALF_LIFE_S = 60.0
# Maximum number of upstream incarnations, and of routes; the oldest are evicted.
MAX_ENTRIES = 1024


def weight(age_s: float) -> float:
    """Return the fraction of its tasks that a learned value still counts for."""
    return 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)


@dataclass(frozen=True, slots=True)
class _Received:
    value: LearnedSlowdown | Moments
    at: float


class ReceivedUpdates:
    """Keep the latest value of each upstream incarnation and of each route."""

    def __init__(self) -> None:
        self._slowdowns: dict[int, _Received] = {}
        self._routes: dict[tuple[str, str], _Received] = {}

    def clear(self) -> None:
        """Remove all values: this host has better ones."""
        self._slowdowns.clear()
        self._routes.clear()

    def record(self, update: LearnedStats, now: float) -> None:
        """Record an update; invalid values are ignored."""
        for slowdown in unpack_slowdowns(update.paces):
            _store(self._slowdowns, slowdown.key, _Received(slowdown, now))
        for route in update.routes:
            moments = unpack_route(route)
            if moments is not None:
                _store(
                    self._routes, (route.service, route.route), _Received(moments, now)
                )

    def pop_slowdown(self, key: int, now: float) -> tuple[int, float] | None:
        """Remove and return an incarnation's slowdown level and weighted task count."""
        received = self._slowdowns.pop(key, None)
        if received is None:
            return None
        return received.value.level, received.value.tasks * weight(now - received.at)

    def routes(self, now: float) -> list[tuple[tuple[str, str], Moments, float]]:
        """Return the moments of all routes, and their weighted task counts."""
        return [
            (key, received.value, received.value.count * weight(now - received.at))
            for key, received in self._routes.items()
        ]


def _store(entries: dict, key, received: _Received) -> None:
    entries.pop(key, None)
    entries[key] = received
    if len(entries) > MAX_ENTRIES:
        del entries[next(iter(entries))]
