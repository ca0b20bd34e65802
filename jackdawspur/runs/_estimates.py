"""What is learned of routes' run times and of upstreams."""

from collections.abc import Iterable
from itertools import islice

from jackdawspur.health import UpstreamHealth
from jackdawspur.leases import RunResult, UpstreamEntry
from jackdawspur.model import HostId, SubmissionId, UpstreamId
from jackdawspur.runs._hearsay import Hearsay, weight
from jackdawspur.runs._job import Job, Task, run_time_spec
from jackdawspur.runs._learned import (
    MOST_PACE_TASKS,
    MOST_ROUTE_TASKS,
    LearnedPace,
    LearnedStats,
    boot_key,
    pack_route,
)
from jackdawspur.runs._paces import Paces
from jackdawspur.runs._telling import Telling
from jackdawspur.runs._types import JobStep, Route
from jackdawspur.scheduling import RunTimeEstimator

__all__ = ["Estimates"]

MS_PER_S = 1000.0
# Services and routes that are told, of more the latest ones.
MOST_ROUTES = 64


class Estimates:
    """Learn how long tasks take and which upstreams are slow or fail."""

    def __init__(self, own: HostId) -> None:
        self._own = own
        self._run_times = RunTimeEstimator()
        self._health = UpstreamHealth(own)
        self._paces = Paces()
        self._keys: dict[UpstreamId, int] = {}
        self._telling = Telling()
        self._hearsay = Hearsay()
        self._leads_since: float | None = None
        self._led_until: float | None = None
        # What own tasks of earlier terms count for.
        self._own_weight = 0.0

    def set_upstreams(self, entries: Iterable[UpstreamEntry]) -> None:
        """Judge exactly these upstreams."""
        labels = {entry.id: entry.labels for entry in entries}
        kept = tuple(labels)
        self._health.set_upstreams(kept)
        self._paces.set_upstreams(kept, labels)
        self._keys = {one: self._keys[one] for one in kept if one in self._keys}

    def forget_running(self, upstreams: Iterable[UpstreamId]) -> None:
        """Judge upstreams anew: what ran under an earlier lead is not counted here.

        Counted starts whose ends went to another host would bar a suspect upstream for
        ever, since it gets one task at a time.
        """
        self._health = UpstreamHealth(self._own)
        self._health.set_upstreams(upstreams)

    def start_leading(self, now: float) -> None:
        """Begin with what the leading hosts before have told of routes."""
        if self._leads_since is not None:
            return
        self._telling.clear()
        led_until = now if self._led_until is None else self._led_until
        self._own_weight = weight(now - led_until)
        self._leads_since = now
        for (service, route), moments, tasks in self._hearsay.routes(now):
            own = min(MOST_ROUTE_TASKS, self._run_times.sample_count(service, route))
            if round(tasks) and tasks > own * self._own_weight:
                self._run_times.seed_history(service, route, moments, round(tasks))

    def stop_leading(self, now: float) -> None:
        """Hear from now on what the next leading host learns."""
        self._hearsay.clear()
        self._leads_since = None
        self._led_until = now

    def boot_seen(self, upstream: UpstreamId, boot: int) -> None:
        """Believe what was told of the boot that answers, and of no other one."""
        key = boot_key(upstream, boot)
        if self._keys.get(upstream, key) != key:
            self._paces.started_again(upstream)
        self._keys[upstream] = key
        told = self._hearsay.pace(key, self._leads_since or 0.0)
        if told is None:
            return
        level, tasks = told
        own = min(MOST_PACE_TASKS, self._paces.seen(upstream))
        if round(tasks) and tasks > own * self._own_weight:
            self._paces.seed_history(upstream, level, round(tasks))

    def merge_update(self, learned: LearnedStats, now: float) -> None:
        """Keep what the leading host told, for when this one leads."""
        if self._leads_since is None:
            self._hearsay.take_in(learned, now)

    def next_update(self, now: float) -> LearnedStats | None:
        """Return what to tell the hosts that follow, None for nothing new."""
        if self._leads_since is None:
            return None
        paces = [
            LearnedPace(key, self._paces.level(one), min(MOST_PACE_TASKS, seen))
            for one, key in self._keys.items()
            if (seen := self._paces.seen(one))
        ]
        known = islice(self._run_times.moments(), MOST_ROUTES)
        routes = [pack_route(*key, moments) for key, moments in known]
        return self._telling.next(paces, filter(None, routes), now)

    def expected_ms(
        self, route: Route, steps: tuple[JobStep, ...]
    ) -> tuple[float, ...]:
        """Return the expected run time of each step's tasks."""
        specs = [run_time_spec(step) for step in steps]
        return self._run_times.estimates_ms(route.service, route.name, specs)

    def started(self, upstream: UpstreamId) -> None:
        """Note a start."""
        self._health.started(upstream)

    def lost(self, upstream: UpstreamId, now: float) -> None:
        """Note a run that ended with its upstream or was never there."""
        self._health.record_inconclusive(upstream)

    def allows(self, upstream: UpstreamId, now: float) -> bool:
        """Tell whether one more task may be started there."""
        return self._health.allows(upstream, now) or self._health.probe_allowed(
            upstream, now
        )

    def slowdown(self, upstream: UpstreamId) -> float:
        """Return the factor on the time that a task takes there."""
        return self._paces.of(upstream)

    def pace_seen(self, upstream: UpstreamId) -> int:
        """Return how many tasks told that pace."""
        return self._paces.seen(upstream)

    def learn_paces(self, job: Job) -> None:
        """Compare the upstreams that ran a job's tasks side by side."""
        for number in range(len(job.request.steps)):
            tasks = [t for t in job.tasks if t.step == number and t.took_ms]
            self._paces.learn([(t.upstream, t.took_ms) for t in tasks])

    def learn_given_up(self, job: Job) -> None:
        """Learn from a job that was too long, by what its tasks' progress showed.

        Learning only from jobs that end would make all seem short.
        """
        route = job.request.route
        for step, ms in zip(job.request.steps, job.expected_ms, strict=True):
            self._run_times.observe(route.service, route.name, run_time_spec(step), ms)

    def ended(
        self,
        job: Job | None,
        task: Task | None,
        upstream: UpstreamId,
        ending: RunResult,
        since: float | None,
        now: float,
    ) -> None:
        """Learn from an end; `since` is None when it was heard of late."""
        if (
            job is None
            or task is None
            or ending not in (RunResult.DONE, RunResult.FAILED)
        ):
            self._health.record_inconclusive(upstream)
            return
        route = job.request.route
        if ending is RunResult.FAILED:
            submission = SubmissionId(self._own, hash(job.id) & 0xFFFFFFFF)
            self._health.failed(upstream, submission, route.name, now)
            return
        if task.adopted or since is None:
            # It began before this host found it, or ended some time ago.
            self._health.record_inconclusive(upstream)
            return
        took_ms = (now - since) * MS_PER_S
        task.took_ms = took_ms
        pace = self._paces.of(upstream)
        ratio = took_ms / max(1.0, job.first_expected_ms[task.step])
        self._health.succeeded(upstream, route.name, ratio, now, since)
        spec = run_time_spec(task.spec)
        self._run_times.observe(route.service, route.name, spec, took_ms / pace)
