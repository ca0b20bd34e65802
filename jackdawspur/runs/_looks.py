"""Looks at upstreams: they prolong leases and show what runs and what ended."""

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
from jackdawspur.runs._fleet import UpstreamPool
from jackdawspur.runs._replies import Replies
from jackdawspur.runs._watch import LOOK_WAIT_MS, SILENT_AFTER

__all__ = ["Looks"]

# Where replies get lost all the time, a look that is lost must be noticed sooner: it
# hides ends, whose room stands empty.
LOSSY_WAIT_MS = 80
# After a look that failed the next one follows this much later, to a silent upstream
# and to others: a connection that was reset stands again within a few milliseconds.
LOOK_AGAIN_S = 0.1
RETRY_S = 0.02
# Overdue looks keep a connection each until their calls end.
MOST_LOOKS_OPEN = 6
# An upstream that turned silent does so again, if it goes down by turns.
SHAKY_S = 5.0
MS_PER_S = 1000.0


class Looks:
    """Look at every upstream without end, and believe what the answers prove."""

    def __init__(self, fleet: UpstreamPool, replies: Replies) -> None:
        self._fleet = fleet
        self._replies = replies

    def count_overdue(self, now: float) -> None:
        """Take note of the looks whose replies are overdue."""
        for held in self._fleet.upstreams:
            if now >= held.overdue_at:
                self._count_overdue(held, now)

    def send_due(self, now: float) -> None:
        """Send the looks whose time has come, beside those that are overdue.

        A lost reply must cost one reply: were the next look to wait for the end of the
        call, leases would end of upstreams that are sound.
        """
        lossy = self._replies.lossy
        for held in self._fleet.upstreams:
            if (
                held.pending_polls
                and not lossy
                and held.confirming_poll <= held.polls_sent
            ):
                continue
            if not self._due(held, now):
                continue
            calls = len(held.pending_polls) + len(held.overdue_polls)
            if calls < MOST_LOOKS_OPEN:
                self._look(held, now)

    def _due(self, held: LeasedUpstream, now: float) -> bool:
        if held.confirming_poll > held.polls_sent:
            return True
        due = now >= held.next_poll_at and not held.can_skip_poll(now)
        return due and len(held.pending_polls) < self._wanted(held)

    def _wanted(self, held: LeasedUpstream) -> int:
        """Return how many looks are to wait for an end.

        An end whose look is lost is heard of only when that is overdue, 0.2 s later,
        and until then its room stays empty: with a fifth of all replies lost, tasks of
        0.2 s took 0.1 s longer. A second look beside it hears of the end at once.
        """
        return 2 if self._replies.lossy and held.runs else 1

    def _count_overdue(self, held: LeasedUpstream, now: float) -> None:
        for number in held.pop_overdue_polls(now):
            if number > held.last_answered_poll:
                self._count_missed(held, number, CallOutcome.UNKNOWN, now)

    def _look(self, held: LeasedUpstream, now: float) -> None:
        if not held.pending_polls and not held.overdue_polls:
            held.polled_since = now
        calm = held.acquired and held.responsive and not held.unconfirmed
        long_ms = LOSSY_WAIT_MS if self._replies.lossy else LOOK_WAIT_MS
        wait_ms = long_ms if calm and held.runs else 0
        overdue_at = now + wait_ms / MS_PER_S + self._replies.overdue_s
        number = held.register_poll(overdue_at)
        until = held.extend_lease(now) if self._may_prolong(held) else None
        self._fleet.effects.append(
            PollUpstream(
                held.entry.id,
                held.entry.address,
                number,
                held.fence,
                held.last_seen,
                until,
                wait_ms,
                held.lease_id,
                self._replies.limit_s + wait_ms / MS_PER_S,
            )
        )

    def _may_prolong(self, held: LeasedUpstream) -> bool:
        """Tell whether a lease may grow: not while a run there must end.

        The caller of a stopped task may ask again elsewhere; were the stop lost, only
        the end of the lease would keep the two runs apart. A run whose job is unknown
        here may be another leading host's, which counts on the lease that it granted.
        Looks at a silent upstream grant nothing, or its leases would never count as
        ended.
        """
        return held.responsive and not any(_must_end(run) for run in held.runs.values())

    def replied(
        self, order: PollUpstream, result: PollReport | CallOutcome, now: float
    ) -> None:
        """Take in the reply to a look, or why there is none."""
        held = self._fleet.asked_by(order)
        if held is None:
            return
        held.complete_poll(order.number)
        if isinstance(result, PollReport):
            self._replies.came()
            held.next_poll_at = now
            self._of_boot(held, order, result, now)
        elif result is CallOutcome.GONE:
            self._fleet.gone(held, now)
        else:
            self._look_failed(held, order, result, now)

    def _of_boot(
        self, held: LeasedUpstream, order: PollUpstream, report: PollReport, now: float
    ) -> None:
        """Take in a report of the present boot, or that there is another."""
        if held.incarnation is None:
            held.set_incarnation(report.incarnation)
            self._fleet.owner.boot_seen(held.entry.id, report.incarnation)
        if report.incarnation == held.incarnation:
            self._reported(held, order.number, report, now)
        elif not held.is_from_earlier_incarnation(order.number, report.incarnation):
            self._fleet.restarted(held, report.incarnation, now)
            self._fleet.owner.boot_seen(held.entry.id, report.incarnation)

    def _look_failed(
        self,
        held: LeasedUpstream,
        order: PollUpstream,
        outcome: CallOutcome,
        now: float,
    ) -> None:
        if outcome is CallOutcome.FENCED and order.fence < held.fence:
            # This host raised its own fence since, and the next look shows that.
            return
        if outcome is CallOutcome.UNKNOWN and held.responsive:
            self._replies.lost()
        if outcome is CallOutcome.FENCED:
            self._obeys_another(held, now)
        elif order.number > held.last_answered_poll:
            self._count_missed(held, order.number, outcome, now)
            held.next_poll_at = now + (RETRY_S if held.responsive else LOOK_AGAIN_S)

    def _count_missed(
        self, held: LeasedUpstream, number: int, outcome: CallOutcome, now: float
    ) -> None:
        """Count a look without a reply; several in a row make the upstream silent.

        Looks that were sent side by side count once.
        """
        if number <= held.last_missed_poll:
            return
        held.last_missed_poll = held.polls_sent
        held.consecutive_misses += 1
        held.next_poll_at = now
        if held.consecutive_misses == 1:
            self._fleet.watch_all(now)
        if held.consecutive_misses < SILENT_AFTER:
            return
        held.next_poll_at = now + LOOK_AGAIN_S
        if held.responsive:
            self._note_lost(Decision.UPSTREAM_SILENT, held, outcome)
            held.last_poll_before_silence = held.polls_sent
            held.flapping_until = now + SHAKY_S
        held.responsive = False

    def _obeys_another(self, held: LeasedUpstream, now: float) -> None:
        held.next_poll_at = now + LOOK_AGAIN_S
        if held.responsive:
            self._fleet.watch_all(now)
            self._note_lost(Decision.UPSTREAM_FENCED, held, CallOutcome.FENCED)
        held.responsive = False
        held.acquired = False
        if held.fenced_since is None:
            held.fenced_since = now

    def _note_lost(
        self, decision: Decision, held: LeasedUpstream, outcome: CallOutcome
    ) -> None:
        self._fleet.notes.add(
            decision, "", str(held.entry.id), runs=len(held.runs), why=outcome.value
        )

    def _reported(
        self, held: LeasedUpstream, number: int, report: PollReport, now: float
    ) -> None:
        if not held.responsive and number <= held.last_poll_before_silence:
            # It says that the upstream answered before it turned silent, not that it
            # does now.
            self._take_ends(held, report, in_time=False, now=now)
            return
        if not held.acquired or not held.responsive:
            self._fleet.gained = True
            self._fleet.crashes.answered(held.entry.id)
            self._fleet.notes.add(
                Decision.UPSTREAM_HELD, "", str(held.entry.id), runs=len(report.running)
            )
        elif self._fleet.watch.on(now) and not self._fleet.watch.fresh(held, now):
            # A job that was handed over may have waited for this answer.
            self._fleet.gained = True
        # A reply that is missing may have told of these ends, some time ago.
        in_time = held.consecutive_misses == 0
        held.record_report(number, report, now)
        self._fleet.watch.let_rest(held, now)
        self._take_ends(held, report, in_time, now)
        listed = set()
        for row in report.running:
            listed.add(row.run)
            self._take_running(held, row, now)
        self._drop_absent(held, number, listed, now)

    def _take_ends(
        self, held: LeasedUpstream, report: PollReport, in_time: bool, now: float
    ) -> None:
        for ended in report.ended:
            self._take_end(held, ended, in_time, now)

    def _take_end(
        self, held: LeasedUpstream, ended: EndedRun, in_time: bool, now: float
    ) -> None:
        if ended.number <= held.last_seen:
            return
        held.last_seen = ended.number
        run = held.runs.get(ended.run)
        if run is not None:
            self._fleet.release(held, run)
            since = run.since if in_time else None
            self._fleet.owner.run_ended(held.entry.id, ended, since, now)
        elif ended.result is RunResult.DONE:
            self._fleet.owner.found_done(ended.run.task, now)

    def _take_running(self, held: LeasedUpstream, row: RunningRun, now: float) -> None:
        run = held.runs.get(row.run)
        if run is not None:
            run.percent = row.percent
            run.reported_at = now
            self._fleet.owner.run_reported(row.run.task)
            if run.phase is RunPhase.UNSURE:
                run.phase = RunPhase.RUNNING
                if not run.claimed:
                    self._fleet.send_stop(held, run, now)
            return
        found = Run(row.run, None, RunPhase.RUNNING, now, row.percent, claimed=False)
        found.first_listing_poll = held.polls_sent + 1
        found.initial_percent = row.percent
        self._fleet.add(held, found)
        job = self._fleet.owner.job_of(row.run.task)
        if job is not None and row.run.task in job.by_name:
            self._fleet.adopt(held, found, job, job.by_name[row.run.task], now)

    def _drop_absent(
        self, held: LeasedUpstream, number: int, listed: set[RunId], now: float
    ) -> None:
        """Give back the room of runs that a look shows to be absent.

        Only a look sent after the start's outcome was known, or under a fence raised
        since, proves that; an earlier one may have passed the start on the way.
        """
        for run in list(held.runs.values()):
            settled = run.first_listing_poll and number >= run.first_listing_poll
            if run.id not in listed and settled and run.phase is not RunPhase.STARTING:
                self._fleet.lose(held, run, now)


def _must_end(run: Run) -> bool:
    if run.phase is RunPhase.STOPPING:
        return not run.stop_acked
    return not run.claimed and run.phase is not RunPhase.STARTING
