"""One upstream under the lease of the leading host."""

import math
from dataclasses import dataclass
from enum import Enum

from jackdawspur.leases._fence import Fence
from jackdawspur.leases._resources import NO_RESOURCES, Resources
from jackdawspur.leases._types import PollReport, RunId, UpstreamEntry

__all__ = ["LEASE_S", "LeasedUpstream", "Run", "RunPhase"]

# How far ahead a lease reaches. A task of a lost host must be gone before its caller
# asks again, 1.3 s after the break: 0.4 s until the silence is noticed, then this.
LEASE_S = 0.6
# Upstreams shorten leases that are longer.
MAX_LEASE_S = 1.0
# An upstream's clock may run this much slower than ours.
CLOCK_DRIFT = 0.02
MS_PER_S = 1000.0


class RunPhase(Enum):
    """Say how far a run is, as far as this host knows."""

    STARTING = "starting"
    UNSURE = "unsure"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(eq=False, slots=True)
class Run:
    """Keep one run that takes room; `resources` is None when not known.

    `first_listing_poll` is the number of the first look that must list the run.
    """

    id: RunId
    resources: Resources | None
    phase: RunPhase
    since: float
    percent: float = 0.0
    initial_percent: float = 0.0
    reported_at: float = 0.0
    first_listing_poll: int = 0
    claimed: bool = True
    stop_acked: bool = False


