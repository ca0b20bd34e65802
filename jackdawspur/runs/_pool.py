"""All upstreams that the leader leases, and every run on them."""

import itertools
import math
from collections.abc import Iterable

from jackdawspur.leases import (
    CallOutcome,
    Fence,
    LeasedUpstream,
    Run,
    RunPhase,
    UpstreamEntry,
)
from jackdawspur.model import UpstreamId
from jackdawspur.runs._crashes import Crashes
from jackdawspur.runs._decision_log import DecisionLog
from jackdawspur.runs._effects import Decision, Effect, PollUpstream, StartRun, StopRun
from jackdawspur.runs._job import Job, Task, TaskState
from jackdawspur.runs._listing import Listing
from jackdawspur.runs._poll_schedule import PollSchedule
from jackdawspur.runs._replies import Replies
from jackdawspur.runs._run_owner import RunOwner

__all__ = ["UpstreamPool"]

# A new leader waits this long for the jobs of the runs it finds: it notifies the other
# hosts at once, and they offer their jobs again within a pass or two of their loops.
UNCLAIMED_S = 0.15
# A run on an upstream that obeys another host is stopped by that host within this time.
FENCED_TIMEOUT_S = 1.5
MIN_FREE_CPU_MILLIS = 1
# Polls of all upstreams are answered within some milliseconds; calls that are refused
# in the meantime were sent before these polls.
CONFIRMATION_INTERVAL_S = 0.05


