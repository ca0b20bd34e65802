"""All upstreams that the leading host holds, and every run on them."""

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
from jackdawspur.runs._effects import Decision, Effect, PollUpstream, StartRun, StopRun
from jackdawspur.runs._job import Job, Task, TaskState
from jackdawspur.runs._listing import Listing
from jackdawspur.runs._notes import DecisionLog
from jackdawspur.runs._replies import Replies
from jackdawspur.runs._run_owner import RunOwner
from jackdawspur.runs._watch import Watch

__all__ = ["UpstreamPool"]

# A new leading host waits this long for the jobs of the runs it finds: it tells the
# others at once that it leads, and they offer their jobs again within a pass or two.
UNCLAIMED_S = 0.15
# A run on an upstream that obeys another host may go on until that host stops it.
FENCED_S = 1.5
SMALLEST_ROOM_MILLIS = 1
# Looks at all upstreams are answered within some milliseconds; what is refused
# meanwhile was sent before.
DOUBT_EVERY_S = 0.05


class UpstreamPool:
    """Hold upstreams, and keep where each task takes room."""

    def __init__(
        self,
        owner: RunOwner,
        effects: list[Effect],
        notes: DecisionLog,
        replies: Replies,
    ) -> None:
        self.owner = owner
        self.effects = effects
        self.notes = notes
        self.replies = replies
        self.listing = Listing()
        self.watch = Watch(replies)
        self.crashes = Crashes()
        self._entries: dict[UpstreamId, UpstreamEntry] = {}
        self._held: dict[UpstreamId, LeasedUpstream] = {}
        self._holdings = itertools.count()
        self._where: dict[str, list[LeasedUpstream]] = {}
        self._fence: Fence = 0
        self._leads = False
        # The last fences of upstreams that left the list, which may come back.
        self._fences: dict[UpstreamId, Fence] = {}
        self._doubted_at = 0.0
        # Whether room may have come free since this was last reset.
        self.gained = False

    @property
    def cpu_millis(self) -> int:
        """Return the processor capacity of all upstreams that take tasks."""
        return sum(self.capacities.values())

    @property
    def capacities(self) -> dict[UpstreamId, int]:
        """Return the processor capacity of each upstream that takes tasks.

        One that was not heard yet counts: it mostly answers within milliseconds.
        """
        return {
            held.entry.id: held.entry.capacity.cpu_millis
            for held in self._held.values()
            if (held.acquired or held.responsive) and not held.entry.draining
        }

    @property
    def only_drains(self) -> bool:
        """Tell whether no upstream of the group is to take anything more."""
        entries = self._entries.values()
        return bool(entries) and all(entry.draining for entry in entries)

    def all_held(self, now: float) -> bool:
        """Tell whether every upstream obeys this host and answered it just now.

        One that is silent may obey another leading host by now, and so may one that
        vanished from the list: it may be cut off from the store and from this host. So
        may one that a host which has just started has not found on its list yet.
        """
        if not self.listing.complete(now):
            return False
        return all(
            held.acquired and held.responsive and self.watch.fresh(held, now)
            for held in self._held.values()
        )

    def watch_all(self, now: float) -> None:
        """Look at all upstreams often for a moment, also where nothing runs."""
        self.watch.begin(self._held.values(), now)

    @property
    def fenced_since(self) -> float | None:
        """Return since when a listed upstream has obeyed a higher fence, if one does.

        Those of zones that left this group obey their own leading hosts.
        """
        times = [
            held.fenced_since
            for held in self._held.values()
            if held.fenced_since and held.entry.id in self._entries
        ]
        return min(times, default=None)

    @property
    def upstreams(self) -> Iterable[LeasedUpstream]:
        """Return all upstreams, held or not yet."""
        return self._held.values()

    def hold_all(self, fence: Fence, now: float) -> None:
        """Begin to hold every upstream of the list under a new fence."""
        self._fence = fence
        self._leads = True
        self._held = {}
        self._fences.clear()
        self._where.clear()
        for entry in self._entries.values():
            self._hold(entry, now)

    def release_all(self, now: float) -> None:
        """Let go of all upstreams."""
        self._leads = False
        self._held = {}
        self._where.clear()

    def set_entries(
        self,
        entries: tuple[UpstreamEntry, ...],
        listed: tuple[UpstreamEntry, ...],
        now: float,
    ) -> None:
        """Take in the list; what left it is kept while runs of it may exist.

        `entries` are the upstreams of this group, `listed` those of all.
        """
        self.listing.note(listed, now)
        self._entries = {entry.id: entry for entry in entries}
        if not self._leads:
            return
        for entry in entries:
            held = self._held.get(entry.id)
            if held is None:
                self._hold(entry, now)
            else:
                held.entry = entry

    def _hold(self, entry: UpstreamEntry, now: float) -> None:
        fence = self._fences.pop(entry.id, self._fence)
        held = LeasedUpstream(entry, fence, next(self._holdings), now)
        held.confirming_poll = 1
        self._held[entry.id] = held

    def doubt_all(self, now: float) -> None:
        """Start nothing anywhere until looks say who is obeyed.

        One refusal as fenced shows that another host leads, which has taken other
        upstreams too: after a cut had healed, each task of a job was refused by one
        upstream after the other, dozens of starts in 40 ms.
        """
        if now - self._doubted_at < DOUBT_EVERY_S:
            return
        self._doubted_at = now
        for held in self._held.values():
            held.require_confirmation()

    def asked_by(
        self, order: StartRun | StopRun | PollUpstream
    ) -> LeasedUpstream | None:
        """Return the upstream that an order went to, if it is still held for it.

        An upstream is held anew with each term, and when it left the list and came
        back. A reply to an order from before names runs and looks by the same numbers:
        a late refusal, or a report that lists none of the new runs, would give room
        back that is in use, and their tasks would start once more elsewhere.
        """
        held = self._held.get(order.upstream)
        return held if held and held.lease_id == order.lease_id else None

    def takes_room(self, task_name: str) -> bool:
        """Tell whether a run of the task may exist."""
        return task_name in self._where

    def run_of(self, task: Task) -> Run | None:
        """Return the run of a task that takes room, if there is one."""
        held = self._held.get(task.upstream)
        return held.runs.get(task.run_id) if held else None

    def with_room(self, now: float) -> dict[str, list[LeasedUpstream]]:
        """Return the upstreams that take tasks, by service."""
        found: dict[str, list[LeasedUpstream]] = {}
        for held in self._held.values():
            if self._open(held, now):
                found.setdefault(held.entry.service, []).append(held)
        return found

    def _open(self, held: LeasedUpstream, now: float) -> bool:
        return (
            held.acquired
            and held.responsive
            and not self._in_doubt(held)
            and not held.entry.draining
            and held.entry.id in self._entries
            and now >= held.backoff_until
            and self.listing.known_to_all(held.entry.id, now)
            and held.free.cpu_millis >= SMALLEST_ROOM_MILLIS
        )

    def _in_doubt(self, held: LeasedUpstream) -> bool:
        """Tell whether a start there would likely be lost.

        Where replies get lost all the time a single one says little of its upstream:
        were that closed until a look is answered, half the room would be.
        """
        if self.replies.lossy:
            return held.consecutive_misses > 1
        return held.unconfirmed

    def stop(self, task_name: str, now: float) -> None:
        """Stop the run of a task; one whose start is still open is stopped after it."""
        for held, run in self._runs_of(task_name):
            run.claimed = False
            if run.phase in (RunPhase.RUNNING, RunPhase.UNSURE):
                self.send_stop(held, run, now)

    def send_stop(self, held: LeasedUpstream, run: Run, now: float) -> None:
        if run.phase is RunPhase.RUNNING:
            run.phase = RunPhase.STOPPING
        run.since = now
        entry = held.entry
        self.effects.append(
            StopRun(
                entry.id,
                entry.address,
                run.id,
                held.fence,
                held.lease_id,
                self.replies.limit_s,
            )
        )

    def claim(self, job: Job, now: float) -> None:
        """Give a job the runs of it that an earlier leading host started."""
        for task in job.tasks:
            for held, run in self._runs_of(task.name):
                if not run.claimed:
                    self.adopt(held, run, job, task, now)

    def adopt(
        self, held: LeasedUpstream, run: Run, job: Job, task: Task, now: float
    ) -> None:
        held.set_run_resources(run, task.spec.resources)
        usable = run.phase is RunPhase.RUNNING and task.state is TaskState.WAITING
        if not usable:
            if run.phase is RunPhase.RUNNING:
                self.send_stop(held, run, now)
            return
        run.claimed = True
        # The look that waits for an end there was sent before the run had a job, and
        # prolongs nothing; the lease of the earlier leading host is about to end.
        held.confirming_poll = held.polls_sent + 1
        task.adopted = True
        task.run = run.id.number
        job.place(task, held.entry.id, now)
        self.notes.add(Decision.JOB_ADOPTED, job.id, str(held.entry.id))

    def stop_replied(self, order: StopRun, outcome: CallOutcome, now: float) -> None:
        """Take in what became of a stop; the room is free once the end is listed."""
        held = self.asked_by(order)
        run = held.runs.get(order.run) if held else None
        if run is not None and outcome is CallOutcome.OK:
            run.stop_acked = True
            run.first_listing_poll = max(run.first_listing_poll, held.polls_sent + 1)

    def tick(self, now: float) -> None:
        """Repeat stops, stop runs of nobody and give up silent upstreams."""
        for held in list(self._held.values()):
            for run in list(held.runs.values()):
                self._care_for(held, run, now)
            if not held.responsive and held.runs and self._all_lapsed(held, now):
                self._lapse(held, now)
            if held.entry.id not in self._entries and not held.runs:
                self._forget(held)

    def _care_for(self, held: LeasedUpstream, run: Run, now: float) -> None:
        waited = now - run.since
        if run.phase is RunPhase.STOPPING and not run.stop_acked:
            if waited > self.replies.overdue_s:
                self.send_stop(held, run, now)
        elif run.phase is RunPhase.RUNNING and not run.claimed and waited > UNCLAIMED_S:
            self.notes.add(Decision.RUN_STOPPED, run.id.task, str(held.entry.id))
            self.send_stop(held, run, now)

    def _all_lapsed(self, held: LeasedUpstream, now: float) -> bool:
        if held.fenced_since is not None:
            return now - held.fenced_since > FENCED_S
        return held.leases_expired(now)

    def _lapse(self, held: LeasedUpstream, now: float) -> None:
        """Give up the runs of a silent upstream; their leases have ended there."""
        held.raise_fence()
        held.acquired = False
        silent_ms = round((now - held.last_reply_at) * 1000)
        self.crashes.lost(held.entry.id, held.tasks, now)
        for run in list(held.runs.values()):
            self.notes.add(
                Decision.RUN_LOST,
                run.id.task,
                str(held.entry.id),
                run=run.id.number,
                silent_ms=silent_ms,
            )
            self.lose(held, run, now)

    def restarted(self, held: LeasedUpstream, boot: int, now: float) -> None:
        """Take in that an upstream started again under its name."""
        self.notes.add(
            Decision.UPSTREAM_RESTARTED,
            "",
            str(held.entry.id),
            boot=boot,
            before=held.incarnation or 0,
            runs=len(held.runs),
        )
        held.record_restart(boot)
        self._note_crash(held, now)

    def gone(
        self, held: LeasedUpstream, now: float, replaced_by: float = math.inf
    ) -> None:
        """Give up a boot of an upstream that another boot has replaced.

        What was first sent at `replaced_by` or later never ran there.
        """
        self.notes.add(
            Decision.UPSTREAM_GONE, "", str(held.entry.id), runs=len(held.runs)
        )
        self._note_crash(held, now, replaced_by)
        for run in list(held.runs.values()):
            self.lose(held, run, now)
        self._entries.pop(held.entry.id, None)
        self._forget(held)

    def _note_crash(
        self, held: LeasedUpstream, now: float, replaced_by: float = math.inf
    ) -> None:
        """Keep what ran under a boot that ended; the list may name it once more."""
        upstream = held.entry.id
        known = held.incarnation is not None or self.crashes.may_have_crashed(upstream)
        if known and not held.entry.draining:
            tasks = {
                run.id.task
                for run in held.runs.values()
                if run.phase is not RunPhase.STARTING or run.since < replaced_by
            }
            self.crashes.crashed(upstream, tasks, now)

    def _forget(self, held: LeasedUpstream) -> None:
        self._held.pop(held.entry.id, None)
        self._fences[held.entry.id] = held.fence

    def lose(self, held: LeasedUpstream, run: Run, now: float) -> None:
        self.release(held, run)
        self.owner.run_lost(run.id, held.entry.id, now)

    def add(self, held: LeasedUpstream, run: Run) -> None:
        held.add_run(run)
        self._where.setdefault(run.id.task, []).append(held)

    def release(self, held: LeasedUpstream, run: Run) -> None:
        held.remove_run(run)
        self.gained = True
        places = self._where[run.id.task]
        places.remove(held)
        if not places:
            del self._where[run.id.task]

    def _runs_of(self, task_name: str) -> list[tuple[LeasedUpstream, Run]]:
        return [
            (held, run)
            for held in dict.fromkeys(self._where.get(task_name, ()))
            for run in list(held.runs.values())
            if run.id.task == task_name
        ]
