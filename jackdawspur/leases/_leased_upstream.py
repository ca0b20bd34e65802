"""An upstream leased by the leader, and the runs on it."""

import math
from dataclasses import dataclass
from enum import Enum

from jackdawspur.leases._fence import Fence
from jackdawspur.leases._resources import NO_RESOURCES, Resources
from jackdawspur.leases._types import PollReport, RunId, UpstreamEntry

__all__ = ["LEASE_S", "LeasedUpstream", "Run", "RunPhase"]

# Duration of a lease. A task of a lost host must have ended before its caller retries,
# 1.3 s after the failure: the host counts as unresponsive after 0.4 s, then the lease
# has to expire.
LEASE_S = 0.6
# Upstreams shorten longer leases to this.
MAX_LEASE_S = 1.0
# An upstream's clock may be slower than the local one by this fraction.
CLOCK_DRIFT = 0.02
MAX_RUNS = 512
MS_PER_S = 1000.0


class RunPhase(Enum):
    """Phase of a run, as far as this host knows."""

    STARTING = "starting"
    UNSURE = "unsure"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(eq=False, slots=True)
class Run:
    """A run that uses capacity; `resources` is None if unknown.

    `since` is when its start was sent, or it was found; then when its stop was sent.
    `first_listing_poll` is the number of the first poll whose reply must list the run,
    0 if unknown. `claimed` tells whether an open job of this leader owns the run.
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
    """Track the runs, the fence and the lease of one upstream.

    No task starts before a poll under this leader's own fence was answered: the list of
    runs is then complete, since older fences can no longer start anything. `lease_id`
    distinguishes this lease from earlier ones of the same upstream.

    `last_seen` is the number of the last ended run that was reported. `polled_since` is
    since when at least one poll has been open without interruption. `confirming_poll`
    is the first poll whose reply shows that the upstream obeys this host's fence, and
    `acquired` tells whether it, or a later one, was answered. No start is sent before
    `backoff_until`. Until `idle_until`, no poll is needed while nothing runs.
    """

    def __init__(
        self, entry: UpstreamEntry, fence: Fence, lease_id: int, now: float
    ) -> None:
        self._entry = entry
        self.fence = fence
        self.lease_id = lease_id
        # None until a report states it, with the last poll sent before that report.
        self.incarnation: int | None = None
        self._incarnation_poll = 0
        self.runs: dict[RunId, Run] = {}
        self.last_seen = 0
        self.last_reply_at = now
        self.polled_since = now
        self.polls_sent = 0
        # Pending polls by number, with when they are overdue; overdue but open polls.
        self.pending_polls: dict[int, float] = {}
        self.overdue_polls: set[int] = set()
        # No poll is overdue before this time.
        self.overdue_at = math.inf
        self.consecutive_misses = 0
        self.last_missed_poll = 0
        # Last poll sent before it became unresponsive; until when that is likely again.
        self.last_poll_while_responsive = 0
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
        """Return the upstream's entry in the list of upstreams."""
        return self._entry

    @entry.setter
    def entry(self, entry: UpstreamEntry) -> None:
        self._entry = entry
        self._update_free()

    @property
    def free(self) -> Resources:
        """Return the free capacity, none while a run of unknown size exists.

        Every waiting task checks every upstream, so this is updated only on changes.
        """
        return self._free

    @property
    def is_full(self) -> bool:
        """Return whether it has as many runs as are tracked, whatever their size.

        Tasks that need no processor capacity would otherwise start without a bound.
        """
        return len(self.runs) >= MAX_RUNS

    @property
    def tasks(self) -> set[str]:
        """Return the tasks that have runs on this upstream."""
        return {run.task for run in self.runs}

    @property
    def unconfirmed(self) -> bool:
        """Return whether a poll is overdue or a confirming poll is pending.

        A call sent in the meantime may be lost as well.
        """
        return (
            self.consecutive_misses > 0
            or self.last_answered_poll < self.confirming_poll
        )

    def can_skip_poll(self, now: float) -> bool:
        """Return whether a poll would show nothing relevant now."""
        early = now < self.idle_until
        return early and self.acquired and not self.runs and not self.consecutive_misses

    def add_run(self, run: Run) -> None:
        """Add a run and the resources that it uses."""
        self.runs[run.id] = run
        if run.resources is None:
            self._unknown_size_runs += 1
        else:
            self._used = self._used + run.resources
        self._update_free()

    def remove_run(self, run: Run) -> None:
        """Remove a run and free its resources."""
        del self.runs[run.id]
        if run.resources is None:
            self._unknown_size_runs -= 1
        else:
            self._used = self._used - run.resources
        self._update_free()

    def set_run_resources(self, run: Run, resources: Resources) -> None:
        """Set the resources of a run that another host started."""
        if run.resources is None:
            self._unknown_size_runs -= 1
            run.resources = resources
            self._used = self._used + resources
            self._update_free()

    def register_poll(self, overdue_at: float) -> int:
        """Register a poll that is sent now and return its number."""
        self.polls_sent += 1
        self.pending_polls[self.polls_sent] = overdue_at
        self.overdue_at = min(self.overdue_at, overdue_at)
        return self.polls_sent

    def pop_overdue_polls(self, now: float) -> list[int]:
        """Move polls that are overdue to `overdue_polls` and return them."""
        overdue = [number for number, at in self.pending_polls.items() if now >= at]
        for number in overdue:
            del self.pending_polls[number]
            self.overdue_polls.add(number)
        self.overdue_at = min(self.pending_polls.values(), default=math.inf)
        return overdue

    def complete_poll(self, number: int) -> None:
        """Record that the call of a poll has ended."""
        self.pending_polls.pop(number, None)
        self.overdue_polls.discard(number)

    def raise_fence(self) -> None:
        """Raise the fence, so that no call sent so far can take effect later.

        A start without a reply may be carried out seconds later. Under a higher fence
        it can't, so the next poll is authoritative on whether it runs.
        """
        self.fence += 1
        self.confirming_poll = self.polls_sent + 1

    def is_from_earlier_incarnation(self, poll: int, incarnation: int) -> bool:
        """Return whether a report is from an earlier incarnation of the upstream.

        Incarnations are start times on the upstream's wall clock, so a lower one alone
        is no proof. A poll sent after the incarnation was known can't reach an earlier
        one.
        """
        return poll <= self._incarnation_poll and incarnation < (self.incarnation or 0)

    def set_incarnation(self, incarnation: int) -> None:
        """Record which incarnation reports."""
        self.incarnation = incarnation
        self._incarnation_poll = self.polls_sent

    def record_restart(self, incarnation: int) -> None:
        """Reset what an earlier incarnation reported.

        The next poll shows which runs exist. The new incarnation has seen no fence,
        restarts the numbers of ended runs and has a clock of its own. It may have those
        runs whose starts arrived after the restart: under the raised fence the next
        poll shows this for each run.
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
        """Prevent starts until the next poll is answered."""
        self.acquired = False
        self.confirming_poll = self.polls_sent + 1

    def extend_lease(self, now: float) -> int | None:
        """Extend the lease and return its end on the upstream's clock.

        Return None if no poll has been answered yet.
        """
        if self._clock_ms is None:
            return None
        elapsed_ms = (now - self._clock_read_at) * MS_PER_S
        lease_until_ms = self._clock_ms + int(elapsed_ms + LEASE_S * MS_PER_S)
        if lease_until_ms > self._lease_until_ms:
            self._lease_until_ms = lease_until_ms
            self._lease_extended_at = now
        return lease_until_ms

    def record_report(self, poll: int, report: PollReport, now: float) -> None:
        """Record an answered poll and the upstream's clock."""
        self.responsive = True
        self.consecutive_misses = 0
        self.last_answered_poll = max(poll, self.last_answered_poll)
        self.fenced_since = None
        self.last_reply_at = now
        if self._lease_unknown:
            # A start that reached this incarnation may state its lease on the clock of
            # the earlier one; upstreams shorten it to MAX_LEASE_S.
            self._lease_unknown = False
            self._lease_until_ms = report.clock_ms + int(MAX_LEASE_S * MS_PER_S)
        if self._clock_ms is None or report.clock_ms >= self._clock_ms:
            self._clock_ms = report.clock_ms
            self._clock_read_at = now
        if poll >= self.confirming_poll:
            self.acquired = True

    def leases_expired(self, now: float) -> bool:
        """Return whether all leases must have expired, even if no poll was answered."""
        if self._clock_ms is None:
            max_lease_s = LEASE_S * (1.0 + CLOCK_DRIFT) + LEASE_S
            return now - self.polled_since > max_lease_s
        elapsed_ms = (now - self._clock_read_at) * MS_PER_S * (1.0 - CLOCK_DRIFT)
        return self._clock_ms + elapsed_ms > self._lease_until_ms

    def _update_free(self) -> None:
        capacity = self._entry.capacity
        self._free = NO_RESOURCES if self._unknown_size_runs else capacity - self._used
