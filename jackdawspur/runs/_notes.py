"""Collecting the reasons of decisions for the log."""

from jackdawspur.runs._effects import Decision, Effect, Note
from jackdawspur.runs._job import Job
from jackdawspur.runs._order import useful_until

__all__ = ["Notes"]

MS_PER_S = 1000.0


class Notes:
    """Add notes to the effects of a pass."""

    def __init__(self, effects: list[Effect]) -> None:
        self._effects = effects

    def add(
        self, decision: Decision, job: str, upstream: str, **inputs: str | int | float
    ) -> None:
        """Explain one decision."""
        note = Note(decision, job, upstream, tuple(inputs.items()))
        self._effects.append(note)

    def late(self, decision: Decision, job: Job, tasks: str, now: float) -> None:
        """Explain the end of a job that nobody waits for or that comes too late.

        `tasks` tells where each of them is.
        """
        self.add(
            decision,
            job.id,
            "",
            host=job.offer.host,
            waited_ms=_ms(now - job.offer.arrived),
            left_ms=_ms(job.offer.deadline - now),
            expected_ms=round(max(job.expected_ms)),
            tasks=tasks,
        )

    def refused(self, job: Job, jobs: int, ahead_s: float, now: float) -> None:
        """Explain the refusal of a job among so many, with the work ahead of it."""
        self.add(
            Decision.JOB_REFUSED,
            job.id,
            "",
            waited_ms=_ms(now - job.offer.arrived),
            left_ms=_ms(job.offer.deadline - now),
            useful_ms=_ms(useful_until(job) - now),
            needs_ms=round(job.left_ms()),
            ahead_ms=_ms(ahead_s),
            jobs=jobs,
        )

    def passed_on(self, job: Job, leader: str, now: float) -> None:
        """Note that a job goes to another group."""
        waited_ms = _ms(now - job.offer.arrived)
        self.add(Decision.JOB_PASSED_ON, job.id, "", leader=leader, waited_ms=waited_ms)


def _ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)