class LeasedUpstream:
    """Keep what occupies one upstream, its fence and what it was granted.

    Nothing starts before a look under this host's own token was answered: the list of
    what runs is then complete, since older tokens can start nothing any more.
    `lease_id` tells this holding from earlier ones of the same upstream.
    """

    def __init__(
        self, entry: UpstreamEntry, fence: Fence, number: int, now: float
    ) -> None:
        self._entry = entry
        self.fence = fence
        self.lease_id = number
        # None until a report names it, with the last look sent by then.
        self.incarnation: int | None = None
        self._incarnation_poll = 0
        self.runs: dict[RunId, Run] = {}
        self.last_seen = 0
        self.last_reply_at = now
        self.polled_since = now
        self.polls_sent = 0
        # By number, when each is overdue; then those whose calls go on nevertheless.
        self.pending_polls: dict[int, float] = {}
        self.overdue_polls: set[int] = set()
        # No look is overdue before this.
        self.overdue_at = math.inf
        self.consecutive_misses = 0
        self.last_missed_poll = 0
        # The last look sent when it turned silent; until when it may do so again.
        self.last_poll_before_silence = 0
        self.flapping_until = now
        self.last_answered_poll = 0
        self.confirming_poll = 0
        self.acquired = False
        self.responsive = True
        self.backoff_until = 0.0
        self.next_poll_at = now
        self.idle_until = now
        self.fenced_since: float | None = None
        self._used = NO_RESOURCES
        self._unknown_size_runs = 0
        self._free = entry.capacity
        self._clock_ms: int | None = None
        self._clock_read_at = now
        self._lease_until_ms = 0
        self._lease_extended_at = now
        self._lease_unknown = False

    @property
    def entry(self) -> UpstreamEntry:
        """Return what the list says of the upstream."""
        return self._entry

    @entry.setter
    def entry(self, entry: UpstreamEntry) -> None:
        self._entry = entry
        self._update_free()

    @property
    def free(self) -> Resources:
        """Return what is left, nothing while a run of unknown size is there.

        Every waiting task asks every upstream, so this is counted when it changes.
        """
        return self._free

    @property
    def tasks(self) -> set[str]:
        """Return the tasks that have runs here."""
        return {run.task for run in self.runs}

    @property
    def unconfirmed(self) -> bool:
        """Tell whether a look is overdue, or one that is to settle something is open.

        An order that goes there now may be lost as well.
        """
        return (
            self.consecutive_misses > 0
            or self.last_answered_poll < self.confirming_poll
        )

    def can_skip_poll(self, now: float) -> bool:
        """Tell whether a look would show nothing that matters by now."""
        early = now < self.idle_until
        return early and self.acquired and not self.runs and not self.consecutive_misses

    def add_run(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.id] = run
        if run.resources is None:
            self._unknown_size_runs += 1
        else:
            self._used = self._used + run.resources
        self._update_free()

    def remove_run(self, run: Run) -> None:
        """Give the room of a run back."""
        del self.runs[run.id]
        if run.resources is None:
            self._unknown_size_runs -= 1
        else:
            self._used = self._used - run.resources
        self._update_free()

    def set_run_resources(self, run: Run, resources: Resources) -> None:
        """Note the size of a run that another host started."""
        if run.resources is None:
            self._unknown_size_runs -= 1
            run.resources = resources
            self._used = self._used + resources
            self._update_free()

    def register_poll(self, overdue_at: float) -> int:
        """Number a look that is sent now."""
        self.polls_sent += 1
        self.pending_polls[self.polls_sent] = overdue_at
        self.overdue_at = min(self.overdue_at, overdue_at)
        return self.polls_sent

    def pop_overdue_polls(self, now: float) -> list[int]:
        """Return the looks that became overdue."""
        overdue = [number for number, at in self.pending_polls.items() if now >= at]
        for number in overdue:
            del self.pending_polls[number]
            self.overdue_polls.add(number)
        self.overdue_at = min(self.pending_polls.values(), default=math.inf)
        return overdue

    def complete_poll(self, number: int) -> None:
        """Note that the call of a look has ended."""
        self.pending_polls.pop(number, None)
        self.overdue_polls.discard(number)

    def raise_fence(self) -> None:
        """Bar every call sent so far from taking effect later.

        A start without a reply may be carried out seconds later. Under a higher token
        it can't, so the next look shows for good whether it runs.
        """
        self.fence += 1
        self.confirming_poll = self.polls_sent + 1

    def is_from_earlier_incarnation(self, poll: int, incarnation: int) -> bool:
        """Tell whether a report says nothing of the present boot.

        A look sent since a boot is known can't reach an earlier one, whatever the time
        of day was at its start.
        """
        return poll <= self._incarnation_poll and incarnation < (self.incarnation or 0)

    def set_incarnation(self, incarnation: int) -> None:
        """Take in which boot reports."""
        self.incarnation = incarnation
        self._incarnation_poll = self.polls_sent

    def record_restart(self, incarnation: int) -> None:
        """Forget what an earlier boot said; the next look shows which runs exist.

        The present boot has seen no fence, numbers its ends anew and has a clock of its
        own. Of the runs that take room it may have those whose starts arrived since:
        under the raised fence the next look settles each.
        """
        self.set_incarnation(incarnation)
        self.last_seen = 0
        self._clock_ms = None
        self._lease_unknown = True
        self.raise_fence()
        self.acquired = False
        for run in self.runs.values():
            run.first_listing_poll = self.confirming_poll
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.UNSURE

    def require_confirmation(self) -> None:
        """Let nothing start before the next look is answered."""
        self.acquired = False
        self.confirming_poll = self.polls_sent + 1

    def extend_lease(self, now: float) -> int | None:
        """Return the end of a new lease on the upstream's clock, None before a look."""
        if self._clock_ms is None:
            return None
        elapsed_ms = (now - self._clock_read_at) * MS_PER_S
        lease_until_ms = self._clock_ms + int(elapsed_ms + LEASE_S * MS_PER_S)
        if lease_until_ms > self._lease_until_ms:
            self._lease_until_ms = lease_until_ms
            self._lease_extended_at = now
        return lease_until_ms

    def record_report(self, poll: int, report: PollReport, now: float) -> None:
        """Take in an answered look: the clock, and that the upstream is there."""
        self.responsive = True
        self.consecutive_misses = 0
        self.last_answered_poll = max(poll, self.last_answered_poll)
        self.fenced_since = None
        self.last_reply_at = now
        if self._lease_unknown:
            # A start meant for the earlier boot named a time on that one's clock.
            self._lease_unknown = False
            self._lease_until_ms = report.clock_ms + int(MAX_LEASE_S * MS_PER_S)
        if self._clock_ms is None or report.clock_ms >= self._clock_ms:
            self._clock_ms = report.clock_ms
            self._clock_read_at = now
        if poll >= self.confirming_poll:
            self.acquired = True

    def leases_expired(self, now: float) -> bool:
        """Tell whether all leases granted must have ended, answers or not."""
        if self._clock_ms is None:
            max_lease_s = LEASE_S * (1.0 + CLOCK_DRIFT) + LEASE_S
            return now - self.polled_since > max_lease_s
        elapsed_ms = (now - self._clock_read_at) * MS_PER_S * (1.0 - CLOCK_DRIFT)
        return self._clock_ms + elapsed_ms > self._lease_until_ms

    def _update_free(self) -> None:
        capacity = self._entry.capacity
        self._free = NO_RESOURCES if self._unknown_size_runs else capacity - self._used
