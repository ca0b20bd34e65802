"""Selection of the learned values to send next, within a limit of bytes."""

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

# Size of one message, and the part of it reserved for slowdowns while both slowdowns
# and run times are due.
MAX_BYTES = 160
SLOWDOWNS_RESERVED_BYTES = 60
# Unchanged values are sent again for hosts that are new or missed them.
RESEND_S = 10.0
# Smaller changes are not sent: 6 % of a slowdown, 5 % of a run time.
MIN_LEVEL_CHANGE = 4
MIN_LOG_CHANGE = 0.05

_Value = LearnedSlowdown | LearnedRoute


class UpdateSender:
    """Choose the values that changed or were sent long ago, the oldest first."""

    def __init__(self) -> None:
        self._sent: dict[int | tuple[str, str], tuple[_Value, float]] = {}

    def clear(self) -> None:
        """Start over, as if nothing had been sent."""
        self._sent.clear()

    def next(
        self,
        slowdowns: Iterable[LearnedSlowdown],
        routes: Iterable[LearnedRoute],
        now: float,
    ) -> LearnedStats | None:
        """Return what to send now, None if there is nothing."""
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
        """Return the values that are due, the one sent longest ago first."""
        due = []
        for key, value in values.items():
            last, at = self._sent.get(key, (None, float("-inf")))
            changed = last is None or _changed(last, value)
            if changed or now - at >= RESEND_S:
                due.append((at, value))
        due.sort(key=lambda item: item[0])
        return [value for _, value in due]

    def _forget_old(self, now: float) -> None:
        """Remove values that were not sent for long: they are not known any more."""
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
    """Return whether a value's task count doubled, or newly reached the maximum."""
    return tasks > last and (tasks >= 2 * last or tasks >= max_tasks)
