"""Which of what was learned is told next, within a bound of bytes."""

from collections.abc import Iterable

from jackdawspur.runs._learned import (
    MAX_ROUTE_TASKS,
    MAX_SLOWDOWN_TASKS,
    SLOWDOWN_BYTES,
    LearnedRoute,
    LearnedSlowdown,
    LearnedStats,
    pack_slowdowns,
    route_bytes,
    unpack_route,
)

__all__ = ["MAX_BYTES", "UpdateSender"]

# Of one message, and how much of that is kept for paces while both have news.
MAX_BYTES = 160
SLOWDOWNS_RESERVED_BYTES = 60
# What did not change is told again for hosts that are new or missed it.
RESEND_S = 10.0
# Smaller changes are not told: 6 % of a pace, 5 % of a run time.
MIN_LEVEL_CHANGE = 4
MIN_LOG_CHANGE = 0.05

_Value = LearnedSlowdown | LearnedRoute


class UpdateSender:
    """Take turns: what changed or was told long ago, the longest untold first."""

    def __init__(self) -> None:
        self._sent: dict[int | tuple[str, str], tuple[_Value, float]] = {}

    def clear(self) -> None:
        """Begin anew: nothing was told."""
        self._sent.clear()

    def next(
        self,
        slowdowns: Iterable[LearnedSlowdown],
        routes: Iterable[LearnedRoute],
        now: float,
    ) -> LearnedStats | None:
        """Return what to tell now, None for nothing."""
        due_slowdowns = self._due(
            {slowdown.key: slowdown for slowdown in slowdowns}, now
        )
        due_routes = self._due(
            {(route.service, route.route): route for route in routes}, now
        )
        self._forget_old(now)
        wanted_bytes = SLOWDOWN_BYTES * len(due_slowdowns)
        left_bytes = MAX_BYTES - min(wanted_bytes, SLOWDOWNS_RESERVED_BYTES)
        chosen_routes = []
        for route in due_routes:
            if route_bytes(route) <= left_bytes:
                chosen_routes.append(route)
                left_bytes -= route_bytes(route)
        spent_bytes = sum(route_bytes(route) for route in chosen_routes)
        chosen_slowdowns = due_slowdowns[: (MAX_BYTES - spent_bytes) // SLOWDOWN_BYTES]
        if not chosen_slowdowns and not chosen_routes:
            return None
        self._sent.update({s.key: (s, now) for s in chosen_slowdowns})
        self._sent.update({(r.service, r.route): (r, now) for r in chosen_routes})
        return LearnedStats(pack_slowdowns(chosen_slowdowns), tuple(chosen_routes))

    def _due(self, values: dict, now: float) -> list:
        """Return what is to be told, the longest untold first."""
        due = []
        for key, value in values.items():
            last, at = self._sent.get(key, (None, float("-inf")))
            changed = last is None or _changed(last, value)
            if changed or now - at >= RESEND_S:
                due.append((at, value))
        due.sort(key=lambda item: item[0])
        return [value for _, value in due]

    def _forget_old(self, now: float) -> None:
        """Forget what was not told for long: it is not known any more, or in vain."""
        old = [key for key, (_, at) in self._sent.items() if now - at > 6 * RESEND_S]
        for key in old:
            del self._sent[key]


def _changed(last: _Value, value: _Value) -> bool:
    if isinstance(value, LearnedSlowdown):
        moved = abs(value.level - last.level) >= MIN_LEVEL_CHANGE
        return moved or _has_enough_new_tasks(
            last.tasks, value.tasks, MAX_SLOWDOWN_TASKS
        )
    if _has_enough_new_tasks(last.tasks, value.tasks, MAX_ROUTE_TASKS):
        return True
    before, after = unpack_route(last), unpack_route(value)
    if before is None or after is None:
        return before is not after
    return abs(after.run - before.run) >= MIN_LOG_CHANGE


def _has_enough_new_tasks(last: int, tasks: int, max_tasks: int) -> bool:
    """Tell whether a value rests on twice as many tasks, or first on enough."""
    return tasks > last and (tasks >= 2 * last or tasks >= max_tasks)
