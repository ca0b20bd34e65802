"""Statistics of reply times of upstreams, and of lost replies."""

__all__ = ["Replies"]

# As TCP estimates round-trip times (RFC 6298): the weights of one reply in the smoothed
# time and in its deviation, and how many deviations a usual time may exceed the
# smoothed one by.
TIME_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0
# A reply takes a round trip of a millisecond or two and a pass of the loop at each end,
# which may be paused for about this long.
MIN_OVERDUE_S = 0.02
# Where replies are often lost, an unnecessary poll costs less than waiting.
MIN_LOSSY_OVERDUE_S = 0.01
MAX_TIMEOUT_S = 0.25
# A call times out after this many times the time after which its reply is overdue.
# Until then it uses a connection, which new calls may need.
TIMEOUT_FACTOR = 4.0
# The lost fraction is averaged over about a hundred replies, which arrive within a
# second. From LOSSY_FRACTION on, the network loses replies; single upstreams that fail
# cause a smaller fraction.
LOSS_WEIGHT = 1 / 64
LOSSY_FRACTION = 0.02
# After a longer gap between two passes this process was paused, and replies that
# arrived in the meantime are still unread: leaders tick every 0.025 s.
MAX_PAUSE_S = 0.06


class Replies:
    """Learn usual reply times, including this host's own delays, and lost replies."""

    def __init__(self) -> None:
        self._smoothed_s = MIN_OVERDUE_S / 2
        self._deviation_s = MIN_OVERDUE_S / 4
        self._lost_fraction = 0.0
        self._last_pass_at = 0.0

    @property
    def overdue_s(self) -> float:
        """Return after how many seconds a reply is probably lost."""
        usual_s = self._smoothed_s + DEVIATIONS * self._deviation_s
        min_s = MIN_LOSSY_OVERDUE_S if self.lossy else MIN_OVERDUE_S
        return min(MAX_TIMEOUT_S, max(min_s, usual_s))

    @property
    def timeout_s(self) -> float:
        """Return after how many seconds a call without a reply ends."""
        return min(MAX_TIMEOUT_S, TIMEOUT_FACTOR * max(MIN_OVERDUE_S, self.overdue_s))

    @property
    def lossy(self) -> bool:
        """Return whether replies are often lost."""
        return self._lost_fraction >= LOSSY_FRACTION

    def check_all_read(self, now: float) -> bool:
        """Return whether all replies so far have been read; call this once per pass."""
        paused = now - self._last_pass_at > MAX_PAUSE_S
        self._last_pass_at = now
        return not paused

    def record_reply(self) -> None:
        """Count a reply."""
        self._lost_fraction -= LOSS_WEIGHT * self._lost_fraction

    def record_loss(self) -> None:
        """Count a call that ended without a reply."""
        self._lost_fraction += LOSS_WEIGHT * (1.0 - self._lost_fraction)

    def record_time(self, seconds: float) -> None:
        """Update the usual reply time with that of one reply."""
        error_s = seconds - self._smoothed_s
        self._smoothed_s += TIME_WEIGHT * error_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)
