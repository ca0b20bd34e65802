"""How often upstreams are looked at on which nothing runs."""

from collections.abc import Iterable

from jackdawspur.leases import LeasedUpstream
from jackdawspur.runs._replies import Replies

__all__ = ["POLL_WAIT_MS", "MAX_MISSES", "PollSchedule"]

# A look waits this long for an end: leases of 0.6 s are prolonged twice a term.
POLL_WAIT_MS = 200
# An upstream that misses this many looks in a row is silent. With fewer, one that is
# sound counts as silent where many replies get lost; each look more delays the end of
# the leases of one that is really lost.
MAX_MISSES = 3
# Between two looks at an upstream on which nothing runs: a start there after it turned
# silent is lost, and settled like any other. The upstream's clock drifts by 0.02 s
# meanwhile, which makes the lease of a start longer by so much at the most.
IDLE_POLL_INTERVAL_S = 1.0
WATCHED_POLL_INTERVAL_S = 0.2
# This long after a sign that upstreams may be silent all are looked at more often.
WATCH_S = 0.25
# Looks at many upstreams at once stop the loop: pauses differ by this share.
SPREAD = 0.4
GOLDEN_RATIO = 0.618034
MS_PER_S = 1000.0


class PollSchedule:
    """Choose the pauses between looks, and say which answers are too old."""

    def __init__(self, replies: Replies) -> None:
        self._replies = replies
        self._until = 0.0

    def is_watching(self, now: float) -> bool:
        """Tell whether upstreams at rest are looked at more often."""
        return now < self._until

    def start_watch(self, upstreams: Iterable[LeasedUpstream], now: float) -> None:
        """Look at all upstreams often for a moment.

        What breaks off often takes several upstreams along, and each one on which
        nothing runs would cost a start before it is known.
        """
        if self._until - now > WATCH_S / 2:
            return
        self._until = now + WATCH_S
        for upstream in upstreams:
            upstream.idle_until = min(
                upstream.idle_until, upstream.last_reply_at + WATCHED_POLL_INTERVAL_S
            )

    def schedule_idle_poll(self, upstream: LeasedUpstream, now: float) -> None:
        """Choose when to look again at an upstream that answered, if nothing runs."""
        pause_s = WATCHED_POLL_INTERVAL_S
        if not self.is_watching(now):
            phase = upstream.lease_id * GOLDEN_RATIO % 1.0
            pause_s = IDLE_POLL_INTERVAL_S * (1.0 - SPREAD / 2 + SPREAD * phase)
        upstream.idle_until = now + pause_s

    def is_current(self, upstream: LeasedUpstream, now: float) -> bool:
        """Tell whether an upstream was heard as lately as one that runs something.

        An earlier answer doesn't show that it still obeys this host.
        """
        max_age_s = POLL_WAIT_MS / MS_PER_S + MAX_MISSES * self._replies.overdue_s
        return now - upstream.last_reply_at <= max_age_s
