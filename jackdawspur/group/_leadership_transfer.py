"""When the lead goes to a host that carries more."""

from collections.abc import Sequence

from jackdawspur.group._candidates import is_fit, rank
from jackdawspur.group._messages import HostAddress, HostHeartbeat
from jackdawspur.leases import Fence

__all__ = ["LeadershipTransfer"]

# Each change of the leading host stops starts for a moment, so one that nothing forces
# waits for this long, and twice as long each time that it goes to the same host: one
# that loses the lead again and again must not have it passed to and fro.
MIN_LEADERSHIP_S = 5.0
MOST_DOUBLINGS = 4
MS_PER_S = 1000.0
# Below this ratio of processors the change costs more than it brings.
STRONGER = 1.5
# Its list must be as good as that of a leading host.
FRESH_LIST_S = 2.0


class LeadershipTransfer:
    """Choose the host to which the lead is to go, if any."""

    def __init__(self, own: HostAddress) -> None:
        self._own = own
        self._led_since = 0.0
        self._handed: dict[str, int] = {}
        self.given_to = ""

    def lead_began(self, now: float) -> None:
        """Note that the own host leads from now on."""
        self._led_since = now
        self.given_to = ""

    def is_due(
        self, beats: Sequence[HostHeartbeat], fence: Fence, unix_ms: float, now: float
    ) -> bool:
        """Tell whether to give up the lead: who is chosen next carries more."""
        fit = [beat for beat in beats if is_fit(beat)]
        first = min(fit, key=lambda beat: rank(beat.host, unix_ms), default=None)
        if first is None or not self._deserves_it(first, fence, unix_ms):
            return False
        name = first.host.name
        handed = self._handed.get(name, 0)
        if now - self._led_since < MIN_LEADERSHIP_S * 2 ** min(handed, MOST_DOUBLINGS):
            return False
        self._handed[name] = handed + 1
        self.given_to = name
        return True

    def _deserves_it(self, beat: HostHeartbeat, fence: Fence, unix_ms: float) -> bool:
        stronger = beat.host.processor >= STRONGER * self._own.processor
        settled = unix_ms - beat.host.started_ms >= MIN_LEADERSHIP_S * MS_PER_S
        follows = beat.follows == fence
        return stronger and settled and follows and beat.upstreams_age_s < FRESH_LIST_S
