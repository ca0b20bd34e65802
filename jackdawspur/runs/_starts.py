"""Starts of runs, and their outcomes."""

from collections import deque
from dataclasses import dataclass

from jackdawspur.leases import CallOutcome, LeasedUpstream, Run, RunPhase
from jackdawspur.runs._effects import Decision, StartRun
from jackdawspur.runs._job import Task
from jackdawspur.runs._pool import UpstreamPool
from jackdawspur.runs._replies import Replies

__all__ = ["Starts"]

# Time during which an upstream that refused a start gets no other one.
REFUSED_BACKOFF_S = 0.2
UNHEALTHY_BACKOFF_S = 0.5
# Starts without a reply, for each upstream.
MAX_OPEN_STARTS = 256


@dataclass(frozen=True, slots=True)
class _OpenStart:
    at: float
    upstream: LeasedUpstream
    run: Run


class Starts:
    """Send starts, and resolve those without a reply."""

    def __init__(self, pool: UpstreamPool, replies: Replies) -> None:
        self._pool = pool
        self._replies = replies
        self._open_starts: deque[_OpenStart] = deque()

    def start(
        self, upstream: LeasedUpstream, task: Task, spec: str, now: float
    ) -> None:
        """Reserve capacity and send a start."""
        run = Run(task.run_id, task.spec.resources, RunPhase.STARTING, now)
        self._pool.add(upstream, run)
        self._open_starts.append(_OpenStart(now, upstream, run))
        lease_until_ms = upstream.extend_lease(now) or 0
        entry = upstream.entry
        self._pool.effects.append(
            StartRun(
                entry.id,
                entry.address,
                run.id,
                spec,
                lease_until_ms,
                upstream.fence,
                upstream.lease_id,
                self._replies.timeout_s,
            )
        )

    def is_saturated(self, upstreams: int) -> bool:
        """Return whether more starts wait for replies than upstreams accept at once.

        Further ones would wait for a connection until their replies are overdue.
        """
        self._remove_resolved()
        return len(self._open_starts) >= MAX_OPEN_STARTS * max(1, upstreams)

    def _remove_resolved(self) -> None:
        starts = self._open_starts
        while starts and starts[0].run.phase is not RunPhase.STARTING:
            starts.popleft()

    @property
    def overdue_at(self) -> float | None:
        """Return when the next reply will be overdue, None if none is pending."""
        self._remove_resolved()
        return (
            self._open_starts[0].at + self._replies.overdue_s
            if self._open_starts
            else None
        )

    def resolve_overdue(self, now: float) -> None:
        """Resolve the starts whose replies are overdue.

        A poll shows within milliseconds whether the run exists. With a wait for the
        call's own timeout, each lost reply would make a job late.
        """
        overdue_s = self._replies.overdue_s
        while self._open_starts and self._open_starts[0].at + overdue_s <= now:
            overdue = self._open_starts.popleft()
            if (
                overdue.run.phase is RunPhase.STARTING
                and overdue.run.id in overdue.upstream.runs
            ):
                self._mark_unsure(overdue.upstream, overdue.run, now)

    def replied(self, effect: StartRun, outcome: CallOutcome, now: float) -> None:
        """Process the outcome of a start."""
        if outcome is CallOutcome.UNKNOWN:
            self._replies.record_loss()
        upstream = self._pool.target(effect)
        run = upstream.runs.get(effect.run) if upstream else None
        if run is None or run.phase not in (RunPhase.STARTING, RunPhase.UNSURE):
            return
        if outcome is CallOutcome.UNKNOWN:
            if run.phase is RunPhase.STARTING:
                self._mark_unsure(upstream, run, now)
            return
        if outcome is not CallOutcome.NOT_SENT:
            self._replies.record_reply()
            self._replies.record_time(now - run.since)
            upstream.consecutive_misses = 0
        if outcome is CallOutcome.OK:
            run.phase = RunPhase.RUNNING
            run.first_listing_poll = upstream.polls_sent + 1
            if not run.claimed:
                self._pool.send_stop(upstream, run, now)
        else:
            self._handle_refusal(upstream, run, effect, outcome, now)

    def _mark_unsure(self, upstream: LeasedUpstream, run: Run, now: float) -> None:
        """Keep the capacity of a start without a reply until a poll resolves it.

        The start may still take effect. Under a higher fence it can't, and a poll sent
        with that fence shows whether it did before.
        """
        run.phase = RunPhase.UNSURE
        self._pool.watch_closely(now)
        upstream.raise_fence()
        run.first_listing_poll = upstream.confirming_poll
        self._pool.log.add(
            Decision.RUN_UNSURE, run.id.task, str(upstream.entry.id), run=run.id.number
        )

    def _handle_refusal(
        self,
        upstream: LeasedUpstream,
        run: Run,
        effect: StartRun,
        outcome: CallOutcome,
        now: float,
    ) -> None:
        self._pool.log.add(
            Decision.START_REFUSED,
            run.id.task,
            str(upstream.entry.id),
            run=run.id.number,
            outcome=outcome.value,
        )
        self._pool.mark_lost(upstream, run, now)
        if outcome is CallOutcome.FENCED and effect.fence < upstream.fence:
            # This host has raised its own fence since, to resolve another start.
            return
        if outcome is CallOutcome.FENCED:
            self._pool.require_confirmations(now)
        elif outcome is CallOutcome.LATE:
            upstream.require_confirmation()
        elif outcome is CallOutcome.UNHEALTHY:
            upstream.backoff_until = now + UNHEALTHY_BACKOFF_S
        elif outcome in (CallOutcome.NO_ROOM, CallOutcome.NOT_SENT):
            upstream.backoff_until = now + REFUSED_BACKOFF_S
        elif outcome is CallOutcome.GONE:
            self._pool.on_gone(upstream, now, replaced_by=run.since)
        elif outcome is CallOutcome.INVALID:
            self._pool.owner.start_invalid(run.id.task, now)
