"""Intervals between polls of upstreams on which nothing runs."""

from collections.abc import Iterable

from jackdawspur.leases import LeasedUpstream
from jackdawspur.runs._replies import Replies

__all__ = ["POLL_WAIT_MS", "MAX_MISSES", "PollSchedule"]

# A poll waits up to this long for a run to end: leases of 0.6 s are extended twice
# before they expire.
POLL_WAIT_MS = 200
# An upstream that misses this many polls in a row is unresponsive. With fewer, a
# healthy one counts as unresponsive where many replies are lost; each additional
# one delays the expiry of the leases of an upstream that is really lost.
MAX_MISSES = 3
# Interval between polls of an upstream on which nothing runs. A start there after it
# became unresponsive is lost, and resolved like any other lost start. The upstream's
# clock drifts by at most 0.02 s in this time, which extends the lease of a start by as
# much.
IDLE_POLL_INTERVAL_S = 1.0
WATCHED_POLL_INTERVAL_S = 0.2
# For this long after a sign that upstreams may be unresponsive, all are polled more
# often.
WATCH_S = 0.25
# Polls of many upstreams at once block the loop: intervals differ by this fraction.
INTERVAL_SPREAD = 0.4
GOLDEN_RATIO = 0.618034
MS_PER_S = 1000.0


class PollSchedule:
    """Choose the intervals between polls, and detect replies that are too old."""

    def __init__(self, replies: Replies) -> None:
        self._replies = replies
        self._watch_until = 0.0

    def is_watching(self, now: float) -> bool:
        """Return whether idle upstreams are polled more often."""
        return now < self._watch_until

    def start_watch(self, upstreams: Iterable[LeasedUpstream], now: float) -> None:
        """Poll all upstreams often for a moment.

        A failure often affects several upstreams. Without polls, each idle one would
        lose a start before it is known to be unresponsive.
        """
        if self._watch_until - now > WATCH_S / 2:
            return
        self._watch_until = now + WATCH_S
        for upstream in upstreams:
            upstream.idle_until = min(
                upstream.idle_until, upstream.last_reply_at + WATCHED_POLL_INTERVAL_S
            )

    def schedule_idle_poll(self, upstream: LeasedUpstream, now: float) -> None:
        """Schedule the next poll of an upstream that replied, in case nothing runs."""
        interval_s = WATCHED_POLL_INTERVAL_S
        if not self.is_watching(now):
            phase = upstream.lease_id * GOLDEN_RATIO % 1.0
            interval_s = IDLE_POLL_INTERVAL_S * (
                1.0 - INTERVAL_SPREAD / 2 + INTERVAL_SPREAD * phase
            )
        upstream.idle_until = now + interval_s

    def is_current(self, upstream: LeasedUpstream, now: float) -> bool:
        """Return whether an upstream replied as recently as one that runs something.

        An earlier reply doesn't show that it still obeys this host.
        """
        max_age_s = POLL_WAIT_MS / MS_PER_S + MAX_MISSES * self._replies.overdue_s
        return now - upstream.last_reply_at <= max_age_s
