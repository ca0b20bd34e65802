"""What a host that follows was told by its leading host."""

from dataclasses import dataclass

from jackdawspur.runs._learned import (
    LearnedPace,
    LearnedStats,
    unpack_paces,
    unpack_route,
)
from jackdawspur.scheduling import Moments

__all__ = ["Hearsay", "weight"]

# What nobody has confirmed for this long counts for half as many tasks.
HALF_LIFE_S = 60.0
# Boots of upstreams and routes that are kept, those told last.
MOST_KEPT = 1024


def weight(age_s: float) -> float:
    """Return the share of its tasks that something learned still counts for."""
    return 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)


@dataclass(frozen=True, slots=True)
class _Told:
    value: LearnedPace | Moments
    at: float


class Hearsay:
    """Keep the newest value told of each boot of an upstream and of each route."""

    def __init__(self) -> None:
        self._paces: dict[int, _Told] = {}
        self._routes: dict[tuple[str, str], _Told] = {}

    def clear(self) -> None:
        """Forget all: this host knows better."""
        self._paces.clear()
        self._routes.clear()

    def take_in(self, learned: LearnedStats, now: float) -> None:
        """Keep what was told; what is no sane value tells nothing."""
        for pace in unpack_paces(learned.paces):
            _keep(self._paces, pace.key, _Told(pace, now))
        for route in learned.routes:
            moments = unpack_route(route)
            if moments is not None:
                _keep(self._routes, (route.service, route.route), _Told(moments, now))

    def pace(self, key: int, now: float) -> tuple[int, float] | None:
        """Take out a boot's level, and how many tasks it counts for."""
        told = self._paces.pop(key, None)
        if told is None:
            return None
        return told.value.level, told.value.tasks * weight(now - told.at)

    def routes(self, now: float) -> list[tuple[tuple[str, str], Moments, float]]:
        """Return all routes' moments, and how many tasks they count for."""
        return [
            (key, told.value, told.value.count * weight(now - told.at))
            for key, told in self._routes.items()
        ]


def _keep(kept: dict, key, told: _Told) -> None:
    kept.pop(key, None)
    kept[key] = told
    if len(kept) > MOST_KEPT:
        del kept[next(iter(kept))]
