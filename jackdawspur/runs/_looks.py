"""Looks at upstreams: they prolong leases and show what runs and what ended."""

from jackdawspur.leases import (
    CallOutcome,
    EndedRun,
    Ending,
    HeldUpstream,
    LookReport,
    Phase,
    Run,
    RunId,
    RunningRun,
)
from jackdawspur.runs._effects import Decision, LookAt
from jackdawspur.runs._fleet import Fleet

__all__ = ["Looks"]

# A look waits this long for an end: leases of 0.6 s are prolonged twice a term.
LOOK_WAIT_MS = 200
# After a look without a reply the next one follows this much later.
LOOK_AGAIN_S = 0.1


class Looks:
    """Look at every upstream without end, and believe what the answers prove."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def send_due(self, now: float) -> None:
        """Send the looks whose time has come."""
        for held in self._fleet.held:
            urgent = held.sure_look > held.looks and held.looks_open < 2
            if urgent or (not held.looks_open and now >= held.look_at):
                self._look(held, now)

    def _look(self, held: HeldUpstream, now: float) -> None:
        if not held.looks_open:
            held.asked_since = now
        number = held.next_look()
        calm = held.held and held.answered and number > held.sure_look
        until = held.grant_until(now) if self._may_prolong(held) else None
        self._fleet.effects.append(
            LookAt(
                held.entry.id,
                held.entry.address,
                number,
                held.fence,
                held.last_seen,
                until,
                LOOK_WAIT_MS if calm else 0,
                held.number,
            )
        )

    def _may_prolong(self, held: HeldUpstream) -> bool:
        """Tell whether a lease may grow: not while a run there must end.

        The caller of a stopped task may ask again elsewhere; were the stop lost, only
        the end of the lease would keep the two runs apart. A run whose job is unknown
        here may be another leading host's, which counts on the lease that it granted.
        Looks at a silent upstream grant nothing, or its leases would never count as
        ended.
        """
        return held.answered and not any(_must_end(run) for run in held.runs.values())

    def replied(
        self, order: LookAt, result: LookReport | CallOutcome, now: float
    ) -> None:
        """Take in the reply to a look, or why there is none."""
        held = self._fleet.asked_by(order)
        if held is None:
            return
        held.looks_open -= 1
        if isinstance(result, LookReport):
            held.look_at = now
            self._reported(held, order.number, result, now)
        elif result is CallOutcome.GONE:
            self._fleet.gone(held, now)
        else:
            self._look_failed(held, result, now)

    def _look_failed(
        self, held: HeldUpstream, outcome: CallOutcome, now: float
    ) -> None:
        held.look_at = now + LOOK_AGAIN_S
        if held.answered:
            decision = Decision.UPSTREAM_SILENT
            if outcome is CallOutcome.FENCED:
                decision = Decision.UPSTREAM_FENCED
            self._fleet.notes.add(
                decision, "", str(held.entry.id), runs=len(held.runs), why=outcome.value
            )
        held.answered = False
        if outcome is CallOutcome.FENCED:
            held.held = False
            if held.fenced_since is None:
                held.fenced_since = now

    def _reported(
        self, held: HeldUpstream, number: int, report: LookReport, now: float
    ) -> None:
        if not held.held or not held.answered:
            self._fleet.gained = True
            self._fleet.notes.add(
                Decision.UPSTREAM_HELD, "", str(held.entry.id), runs=len(report.running)
            )
        held.note_report(number, report, now)
        for ended in report.ended:
            self._take_end(held, ended, now)
        listed = set()
        for row in report.running:
            listed.add(row.run)
            self._take_running(held, row, now)
        self._drop_absent(held, number, listed, now)

    def _take_end(self, held: HeldUpstream, ended: EndedRun, now: float) -> None:
        if ended.number <= held.last_seen:
            return
        held.last_seen = ended.number
        run = held.runs.get(ended.run)
        if run is not None:
            self._fleet.release(held, run)
            self._fleet.owner.run_ended(held.entry.id, ended, run.since, now)
        elif ended.ending is Ending.DONE:
            self._fleet.owner.found_done(ended.run.task, now)

    def _take_running(self, held: HeldUpstream, row: RunningRun, now: float) -> None:
        run = held.runs.get(row.run)
        if run is not None:
            run.percent = row.percent
            run.reported_at = now
            self._fleet.owner.run_reported(row.run.task)
            if run.phase is Phase.UNSURE:
                run.phase = Phase.RUNNING
                if not run.claimed:
                    self._fleet.send_stop(held, run, now)
            return
        found = Run(row.run, None, Phase.RUNNING, now, row.percent, claimed=False)
        found.sure_after = held.looks + 1
        found.first_percent = row.percent
        self._fleet.add(held, found)
        job = self._fleet.owner.job_of(row.run.task)
        if job is not None and row.run.task in job.by_name:
            self._fleet.adopt(held, found, job, job.by_name[row.run.task], now)

    def _drop_absent(
        self, held: HeldUpstream, number: int, listed: set[RunId], now: float
    ) -> None:
        """Give back the room of runs that a look shows to be absent.

        Only a look sent after the start's outcome was known, or under a fence raised
        since, proves that; an earlier one may have passed the start on the way.
        """
        for run in list(held.runs.values()):
            settled = run.sure_after and number >= run.sure_after
            if run.id not in listed and settled and run.phase is not Phase.STARTING:
                self._fleet.lose(held, run, now)


def _must_end(run: Run) -> bool:
    if run.phase is Phase.STOPPING:
        return not run.stop_acked
    return not run.claimed and run.phase is not Phase.STARTING
