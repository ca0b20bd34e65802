"""Which of what was learned is told next, within a bound of bytes."""

from collections.abc import Iterable

from jackdawspur.runs._learned import (
    MOST_PACE_TASKS,
    MOST_ROUTE_TASKS,
    PACE_BYTES,
    LearnedPace,
    LearnedRoute,
    LearnedStats,
    pack_paces,
    route_bytes,
    unpack_route,
)

__all__ = ["MOST_BYTES", "Telling"]

# Of one message, and how much of that is kept for paces while both have news.
MOST_BYTES = 160
PACES_SHARE_BYTES = 60
# What did not change is told again for hosts that are new or missed it.
AGAIN_S = 10.0
# Smaller changes are not told: 6 % of a pace, 5 % of a run time.
LEAST_LEVELS = 4
LEAST_LOG_MS = 0.05

_Value = LearnedPace | LearnedRoute


class Telling:
    """Take turns: what changed or was told long ago, the longest untold first."""

    def __init__(self) -> None:
        self._told: dict[int | tuple[str, str], tuple[_Value, float]] = {}

    def clear(self) -> None:
        """Begin anew: nothing was told."""
        self._told.clear()

    def next(
        self, paces: Iterable[LearnedPace], routes: Iterable[LearnedRoute], now: float
    ) -> LearnedStats | None:
        """Return what to tell now, None for nothing."""
        due_paces = self._due({one.key: one for one in paces}, now)
        due_routes = self._due({(one.service, one.route): one for one in routes}, now)
        self._forget_old(now)
        wanted = PACE_BYTES * len(due_paces)
        left = MOST_BYTES - min(wanted, PACES_SHARE_BYTES)
        chosen_routes = []
        for route in due_routes:
            if route_bytes(route) <= left:
                chosen_routes.append(route)
                left -= route_bytes(route)
        spent = sum(route_bytes(route) for route in chosen_routes)
        chosen = due_paces[: (MOST_BYTES - spent) // PACE_BYTES]
        if not chosen and not chosen_routes:
            return None
        self._told.update({one.key: (one, now) for one in chosen})
        self._told.update({(r.service, r.route): (r, now) for r in chosen_routes})
        return LearnedStats(pack_paces(chosen), tuple(chosen_routes))

    def _due(self, values: dict, now: float) -> list:
        """Return what is to be told, the longest untold first."""
        due = []
        for key, value in values.items():
            last, at = self._told.get(key, (None, float("-inf")))
            changed = last is None or _changed(last, value)
            if changed or now - at >= AGAIN_S:
                due.append((at, value))
        due.sort(key=lambda one: one[0])
        return [value for _, value in due]

    def _forget_old(self, now: float) -> None:
        """Forget what was not told for long: it is not known any more, or in vain."""
        old = [key for key, (_, at) in self._told.items() if now - at > 6 * AGAIN_S]
        for key in old:
            del self._told[key]


def _changed(last: _Value, value: _Value) -> bool:
    if isinstance(value, LearnedPace):
        moved = abs(value.level - last.level) >= LEAST_LEVELS
        return moved or _surer(last.tasks, value.tasks, MOST_PACE_TASKS)
    if _surer(last.tasks, value.tasks, MOST_ROUTE_TASKS):
        return True
    before, after = unpack_route(last), unpack_route(value)
    if before is None or after is None:
        return before is not after
    return abs(after.run - before.run) >= LEAST_LOG_MS


def _surer(last: int, tasks: int, most: int) -> bool:
    """Tell whether a value rests on twice as many tasks, or first on enough."""
    return tasks > last and (tasks >= 2 * last or tasks >= most)
