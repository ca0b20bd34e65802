"""Health of the upstreams in this host's zone."""

import math
import statistics
from collections.abc import Iterable

from jackdawspur.health._failure_attribution import FailureAttribution
from jackdawspur.health._limits import (
    DEFAULT_EJECTION,
    LOST_TASKS_TO_EJECT,
    MAX_BACKOFF_S,
    MAX_SLOWDOWN,
    MIN_SAMPLES,
    RAMP_FACTOR,
    RAMP_LIMIT,
    REPORT_TTL_S,
    STRAGGLER_SLOWDOWN,
    UNLIMITED,
)
from jackdawspur.health._record import Condition, FailedJob, Record
from jackdawspur.model import EjectionPolicy, HostId, SubmissionId, UpstreamId

__all__ = ["UpstreamHealth"]


class UpstreamHealth:
    """Health records of upstreams, and the limits on their running tasks."""

    def __init__(self, local_id: HostId) -> None:
        self._local_id = local_id
        self._records: dict[UpstreamId, Record] = {}
        self._attribution = FailureAttribution()
        self._ejection = DEFAULT_EJECTION

    def set_ejection_policy(self, ejection: EjectionPolicy) -> None:
        """Apply this policy to all later decisions."""
        self._ejection = ejection

    def set_upstreams(self, upstreams: Iterable[UpstreamId]) -> None:
        """Set the upstreams of which records are kept."""
        previous = self._records
        self._records = {name: previous.get(name) or Record() for name in upstreams}

    def started(self, upstream: UpstreamId) -> None:
        """Count a task sent to the upstream.

        Exactly one of `succeeded`, `failed`, `lost` and `record_inconclusive` must
        follow for each.
        """
        self._record_of(upstream).running += 1

    def succeeded(
        self,
        upstream: UpstreamId,
        job_class: str,
        ratio: float,
        now: float,
        sent_at: float | None = None,
    ) -> None:
        """Record a task that succeeded.

        `ratio` is its run time divided by the expected run time. `sent_at` is the time
        when its start was sent.
        """
        record = self._ended(upstream)
        self._attribution.record(job_class, upstream, False, now)
        record.observe(ratio)
        # An upstream that became faulty may still complete tasks that it started
        # before. Such successes must not clear its failures: each cleared failure costs
        # another job.
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
        """Record a task of this host that failed on the upstream."""
        self._ended(upstream)
        self.peer_task_failed(upstream, submission, job_class, now)

    def peer_task_failed(
        self,
        upstream: UpstreamId,
        submission: SubmissionId,
        job_class: str,
        now: float,
    ) -> None:
        """Record a task of another host that failed on the upstream."""
        record = self._record_of(upstream)
        self._attribution.record(job_class, upstream, True, now)
        record.failed[FailedJob(submission, job_class)] = None
        record.failed_at = now
        self._eject_after_failed_probe(record, now)
        self._eject_if_failing(upstream, now)

    def lost(self, upstream: UpstreamId, now: float) -> None:
        """Record a start without a reply, or a task that exceeded its time limit."""
        record = self._ended(upstream)
        record.lost += 1
        record.failed_at = now
        self._eject_after_failed_probe(record, now)
        self._eject_if_failing(upstream, now)

    def record_inconclusive(self, upstream: UpstreamId) -> None:
        """Record a refused or stopped task, which is no evidence of health."""
        self._ended(upstream)

    def apply_peer_report(
        self, sender: HostId, unhealthy_ids: Iterable[UpstreamId], now: float
    ) -> None:
        """Apply the list of unhealthy upstreams that a peer in this zone reports."""
        reported = set(unhealthy_ids)
        for upstream, record in self._records.items():
            if upstream in reported:
                record.reports[sender] = now
                self._eject_if_failing(upstream, now)
            elif record.reports.pop(sender, None) is not None:
                # Restart the ramp: a relapse would be noticed too late if all hosts
                # used the upstream without a limit at once.
                record.ramp = 1

    def unhealthy_upstreams(self, now: float) -> tuple[UpstreamId, ...]:
        """Return the upstreams that this host finds unhealthy, for its heartbeats."""
        return tuple(
            upstream
            for upstream, record in self._records.items()
            if record.ejected
            or ((record.failed or record.lost) and self._failure_count(record, now))
        )

    def condition(self, upstream: UpstreamId, now: float) -> Condition:
        """Return the condition of the upstream."""
        record = self._record_of(upstream)
        if record.ejected:
            return Condition.EJECTED
        if self._failure_count(record, now) or self._reporters(record, now):
            return Condition.SUSPECT
        if record.ramp < RAMP_LIMIT:
            return Condition.RETURNING
        return Condition.HEALTHY

    def concurrency_limit(self, upstream: UpstreamId, now: float) -> int:
        """Return how many tasks this host may have running on the upstream."""
        condition = self.condition(upstream, now)
        if condition is Condition.EJECTED:
            return self._ejected_limit(upstream, now)
        if condition is Condition.SUSPECT:
            return self._suspect_limit(upstream, now)
        if condition is Condition.RETURNING:
            return self._record_of(upstream).ramp
        return UNLIMITED

    def allows(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether one more ordinary task may be sent to the upstream."""
        return self._record_of(upstream).running < self.concurrency_limit(upstream, now)

    def probe_allowed(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an idempotent task of a small job may probe the upstream."""
        record = self._record_of(upstream)
        if not record.ejected or record.running or now < record.probe_at:
            return False
        # If every host probed, each failed probe would cost a job. So of the hosts that
        # report the upstream, only the one with the smallest id probes.
        return all(self._local_id < other for other in self._reporters(record, now))

    def relative_slowdown(self, upstream: UpstreamId) -> float:
        """Return the slowdown relative to the median, from 1 to MAX_SLOWDOWN."""
        slowdowns = [
            r.slowdown for r in self._records.values() if _has_enough_samples(r)
        ]
        record = self._record_of(upstream)
        if not _has_enough_samples(record) or len(slowdowns) < 2:
            return 1.0
        return min(
            MAX_SLOWDOWN, max(1.0, record.slowdown / statistics.median(slowdowns))
        )

    def is_straggler(self, upstream: UpstreamId) -> bool:
        """Return whether the upstream is so slow that it should be used last."""
        return self.relative_slowdown(upstream) >= STRAGGLER_SLOWDOWN

    def ejected(self) -> tuple[UpstreamId, ...]:
        """Return the ejected upstreams."""
        return tuple(name for name, record in self._records.items() if record.ejected)

    def _record_of(self, upstream: UpstreamId) -> Record:
        # Results of an upstream may arrive after it was removed from the configuration.
        return self._records.get(upstream) or Record()

    def _ended(self, upstream: UpstreamId) -> Record:
        record = self._record_of(upstream)
        record.running = max(0, record.running - 1)
        return record

    def _failure_count(self, record: Record, now: float) -> int:
        failed_jobs = sum(
            not self._attribution.class_is_faulty(job.job_class, now)
            for job in record.failed
        )
        return max(failed_jobs, record.lost)

    def _reporters(self, record: Record, now: float) -> list[HostId]:
        return [host for host, at in record.reports.items() if now - at <= REPORT_TTL_S]

    def _eject_after_failed_probe(self, record: Record, now: float) -> None:
        if record.ejected and now >= record.probe_at:
            self._eject(record, now)

    def _ejected_limit(self, upstream: UpstreamId, now: float) -> int:
        # Upstreams are probed by hosts of their own zone, which lend slots again only
        # once the upstream is healthy. So a lent slot may be used after the backoff.
        lent = upstream.zone != self._local_id.zone
        return int(lent and now >= self._record_of(upstream).probe_at)

    def _suspect_limit(self, upstream: UpstreamId, now: float) -> int:
        # The host that saw the failure continues with one task at a time. The other
        # hosts wait for its report: each would lose a job to learn the same.
        failure_count = self._failure_count(self._record_of(upstream), now)
        if failure_count or not self._within_ejection_cap(upstream.zone, now):
            return 1
        return 0

    def _eject_if_failing(self, upstream: UpstreamId, now: float) -> None:
        record = self._record_of(upstream)
        if record.ejected:
            return
        failed_jobs = sum(
            not self._attribution.class_is_faulty(job.job_class, now)
            for job in record.failed
        )
        if failed_jobs:
            failed_jobs += len(self._reporters(record, now))
        exceeds_limit = (
            failed_jobs >= self._ejection.after_failures
            or record.lost >= LOST_TASKS_TO_EJECT
        )
        zone = upstream.zone
        if exceeds_limit and self._ejected_count(zone) < self._max_ejected(zone):
            self._eject(record, now)

    def _ejected_count(self, zone: str) -> int:
        return sum(upstream.zone == zone for upstream in self.ejected())

    def _max_ejected(self, zone: str) -> int:
        # A shared cause, such as the network or a faulty release, makes many upstreams
        # fail at once. Ejecting them all would turn failures into an outage.
        count = sum(upstream.zone == zone for upstream in self._records)
        return max(1, math.floor(count * self._ejection.max_share))

    def _within_ejection_cap(self, zone: str, now: float) -> bool:
        unhealthy = sum(
            record.ejected or bool(self._reporters(record, now))
            for upstream, record in self._records.items()
            if upstream.zone == zone
        )
        return unhealthy <= self._max_ejected(zone)

    def _eject(self, record: Record, now: float) -> None:
        record.ejected = True
        record.ramp = 1
        backoff_s = self._ejection.readmit_after_s * 2**record.times_ejected
        record.probe_at = now + min(MAX_BACKOFF_S, backoff_s)
        record.times_ejected += 1


def _has_enough_samples(record: Record) -> bool:
    return record.samples >= MIN_SAMPLES
