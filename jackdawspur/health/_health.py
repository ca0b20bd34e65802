"""The condition of each upstream of the own zone."""

import math
import statistics
from collections.abc import Iterable

from jackdawspur.health._blame import Blame
from jackdawspur.health._limits import (
    DEFAULT_EJECTION,
    LOST_TO_EJECT,
    MAX_BACKOFF_S,
    MAX_SLOWNESS,
    MIN_SAMPLES,
    RAMP_FACTOR,
    RAMP_LIMIT,
    REPORT_LIFE,
    SLOW_FACTOR,
    UNLIMITED,
)
from jackdawspur.health._record import Condition, FailedJob, Record
from jackdawspur.model import EjectionPolicy, HostId, SubmissionId, UpstreamId

__all__ = ["UpstreamHealth"]


class UpstreamHealth:
    """Decide how many tasks each upstream may be given."""

    def __init__(self, own: HostId) -> None:
        self._own = own
        self._records: dict[UpstreamId, Record] = {}
        self._blame = Blame()
        self._ejection = DEFAULT_EJECTION

    def set_ejection_policy(self, ejection: EjectionPolicy) -> None:
        """Judge by these limits from now on."""
        self._ejection = ejection

    def set_upstreams(self, upstreams: Iterable[UpstreamId]) -> None:
        """Keep records of exactly these upstreams of the own zone."""
        known = self._records
        self._records = {one: known.get(one) or Record() for one in upstreams}

    def started(self, upstream: UpstreamId) -> None:
        """Count a task sent there; each ends by one of the calls below."""
        self._record(upstream).running += 1

    def succeeded(
        self,
        upstream: UpstreamId,
        job_class: str,
        ratio: float,
        now: float,
        sent_at: float | None = None,
    ) -> None:
        """Note a task done; `ratio` is its run time over the expected one."""
        record = self._ended(upstream)
        self._blame.note(job_class, upstream, False, now)
        record.observe(ratio)
        # An upstream that turned bad still ends well what it started before. Those
        # ends would clear its failures, and each cleared failure costs another job.
        if sent_at is not None and sent_at <= record.failed_at:
            return
        record.failed.clear()
        record.lost = 0
        if not record.ejected:
            record.ramp = min(RAMP_LIMIT, record.ramp * RAMP_FACTOR)
            if record.ramp == RAMP_LIMIT:
                record.times_ejected = 0
        elif now >= record.probe_at:
            record.ejected = False
            record.ramp = 1

    def failed(
        self,
        upstream: UpstreamId,
        submission: SubmissionId,
        job_class: str,
        now: float,
    ) -> None:
        """Note a task that ended in failure there."""
        self._ended(upstream)
        self.peer_task_failed(upstream, submission, job_class, now)

    def peer_task_failed(
        self,
        upstream: UpstreamId,
        submission: SubmissionId,
        job_class: str,
        now: float,
    ) -> None:
        """Note a task that failed there and that another host had sent."""
        record = self._record(upstream)
        self._blame.note(job_class, upstream, True, now)
        record.failed[FailedJob(submission, job_class)] = None
        record.failed_at = now
        self._failed_probe(record, now)
        self._judge(upstream, now)

    def lost(self, upstream: UpstreamId, now: float) -> None:
        """Note a start without a reply, or a task that ran into its time limit."""
        record = self._ended(upstream)
        record.lost += 1
        record.failed_at = now
        self._failed_probe(record, now)
        self._judge(upstream, now)

    def record_inconclusive(self, upstream: UpstreamId) -> None:
        """Note a task that was refused or stopped, which says nothing."""
        self._ended(upstream)

    def apply_peer_report(
        self, sender: HostId, bad: Iterable[UpstreamId], now: float
    ) -> None:
        """Take a sibling's list of the upstreams that it mistrusts."""
        reported = set(bad)
        for upstream, record in self._records.items():
            if upstream in reported:
                record.reports[sender] = now
                self._judge(upstream, now)
            elif record.reports.pop(sender, None) is not None:
                # All hosts returning to it at full width would hide a relapse.
                record.ramp = 1

    def unhealthy_upstreams(self, now: float) -> tuple[UpstreamId, ...]:
        """Return the upstreams this host itself mistrusts, for its heartbeats."""
        return tuple(
            upstream
            for upstream, record in self._records.items()
            if record.ejected
            or ((record.failed or record.lost) and self._evidence(record, now))
        )

    def condition(self, upstream: UpstreamId, now: float) -> Condition:
        """Tell how far the upstream is trusted."""
        record = self._record(upstream)
        if record.ejected:
            return Condition.EJECTED
        if self._evidence(record, now) or self._reporters(record, now):
            return Condition.SUSPECT
        if record.ramp < RAMP_LIMIT:
            return Condition.RETURNING
        return Condition.HEALTHY

    def concurrency_limit(self, upstream: UpstreamId, now: float) -> int:
        """Return how many tasks this host may have running there."""
        condition = self.condition(upstream, now)
        if condition is Condition.EJECTED:
            return self._ejected_limit(upstream, now)
        if condition is Condition.SUSPECT:
            return self._suspect_limit(upstream, now)
        if condition is Condition.RETURNING:
            return self._record(upstream).ramp
        return UNLIMITED

    def allows(self, upstream: UpstreamId, now: float) -> bool:
        """Tell whether one more ordinary task may be sent there."""
        return self._record(upstream).running < self.concurrency_limit(upstream, now)

    def probe_allowed(self, upstream: UpstreamId, now: float) -> bool:
        """Tell whether one idempotent task of a small job may try it out."""
        record = self._record(upstream)
        if not record.ejected or record.running or now < record.probe_at:
            return False
        # Every host probing on its own would cost a job each; one speaks for all.
        return all(self._own < other for other in self._reporters(record, now))

    def slowness(self, upstream: UpstreamId) -> float:
        """Return how much slower than the median it runs, from 1 to a cap."""
        paces = [one.pace for one in self._records.values() if _measured(one)]
        record = self._record(upstream)
        if not _measured(record) or len(paces) < 2:
            return 1.0
        return min(MAX_SLOWNESS, max(1.0, record.pace / statistics.median(paces)))

    def is_straggler(self, upstream: UpstreamId) -> bool:
        """Tell whether it is slow enough to be used last."""
        return self.slowness(upstream) >= SLOW_FACTOR

    def ejected(self) -> tuple[UpstreamId, ...]:
        """Return the ejected upstreams."""
        return tuple(name for name, one in self._records.items() if one.ejected)

    def _record(self, upstream: UpstreamId) -> Record:
        # Results of an upstream that left the configuration still come in.
        return self._records.get(upstream) or Record()

    def _ended(self, upstream: UpstreamId) -> Record:
        record = self._record(upstream)
        record.running = max(0, record.running - 1)
        return record

    def _evidence(self, record: Record, now: float) -> int:
        jobs = sum(
            not self._blame.lies_with_class(job.job_class, now) for job in record.failed
        )
        return max(jobs, record.lost)

    def _reporters(self, record: Record, now: float) -> list[HostId]:
        return [host for host, at in record.reports.items() if now - at <= REPORT_LIFE]

    def _failed_probe(self, record: Record, now: float) -> None:
        if record.ejected and now >= record.probe_at:
            self._eject(record, now)

    def _ejected_limit(self, upstream: UpstreamId, now: float) -> int:
        # Hosts of its own zone probe an upstream. They lend its slots again only when
        # they trust it, so to use a lent one after the back-off is safe enough.
        lent = upstream.zone != self._own.zone
        return int(lent and now >= self._record(upstream).probe_at)

    def _suspect_limit(self, upstream: UpstreamId, now: float) -> int:
        # The host that saw the failure finds out with one task at a time; others
        # would pay a job each for the same news, so they wait for its report.
        evidence = self._evidence(self._record(upstream), now)
        if evidence or not self._room_to_wait(upstream.zone, now):
            return 1
        return 0

    def _judge(self, upstream: UpstreamId, now: float) -> None:
        record = self._record(upstream)
        if record.ejected:
            return
        jobs = sum(
            not self._blame.lies_with_class(job.job_class, now) for job in record.failed
        )
        if jobs:
            jobs += len(self._reporters(record, now))
        enough = jobs >= self._ejection.after_failures or record.lost >= LOST_TO_EJECT
        zone = upstream.zone
        if enough and self._ejected_in(zone) < self._most_ejected(zone):
            self._eject(record, now)

    def _ejected_in(self, zone: str) -> int:
        return sum(upstream.zone == zone for upstream in self.ejected())

    def _most_ejected(self, zone: str) -> int:
        # A shared cause (network, bad release) makes many upstreams fail at once;
        # ejecting them all would turn failures into an outage.
        count = sum(upstream.zone == zone for upstream in self._records)
        return max(1, math.floor(count * self._ejection.max_share))

    def _room_to_wait(self, zone: str, now: float) -> bool:
        mistrusted = sum(
            record.ejected or bool(self._reporters(record, now))
            for upstream, record in self._records.items()
            if upstream.zone == zone
        )
        return mistrusted <= self._most_ejected(zone)

    def _eject(self, record: Record, now: float) -> None:
        record.ejected = True
        record.ramp = 1
        wait = self._ejection.readmit_after_s * 2**record.times_ejected
        record.probe_at = now + min(MAX_BACKOFF_S, wait)
        record.times_ejected += 1


def _measured(record: Record) -> bool:
    return record.samples >= MIN_SAMPLES
