"""Starts of runs, and what became of them."""

from collections import deque
from dataclasses import dataclass

from jackdawspur.leases import CallOutcome, LeasedUpstream, Run, RunPhase
from jackdawspur.runs._effects import Decision, StartRun
from jackdawspur.runs._fleet import UpstreamPool
from jackdawspur.runs._job import Task
from jackdawspur.runs._replies import Replies

__all__ = ["Starts"]

# A start that an upstream refused is not sent there again before this.
REFUSED_S = 0.2
UNHEALTHY_S = 0.5


@dataclass(frozen=True, slots=True)
class _Open:
    at: float
    held: LeasedUpstream
    run: Run


class Starts:
    """Send starts, and settle those without a reply."""

    def __init__(self, fleet: UpstreamPool, replies: Replies) -> None:
        self._fleet = fleet
        self._replies = replies
        self._open: deque[_Open] = deque()

    def start(self, held: LeasedUpstream, task: Task, spec: str, now: float) -> None:
        """Take room and send a start."""
        run = Run(task.run_id, task.spec.resources, RunPhase.STARTING, now)
        self._fleet.add(held, run)
        self._open.append(_Open(now, held, run))
        until_ms = held.extend_lease(now) or 0
        entry = held.entry
        self._fleet.effects.append(
            StartRun(
                entry.id,
                entry.address,
                run.id,
                spec,
                until_ms,
                held.fence,
                held.lease_id,
                self._replies.limit_s,
            )
        )

    @property
    def overdue_at(self) -> float | None:
        """Return when the next reply will be overdue, None while none is awaited."""
        while self._open and self._open[0].run.phase is not RunPhase.STARTING:
            self._open.popleft()
        return self._open[0].at + self._replies.overdue_s if self._open else None

    def settle_overdue(self, now: float) -> None:
        """Find out what became of starts whose replies are overdue.

        Waiting for the call's own time limit would make each lost reply a late job: a
        look shows within milliseconds whether the run is there.
        """
        overdue_s = self._replies.overdue_s
        while self._open and self._open[0].at + overdue_s <= now:
            one = self._open.popleft()
            if one.run.phase is RunPhase.STARTING and one.run.id in one.held.runs:
                self._unsure(one.held, one.run, now)

    def replied(self, order: StartRun, outcome: CallOutcome, now: float) -> None:
        """Take in what became of a start."""
        if outcome is CallOutcome.UNKNOWN:
            self._replies.lost()
        held = self._fleet.asked_by(order)
        run = held.runs.get(order.run) if held else None
        if run is None or run.phase not in (RunPhase.STARTING, RunPhase.UNSURE):
            return
        if outcome is CallOutcome.UNKNOWN:
            if run.phase is RunPhase.STARTING:
                self._unsure(held, run, now)
            return
        if outcome is not CallOutcome.NOT_SENT:
            self._replies.came()
            self._replies.took(now - run.since)
            held.consecutive_misses = 0
        if outcome is CallOutcome.OK:
            run.phase = RunPhase.RUNNING
            run.first_listing_poll = held.polls_sent + 1
            if not run.claimed:
                self._fleet.send_stop(held, run, now)
        else:
            self._not_started(held, run, order, outcome, now)

    def _unsure(self, held: LeasedUpstream, run: Run, now: float) -> None:
        """Keep the room of a start without a reply until a look settles it.

        The start may still take effect. Under a higher fence it can't, and a look sent
        with that fence shows whether it did before.
        """
        run.phase = RunPhase.UNSURE
        self._fleet.watch_all(now)
        held.raise_fence()
        run.first_listing_poll = held.confirming_poll
        self._fleet.notes.add(
            Decision.RUN_UNSURE, run.id.task, str(held.entry.id), run=run.id.number
        )

    def _not_started(
        self,
        held: LeasedUpstream,
        run: Run,
        order: StartRun,
        outcome: CallOutcome,
        now: float,
    ) -> None:
        self._fleet.notes.add(
            Decision.START_REFUSED,
            run.id.task,
            str(held.entry.id),
            run=run.id.number,
            outcome=outcome.value,
        )
        self._fleet.lose(held, run, now)
        if outcome is CallOutcome.FENCED and order.fence < held.fence:
            # This host raised its own fence meanwhile, to settle another start.
            return
        if outcome is CallOutcome.FENCED:
            self._fleet.doubt_all(now)
        elif outcome is CallOutcome.LATE:
            held.require_confirmation()
        elif outcome is CallOutcome.UNHEALTHY:
            held.backoff_until = now + UNHEALTHY_S
        elif outcome in (CallOutcome.NO_ROOM, CallOutcome.NOT_SENT):
            held.backoff_until = now + REFUSED_S
        elif outcome is CallOutcome.GONE:
            self._fleet.gone(held, now, replaced_by=run.since)
        elif outcome is CallOutcome.INVALID:
            self._fleet.owner.start_invalid(run.id.task, now)
