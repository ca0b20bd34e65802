"""Learned run times of routes and slowdowns of upstreams."""

from collections.abc import Iterable
from itertools import islice

from jackdawspur.health import UpstreamHealth
from jackdawspur.leases import RunResult, UpstreamEntry
from jackdawspur.model import HostId, SubmissionId, UpstreamId
from jackdawspur.runs._job import Job, Task, run_time_spec
from jackdawspur.runs._learned import (
    MAX_ROUTE_TASKS,
    MAX_SLOWDOWN_TASKS,
    LearnedSlowdown,
    LearnedStats,
    incarnation_key,
    pack_route,
)
from jackdawspur.runs._overload_policy import DEFAULT_POLICY
from jackdawspur.runs._received_updates import ReceivedUpdates, weight
from jackdawspur.runs._slowdowns import Slowdowns
from jackdawspur.runs._types import JobStep, Route
from jackdawspur.runs._update_sender import UpdateSender
from jackdawspur.scheduling import RunTimeEstimator

__all__ = ["Estimates"]

MS_PER_S = 1000.0
# Maximum number of routes that are sent; if there are more, the latest ones are.
MAX_ROUTES = 64


class Estimates:
    """Learn how long tasks take and which upstreams are slow or fail.

    `remote_factor` is stated: the factor on run times outside the preferred rack.
    """

    def __init__(
        self, local_id: HostId, remote_factor: float = DEFAULT_POLICY.remote_factor
    ) -> None:
        self.remote_factor = remote_factor
        self._local_id = local_id
        self._run_times = RunTimeEstimator()
        self._health = UpstreamHealth(local_id)
        self._slowdowns = Slowdowns()
        self._incarnation_keys: dict[UpstreamId, int] = {}
        self._sender = UpdateSender()
        self._received = ReceivedUpdates()
        self._leading_since: float | None = None
        self._led_until: float | None = None
        # Weight of this host's own tasks from earlier terms.
        self._own_samples_weight = 0.0

    def set_upstreams(self, entries: Iterable[UpstreamEntry]) -> None:
        """Track exactly these upstreams."""
        labels = {entry.id: entry.labels for entry in entries}
        upstreams = tuple(labels)
        self._health.set_upstreams(upstreams)
        self._slowdowns.set_upstreams(upstreams, labels)
        self._incarnation_keys = {
            upstream: self._incarnation_keys[upstream]
            for upstream in upstreams
            if upstream in self._incarnation_keys
        }

    def reset_health(self, upstreams: Iterable[UpstreamId]) -> None:
        """Reset the upstreams' health, which counts the runs of an earlier term.

        Starts whose ends were reported to another host would stay counted and block a
        suspect upstream forever, since it gets one task at a time.
        """
        self._health = UpstreamHealth(self._local_id)
        self._health.set_upstreams(upstreams)

    def start_leading(self, now: float) -> None:
        """Start a term with the run times of routes that earlier leaders sent."""
        if self._leading_since is not None:
            return
        self._sender.clear()
        led_until = now if self._led_until is None else self._led_until
        self._own_samples_weight = weight(now - led_until)
        self._leading_since = now
        for (service, route), moments, tasks in self._received.routes(now):
            own_samples = min(
                MAX_ROUTE_TASKS, self._run_times.sample_count(service, route)
            )
            if round(tasks) and tasks > own_samples * self._own_samples_weight:
                self._run_times.seed_history(service, route, moments, round(tasks))

    def stop_leading(self, now: float) -> None:
        """End the term; from now on, updates of the next leader are recorded."""
        self._received.clear()
        self._leading_since = None
        self._led_until = now

    def incarnation_seen(self, upstream: UpstreamId, incarnation: int) -> None:
        """Apply the slowdown received for this incarnation, and for no other one."""
        key = incarnation_key(upstream, incarnation)
        if self._incarnation_keys.get(upstream, key) != key:
            self._slowdowns.reset_samples(upstream)
        self._incarnation_keys[upstream] = key
        received = self._received.pop_slowdown(key, self._leading_since or 0.0)
        if received is None:
            return
        level, tasks = received
        own_samples = min(MAX_SLOWDOWN_TASKS, self._slowdowns.sample_count(upstream))
        if round(tasks) and tasks > own_samples * self._own_samples_weight:
            self._slowdowns.seed_history(upstream, level, round(tasks))

    def merge_update(self, learned: LearnedStats, now: float) -> None:
        """Record an update of the leader, for later terms of this host."""
        if self._leading_since is None:
            self._received.record(learned, now)

    def next_update(self, now: float) -> LearnedStats | None:
        """Return what to send to the followers, None if there is nothing new."""
        if self._leading_since is None:
            return None
        slowdowns = [
            LearnedSlowdown(
                key, self._slowdowns.level(upstream), min(MAX_SLOWDOWN_TASKS, samples)
            )
            for upstream, key in self._incarnation_keys.items()
            if (samples := self._slowdowns.sample_count(upstream))
        ]
        route_moments = islice(self._run_times.moments(), MAX_ROUTES)
        routes = [pack_route(*key, moments) for key, moments in route_moments]
        return self._sender.next(slowdowns, filter(None, routes), now)

    def expected_ms(
        self, route: Route, steps: tuple[JobStep, ...]
    ) -> tuple[float, ...]:
        """Return the expected run time of each step's tasks."""
        specs = [run_time_spec(step) for step in steps]
        return self._run_times.estimates_ms(route.service, route.name, specs)

    def started(self, upstream: UpstreamId) -> None:
        """Record a start."""
        self._health.started(upstream)

    def lost(self, upstream: UpstreamId, now: float) -> None:
        """Record a run that ended with its upstream or never existed."""
        self._health.record_inconclusive(upstream)

    def allows(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether one more task may start on an upstream."""
        return self._health.allows(upstream, now) or self._health.probe_allowed(
            upstream, now
        )

    def slowdown(self, upstream: UpstreamId) -> float:
        """Return the factor on the run time of a task on an upstream."""
        return self._slowdowns.factor(upstream)

    def slowdown_samples(self, upstream: UpstreamId) -> int:
        """Return how many tasks the upstream's slowdown is based on."""
        return self._slowdowns.sample_count(upstream)

    def learn_slowdowns(self, job: Job) -> None:
        """Compare the upstreams that ran a job's tasks side by side."""
        for number in range(len(job.request.steps)):
            tasks = [t for t in job.tasks if t.step == number and t.took_ms]
            self._slowdowns.learn([(t.upstream, t.took_ms) for t in tasks])

    def learn_given_up(self, job: Job) -> None:
        """Learn from a job that was too long, by the progress of its tasks.

        Learning only from jobs that end would make all jobs seem short.
        """
        route = job.request.route
        for step, ms in zip(job.request.steps, job.expected_ms, strict=True):
            self._run_times.observe(route.service, route.name, run_time_spec(step), ms)

    def ended(
        self,
        job: Job | None,
        task: Task | None,
        upstream: UpstreamId,
        result: RunResult,
        since: float | None,
        now: float,
    ) -> None:
        """Learn from the end of a run.

        `since` is that of the run (see Run), None if the end was reported late.
        """
        if (
            job is None
            or task is None
            or result not in (RunResult.DONE, RunResult.FAILED)
        ):
            self._health.record_inconclusive(upstream)
            return
        route = job.request.route
        if result is RunResult.FAILED:
            submission = SubmissionId(self._local_id, hash(job.id) & 0xFFFFFFFF)
            self._health.failed(upstream, submission, route.name, now)
            return
        if task.adopted or since is None:
            # The run started before this host found it, or ended some time ago.
            self._health.record_inconclusive(upstream)
            return
        took_ms = (now - since) * MS_PER_S
        task.took_ms = took_ms
        slowdown = self._slowdowns.factor(upstream)
        ratio = took_ms / max(1.0, job.initial_expected_ms[task.step])
        self._health.succeeded(upstream, route.name, ratio, now, since)
        spec = run_time_spec(task.spec)
        self._run_times.observe(route.service, route.name, spec, took_ms / slowdown)