class UpstreamPool:
    """Lease upstreams, and track where each task uses capacity."""

    def __init__(
        self, owner: RunOwner, effects: list[Effect], log: DecisionLog, replies: Replies
    ) -> None:
        self.owner = owner
        self.effects = effects
        self.log = log
        self.replies = replies
        self.listing = Listing()
        self.poll_schedule = PollSchedule(replies)
        self.crashes = Crashes()
        self._entries: dict[UpstreamId, UpstreamEntry] = {}
        self._upstreams: dict[UpstreamId, LeasedUpstream] = {}
        self._lease_ids = itertools.count()
        self._upstreams_by_task: dict[str, list[LeasedUpstream]] = {}
        self._fence: Fence = 0
        self._is_leader = False
        # Last fences of upstreams that left the list and may come back.
        self._fences: dict[UpstreamId, Fence] = {}
        self._confirmation_required_at = 0.0
        # Whether capacity may have become free since this was last reset.
        self.capacity_freed = False

    @property
    def cpu_millis(self) -> int:
        """Return the processor capacity of all upstreams that accept tasks."""
        return sum(self.capacities.values())

    @property
    def capacities(self) -> dict[UpstreamId, int]:
        """Return the processor capacity of each upstream that accepts tasks.

        One that has not replied yet counts: most reply within milliseconds.
        """
        return {
            u.entry.id: u.entry.capacity.cpu_millis
            for u in self._upstreams.values()
            if (u.acquired or u.responsive) and not u.entry.draining
        }

    @property
    def all_draining(self) -> bool:
        """Return whether all upstreams of the group are draining."""
        entries = self._entries.values()
        return bool(entries) and all(entry.draining for entry in entries)

    def all_leased(self, now: float) -> bool:
        """Return whether all upstreams obey this host and replied recently.

        An unresponsive upstream may obey another leader. So may one that vanished from
        the list, as it may be partitioned from the store and from this host, and one
        that is not on the list yet because this host has just started.
        """
        if not self.listing.is_complete(now):
            return False
        return all(
            u.acquired and u.responsive and self.poll_schedule.is_current(u, now)
            for u in self._upstreams.values()
        )

    def watch_closely(self, now: float) -> None:
        """Poll all upstreams often for a moment, even those without runs."""
        self.poll_schedule.start_watch(self._upstreams.values(), now)

    @property
    def fenced_since(self) -> float | None:
        """Return since when a listed upstream has obeyed a higher fence, if one does.

        Upstreams of zones that left this group obey their own leaders.
        """
        times = [
            upstream.fenced_since
            for upstream in self._upstreams.values()
            if upstream.fenced_since and upstream.entry.id in self._entries
        ]
        return min(times, default=None)

    @property
    def upstreams(self) -> Iterable[LeasedUpstream]:
        """Return all upstreams, leased or not yet."""
        return self._upstreams.values()

    def lease_all(self, fence: Fence, now: float) -> None:
        """Start leases of all listed upstreams under a new fence."""
        self._fence = fence
        self._is_leader = True
        self._upstreams = {}
        self._fences.clear()
        self._upstreams_by_task.clear()
        for entry in self._entries.values():
            self._lease(entry, now)

    def release_all(self, now: float) -> None:
        """Release all upstreams."""
        self._is_leader = False
        self._upstreams = {}
        self._upstreams_by_task.clear()

    def set_entries(
        self,
        entries: tuple[UpstreamEntry, ...],
        listed: tuple[UpstreamEntry, ...],
        now: float,
    ) -> None:
        """Set the list; upstreams that left it are kept while they may have runs.

        `entries` are the upstreams of this group, `listed` those of all.
        """
        self.listing.update(listed, now)
        self._entries = {entry.id: entry for entry in entries}
        if not self._is_leader:
            return
        for entry in entries:
            upstream = self._upstreams.get(entry.id)
            if upstream is None:
                self._lease(entry, now)
            else:
                upstream.entry = entry

    def _lease(self, entry: UpstreamEntry, now: float) -> None:
        fence = self._fences.pop(entry.id, self._fence)
        upstream = LeasedUpstream(entry, fence, next(self._lease_ids), now)
        upstream.confirming_poll = 1
        self._upstreams[entry.id] = upstream

    def require_confirmations(self, now: float) -> None:
        """Prevent all starts until polls show which host is obeyed.

        A call that is refused as fenced shows that another host leads, which probably
        leases other upstreams too. Without this, after a partition had ended, each task
        of a job was refused by one upstream after the other: dozens of starts in 40 ms.
        """
        if now - self._confirmation_required_at < CONFIRMATION_INTERVAL_S:
            return
        self._confirmation_required_at = now
        for upstream in self._upstreams.values():
            upstream.require_confirmation()

    def target(self, call: StartRun | StopRun | PollUpstream) -> LeasedUpstream | None:
        """Return the upstream that a call went to, if its lease is still the same.

        A new term starts a new lease, as does a return to the list. Replies to earlier
        calls name runs and polls by the same numbers: a late refusal, or a report
        without the new runs, would free capacity in use, and tasks would start twice.
        """
        upstream = self._upstreams.get(call.upstream)
        return upstream if upstream and upstream.lease_id == call.lease_id else None

    def may_have_run(self, task_name: str) -> bool:
        """Return whether a run of the task may exist."""
        return task_name in self._upstreams_by_task

    def run_of(self, task: Task) -> Run | None:
        """Return the run of a task that uses capacity, if there is one."""
        upstream = self._upstreams.get(task.upstream)
        return upstream.runs.get(task.run_id) if upstream else None

    def with_free_capacity(self, now: float) -> dict[str, list[LeasedUpstream]]:
        """Return the upstreams that accept tasks, by service."""
        found: dict[str, list[LeasedUpstream]] = {}
        for upstream in self._upstreams.values():
            if self._accepts_tasks(upstream, now):
                found.setdefault(upstream.entry.service, []).append(upstream)
        return found

    def _accepts_tasks(self, upstream: LeasedUpstream, now: float) -> bool:
        return (
            upstream.acquired
            and upstream.responsive
            and not self._is_unconfirmed(upstream)
            and not upstream.entry.draining
            and upstream.entry.id in self._entries
            and now >= upstream.backoff_until
            and self.listing.is_known_to_all(upstream.entry.id, now)
            and upstream.free.cpu_millis >= MIN_FREE_CPU_MILLIS
        )

    def _is_unconfirmed(self, upstream: LeasedUpstream) -> bool:
        """Return whether a start there would probably be lost.

        Where replies are often lost, a single loss says little about its upstream:
        to exclude it until a poll is answered would exclude half the capacity.
        """
        if self.replies.lossy:
            return upstream.consecutive_misses > 1
        return upstream.unconfirmed

    def stop(self, task_name: str, now: float) -> None:
        """Stop the runs of a task; one that is starting is stopped after the reply."""
        for upstream, run in self._runs_of(task_name):
            run.claimed = False
            if run.phase in (RunPhase.RUNNING, RunPhase.UNSURE):
                self.send_stop(upstream, run, now)

    def send_stop(self, upstream: LeasedUpstream, run: Run, now: float) -> None:
        if run.phase is RunPhase.RUNNING:
            run.phase = RunPhase.STOPPING
        run.since = now
        entry = upstream.entry
        self.effects.append(
            StopRun(
                entry.id,
                entry.address,
                run.id,
                upstream.fence,
                upstream.lease_id,
                self.replies.timeout_s,
            )
        )

    def claim(self, job: Job, now: float) -> None:
        """Assign to a job those of its runs that an earlier leader started."""
        for task in job.tasks:
            for upstream, run in self._runs_of(task.name):
                if not run.claimed:
                    self.adopt(upstream, run, job, task, now)

    def adopt(
        self, upstream: LeasedUpstream, run: Run, job: Job, task: Task, now: float
    ) -> None:
        upstream.set_run_resources(run, task.spec.resources)
        usable = run.phase is RunPhase.RUNNING and task.state is TaskState.WAITING
        if not usable:
            if run.phase is RunPhase.RUNNING:
                self.send_stop(upstream, run, now)
            return
        run.claimed = True
        # The pending poll was sent before the run had a job and extends no lease; the
        # lease of the earlier leader is about to end.
        upstream.confirming_poll = upstream.polls_sent + 1
        task.adopted = True
        task.run = run.id.number
        job.place(task, upstream.entry.id, now)
        self.log.add(Decision.JOB_ADOPTED, job.id, str(upstream.entry.id))

    def stop_replied(self, effect: StopRun, outcome: CallOutcome, now: float) -> None:
        """Process the outcome of a stop; the reported end of the run frees capacity."""
        upstream = self.target(effect)
        run = upstream.runs.get(effect.run) if upstream else None
        if run is not None and outcome is CallOutcome.OK:
            run.stop_acked = True
            run.first_listing_poll = max(
                run.first_listing_poll, upstream.polls_sent + 1
            )

    def tick(self, now: float) -> None:
        """Repeat stops, stop unclaimed runs and give up unresponsive upstreams."""
        for upstream in list(self._upstreams.values()):
            for run in list(upstream.runs.values()):
                self._check_run(upstream, run, now)
            if (
                not upstream.responsive
                and upstream.runs
                and self._leases_ended(upstream, now)
            ):
                self._expire_runs(upstream, now)
            if upstream.entry.id not in self._entries and not upstream.runs:
                self._forget(upstream)

    def _check_run(self, upstream: LeasedUpstream, run: Run, now: float) -> None:
        waited = now - run.since
        if run.phase is RunPhase.STOPPING and not run.stop_acked:
            if waited > self.replies.overdue_s:
                self.send_stop(upstream, run, now)
        elif run.phase is RunPhase.RUNNING and not run.claimed and waited > UNCLAIMED_S:
            self.log.add(Decision.RUN_STOPPED, run.id.task, str(upstream.entry.id))
            self.send_stop(upstream, run, now)

    def _leases_ended(self, upstream: LeasedUpstream, now: float) -> bool:
        if upstream.fenced_since is not None:
            return now - upstream.fenced_since > FENCED_TIMEOUT_S
        return upstream.leases_expired(now)

    def _expire_runs(self, upstream: LeasedUpstream, now: float) -> None:
        """Give up the runs of an unresponsive upstream; their leases have expired."""
        upstream.raise_fence()
        upstream.acquired = False
        silent_ms = round((now - upstream.last_reply_at) * 1000)
        self.crashes.record_loss(upstream.entry.id, upstream.tasks, now)
        for run in list(upstream.runs.values()):
            self.log.add(
                Decision.RUN_LOST,
                run.id.task,
                str(upstream.entry.id),
                run=run.id.number,
                silent_ms=silent_ms,
            )
            self.mark_lost(upstream, run, now)

    def on_restart(
        self, upstream: LeasedUpstream, incarnation: int, now: float
    ) -> None:
        """Record that an upstream restarted under the same name."""
        self.log.add(
            Decision.UPSTREAM_RESTARTED,
            "",
            str(upstream.entry.id),
            boot=incarnation,
            before=upstream.incarnation or 0,
            runs=len(upstream.runs),
        )
        upstream.record_restart(incarnation)
        self._record_crash(upstream, now)

    def on_gone(
        self, upstream: LeasedUpstream, now: float, replaced_by: float = math.inf
    ) -> None:
        """Remove an incarnation of an upstream that another one has replaced.

        Runs that were first sent at `replaced_by` or later never ran there.
        """
        self.log.add(
            Decision.UPSTREAM_GONE, "", str(upstream.entry.id), runs=len(upstream.runs)
        )
        self._record_crash(upstream, now, replaced_by)
        for run in list(upstream.runs.values()):
            self.mark_lost(upstream, run, now)
        self._entries.pop(upstream.entry.id, None)
        self._forget(upstream)

    def _record_crash(
        self, upstream: LeasedUpstream, now: float, replaced_by: float = math.inf
    ) -> None:
        """Record the crash of an incarnation, which may still be listed."""
        key = upstream.entry.id
        known = upstream.incarnation is not None or self.crashes.may_have_crashed(key)
        if known and not upstream.entry.draining:
            tasks = {
                run.id.task
                for run in upstream.runs.values()
                if run.phase is not RunPhase.STARTING or run.since < replaced_by
            }
            self.crashes.record_crash(key, tasks, now)

    def _forget(self, upstream: LeasedUpstream) -> None:
        self._upstreams.pop(upstream.entry.id, None)
        self._fences[upstream.entry.id] = upstream.fence

    def mark_lost(self, upstream: LeasedUpstream, run: Run, now: float) -> None:
        self.release(upstream, run)
        self.owner.run_lost(run.id, upstream.entry.id, now)

    def add(self, upstream: LeasedUpstream, run: Run) -> None:
        upstream.add_run(run)
        self._upstreams_by_task.setdefault(run.id.task, []).append(upstream)

    def release(self, upstream: LeasedUpstream, run: Run) -> None:
        upstream.remove_run(run)
        self.capacity_freed = True
        locations = self._upstreams_by_task[run.id.task]
        locations.remove(upstream)
        if not locations:
            del self._upstreams_by_task[run.id.task]

    def _runs_of(self, task_name: str) -> list[tuple[LeasedUpstream, Run]]:
        return [
            (upstream, run)
            for upstream in dict.fromkeys(self._upstreams_by_task.get(task_name, ()))
            for run in list(upstream.runs.values())
            if run.id.task == task_name
        ]
