"""Polls of upstreams: they extend leases and report current and ended runs."""

from jackdawspur.leases import (
    CallOutcome,
    EndedRun,
    LeasedUpstream,
    PollReport,
    Run,
    RunId,
    RunningRun,
    RunPhase,
    RunResult,
)
from jackdawspur.runs._effects import Decision, PollUpstream
from jackdawspur.runs._poll_schedule import MAX_MISSES, POLL_WAIT_MS
from jackdawspur.runs._pool import UpstreamPool
from jackdawspur.runs._replies import Replies

__all__ = ["Polls"]

# Where replies are often lost, a lost poll must be noticed sooner: it hides ended runs,
# whose capacity stays unused.
LOSSY_POLL_WAIT_MS = 80
# Time from a failed poll to the next one, for unresponsive upstreams and for others: a
# connection that was reset is established again within a few milliseconds.
UNRESPONSIVE_RETRY_S = 0.1
RETRY_S = 0.02
# Overdue polls use a connection each until their calls end.
MAX_OPEN_POLLS = 6
# An upstream counts as flapping for this long after it became unresponsive.
FLAPPING_S = 5.0
MS_PER_S = 1000.0


class Polls:
    """Poll all upstreams continuously, and process their replies."""

    def __init__(self, pool: UpstreamPool, replies: Replies) -> None:
        self._pool = pool
        self._replies = replies

    def count_overdue(self, now: float) -> None:
        """Process the polls whose replies are overdue."""
        for upstream in self._pool.upstreams:
            if now >= upstream.overdue_at:
                self._count_overdue(upstream, now)

    def send_due(self, now: float) -> None:
        """Send the polls that are due, in addition to those that are overdue.

        If the next poll waited until the call of a poll with a lost reply timed out,
        leases of healthy upstreams would expire.
        """
        lossy = self._replies.lossy
        for upstream in self._pool.upstreams:
            if (
                upstream.pending_polls
                and not lossy
                and upstream.confirming_poll <= upstream.polls_sent
            ):
                continue
            if not self._due(upstream, now):
                continue
            calls = len(upstream.pending_polls) + len(upstream.overdue_polls)
            if calls < MAX_OPEN_POLLS:
                self._send_poll(upstream, now)

    def _due(self, upstream: LeasedUpstream, now: float) -> bool:
        if upstream.confirming_poll > upstream.polls_sent:
            return True
        due = now >= upstream.next_poll_at and not upstream.can_skip_poll(now)
        return due and len(upstream.pending_polls) < self._max_pending(upstream)

    def _max_pending(self, upstream: LeasedUpstream) -> int:
        """Return how many polls should wait for an ended run at a time.

        If the poll that would report an end is lost, the end is noticed only when the
        poll is overdue, 0.2 s later, and until then its capacity stays unused: with a
        fifth of all replies lost, tasks of 0.2 s took 0.1 s longer. A second open poll
        reports the end at once.
        """
        return 2 if self._replies.lossy and upstream.runs else 1

    def _count_overdue(self, upstream: LeasedUpstream, now: float) -> None:
        for number in upstream.pop_overdue_polls(now):
            if number > upstream.last_answered_poll:
                self._count_missed(upstream, number, CallOutcome.UNKNOWN, now)

    def _send_poll(self, upstream: LeasedUpstream, now: float) -> None:
        if not upstream.pending_polls and not upstream.overdue_polls:
            upstream.polled_since = now
        stable = upstream.acquired and upstream.responsive and not upstream.unconfirmed
        long_wait_ms = LOSSY_POLL_WAIT_MS if self._replies.lossy else POLL_WAIT_MS
        wait_ms = long_wait_ms if stable and upstream.runs else 0
        overdue_at = now + wait_ms / MS_PER_S + self._replies.overdue_s
        number = upstream.register_poll(overdue_at)
        lease_until_ms = (
            upstream.extend_lease(now) if self._may_extend_lease(upstream) else None
        )
        self._pool.effects.append(
            PollUpstream(
                upstream.entry.id,
                upstream.entry.address,
                number,
                upstream.fence,
                upstream.last_seen,
                lease_until_ms,
                wait_ms,
                upstream.lease_id,
                self._replies.timeout_s + wait_ms / MS_PER_S,
            )
        )

    def _may_extend_lease(self, upstream: LeasedUpstream) -> bool:
        """Return whether the lease may be extended: not while a run there must end.

        The caller of a stopped task may retry elsewhere; if the stop were lost, only
        the end of the lease would keep the two runs apart. A run whose job is unknown
        here may belong to another leader, which relies on the lease that it granted.
        Polls of an unresponsive upstream extend nothing, or its leases would never
        count as expired.
        """
        return upstream.responsive and not any(
            _must_end(run) for run in upstream.runs.values()
        )

    def replied(
        self, effect: PollUpstream, result: PollReport | CallOutcome, now: float
    ) -> None:
        """Process the reply to a poll, or the reason why there is none."""
        upstream = self._pool.target(effect)
        if upstream is None:
            return
        upstream.complete_poll(effect.number)
        if isinstance(result, PollReport):
            self._replies.record_reply()
            upstream.next_poll_at = now
            self._process_report(upstream, effect, result, now)
        elif result is CallOutcome.GONE:
            self._pool.on_gone(upstream, now)
        else:
            self._poll_failed(upstream, effect, result, now)

    def _process_report(
        self,
        upstream: LeasedUpstream,
        effect: PollUpstream,
        report: PollReport,
        now: float,
    ) -> None:
        """Process a report of the known incarnation, or detect another one."""
        if upstream.incarnation is None:
            upstream.set_incarnation(report.incarnation)
            self._pool.owner.incarnation_seen(upstream.entry.id, report.incarnation)
        if report.incarnation == upstream.incarnation:
            self._record_report(upstream, effect.number, report, now)
        elif not upstream.is_from_earlier_incarnation(
            effect.number, report.incarnation
        ):
            self._pool.on_restart(upstream, report.incarnation, now)
            self._pool.owner.incarnation_seen(upstream.entry.id, report.incarnation)

    def _poll_failed(
        self,
        upstream: LeasedUpstream,
        effect: PollUpstream,
        outcome: CallOutcome,
        now: float,
    ) -> None:
        if outcome is CallOutcome.FENCED and effect.fence < upstream.fence:
            # This host has raised its own fence since; the next poll uses the raised
            # one.
            return
        if outcome is CallOutcome.UNKNOWN and upstream.responsive:
            self._replies.record_loss()
        if outcome is CallOutcome.FENCED:
            self._record_fenced(upstream, now)
        elif effect.number > upstream.last_answered_poll:
            self._count_missed(upstream, effect.number, outcome, now)
            upstream.next_poll_at = now + (
                RETRY_S if upstream.responsive else UNRESPONSIVE_RETRY_S
            )

    def _count_missed(
        self, upstream: LeasedUpstream, number: int, outcome: CallOutcome, now: float
    ) -> None:
        """Count a missed poll; after several in a row, the upstream is unresponsive.

        Polls that were sent side by side count once.
        """
        if number <= upstream.last_missed_poll:
            return
        upstream.last_missed_poll = upstream.polls_sent
        upstream.consecutive_misses += 1
        upstream.next_poll_at = now
        if upstream.consecutive_misses == 1:
            self._pool.watch_closely(now)
        if upstream.consecutive_misses < MAX_MISSES:
            return
        upstream.next_poll_at = now + UNRESPONSIVE_RETRY_S
        if upstream.responsive:
            self._log_unresponsive(Decision.UPSTREAM_SILENT, upstream, outcome)
            upstream.last_poll_while_responsive = upstream.polls_sent
            upstream.flapping_until = now + FLAPPING_S
        upstream.responsive = False

    def _record_fenced(self, upstream: LeasedUpstream, now: float) -> None:
        upstream.next_poll_at = now + UNRESPONSIVE_RETRY_S
        if upstream.responsive:
            self._pool.watch_closely(now)
            self._log_unresponsive(
                Decision.UPSTREAM_FENCED, upstream, CallOutcome.FENCED
            )
        upstream.responsive = False
        upstream.acquired = False
        if upstream.fenced_since is None:
            upstream.fenced_since = now

    def _log_unresponsive(
        self, decision: Decision, upstream: LeasedUpstream, outcome: CallOutcome
    ) -> None:
        self._pool.log.add(
            decision,
            "",
            str(upstream.entry.id),
            runs=len(upstream.runs),
            why=outcome.value,
        )

    def _record_report(
        self, upstream: LeasedUpstream, number: int, report: PollReport, now: float
    ) -> None:
        if not upstream.responsive and number <= upstream.last_poll_while_responsive:
            # The report shows that the upstream replied before it became unresponsive,
            # not that it does now.
            self._process_ends(upstream, report, is_prompt=False, now=now)
            return
        if not upstream.acquired or not upstream.responsive:
            self._pool.capacity_freed = True
            self._pool.crashes.record_reply(upstream.entry.id)
            self._pool.log.add(
                Decision.UPSTREAM_HELD,
                "",
                str(upstream.entry.id),
                runs=len(report.running),
            )
        elif self._pool.poll_schedule.is_watching(
            now
        ) and not self._pool.poll_schedule.is_current(upstream, now):
            # A job that was handed over may have waited for this reply.
            self._pool.capacity_freed = True
        # After a missed poll these ends may be old: its reply may have reported them.
        is_prompt = upstream.consecutive_misses == 0
        upstream.record_report(number, report, now)
        self._pool.poll_schedule.schedule_idle_poll(upstream, now)
        self._process_ends(upstream, report, is_prompt, now)
        listed = set()
        for running_run in report.running:
            listed.add(running_run.run)
            self._process_running(upstream, running_run, now)
        self._remove_absent(upstream, number, listed, now)

    def _process_ends(
        self, upstream: LeasedUpstream, report: PollReport, is_prompt: bool, now: float
    ) -> None:
        for ended in report.ended:
            self._process_end(upstream, ended, is_prompt, now)

    def _process_end(
        self, upstream: LeasedUpstream, ended: EndedRun, is_prompt: bool, now: float
    ) -> None:
        if ended.number <= upstream.last_seen:
            return
        upstream.last_seen = ended.number
        run = upstream.runs.get(ended.run)
        if run is not None:
            self._pool.release(upstream, run)
            since = run.since if is_prompt else None
            self._pool.owner.run_ended(upstream.entry.id, ended, since, now)
        elif ended.result is RunResult.DONE:
            self._pool.owner.found_done(ended.run.task, now)

    def _process_running(
        self, upstream: LeasedUpstream, running_run: RunningRun, now: float
    ) -> None:
        run = upstream.runs.get(running_run.run)
        if run is not None:
            run.percent = running_run.percent
            run.reported_at = now
            self._pool.owner.run_reported(running_run.run.task)
            if run.phase is RunPhase.UNSURE:
                run.phase = RunPhase.RUNNING
                if not run.claimed:
                    self._pool.send_stop(upstream, run, now)
            return
        found_run = Run(
            running_run.run,
            None,
            RunPhase.RUNNING,
            now,
            running_run.percent,
            claimed=False,
        )
        found_run.first_listing_poll = upstream.polls_sent + 1
        found_run.initial_percent = running_run.percent
        self._pool.add(upstream, found_run)
        job = self._pool.owner.job_of(running_run.run.task)
        if job is not None and running_run.run.task in job.by_name:
            self._pool.adopt(
                upstream, found_run, job, job.by_name[running_run.run.task], now
            )

    def _remove_absent(
        self, upstream: LeasedUpstream, number: int, listed: set[RunId], now: float
    ) -> None:
        """Free the capacity of runs that a poll shows to be absent.

        Only a poll sent after the start's outcome was known, or under a fence raised
        since, proves that; an earlier one may have overtaken the start.
        """
        for run in list(upstream.runs.values()):
            confirmed = run.first_listing_poll and number >= run.first_listing_poll
            if (
                run.id not in listed
                and confirmed
                and run.phase is not RunPhase.STARTING
            ):
                self._pool.mark_lost(upstream, run, now)


def _must_end(run: Run) -> bool:
    if run.phase is RunPhase.STOPPING:
        return not run.stop_acked
    return not run.claimed and run.phase is not RunPhase.STARTING
