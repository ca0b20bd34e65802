"""Log of the admitted fractions, and the fields of refusals."""

from jackdawspur.runs._decision_log import DecisionLog
from jackdawspur.runs._demand import ClassKey
from jackdawspur.runs._effects import Decision
from jackdawspur.runs._job import Job
from jackdawspur.runs._service_shedding import ServiceShedding

__all__ = ["SheddingLog", "refusal_fields"]

# At most four lines per second for each service.
MIN_INTERVAL_S = 0.25
# Smaller changes of a fraction are not logged.
FRACTION_DIGITS = 1
MS_PER_S = 1000.0


class SheddingLog:
    """Log the admitted fractions of each service when they change."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._last: dict[str, tuple[float, dict[ClassKey, float]]] = {}

    def update(self, service: str, shedding: ServiceShedding, now: float) -> None:
        """Log the fractions if they changed, and not too soon after the last line."""
        fractions = {
            key: round(fraction, FRACTION_DIGITS)
            for key, fraction in shedding.fractions.items()
            if fraction < 1.0
        }
        logged_at, logged = self._last.get(service, (now - MIN_INTERVAL_S, {}))
        if fractions == logged or now - logged_at < MIN_INTERVAL_S:
            return
        self._last[service] = (now, fractions)
        self._log.add(
            Decision.SHEDDING_CHANGED,
            "",
            "",
            service=service,
            shedding=int(shedding.active),
            admitted=_describe(shedding),
            demand=round(shedding.demand),
            capacity=round(shedding.capacity),
            queued_ms=round(shedding.queued_s * MS_PER_S),
        )

    def clear(self) -> None:
        """Forget the lines of an earlier term."""
        self._last.clear()


def refusal_fields(
    job: Job, key: ClassKey, shedding: ServiceShedding, now: float
) -> dict[str, int | float]:
    """Return what a refusal is based on, in a service that sheds by cost."""
    updated_at = now if shedding.updated_at is None else shedding.updated_at
    return {
        "priority": job.request.route.priority,
        "class_rank": shedding.ranks.get(key, len(shedding.ranks) + 1),
        "admitted": round(shedding.fraction(key), 3),
        "demand": round(shedding.demand),
        "capacity": round(shedding.capacity),
        "inputs_age_ms": round((now - updated_at) * MS_PER_S),
    }


def _describe(shedding: ServiceShedding) -> str:
    """Return the admitted fraction of each class, in the order of their ranks."""
    return " ".join(
        f"{key.route}{'(late)' if key.late else ''}={shedding.fraction(key):.2f}"
        for key in shedding.ranks
    )
