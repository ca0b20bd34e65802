"""Schedule of the heartbeats of a host."""

from dataclasses import dataclass

from jackdawspur.membership._intervals import HeartbeatIntervals
from jackdawspur.membership._limits import FULL_HEARTBEAT_EVERY
from jackdawspur.messages import Heartbeat
from jackdawspur.model import UpstreamId

__all__ = ["Due", "Schedule"]

# Minimum interval of heartbeats that report a change of state at once, in seconds.
MIN_URGENT_INTERVAL = 0.05
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Due:
    """Rounds of heartbeats that are due; full ones list hosts and usage."""

    pulse: bool
    state_change: bool
    links: bool
    full_links: bool
    relay: bool
    full_relay: bool


@dataclass(frozen=True, slots=True)
class _UrgentState:
    ready: bool
    draining: bool
    version: int
    bad: tuple[UpstreamId, ...]
    leaving: tuple[UpstreamId, ...]


class Schedule:
    """Times of the last rounds of heartbeats."""

    def __init__(self) -> None:
        self._zone_peers_at = NEVER
        self._links_at = NEVER
        self._relay_at = NEVER
        self._links = 0
        self._relays = 0
        self._sent_state: _UrgentState | None = None

    def due(
        self, local_state: Heartbeat, intervals: HeartbeatIntervals, now: float
    ) -> Due:
        """Return the rounds to send now, and record them as sent."""
        state = _UrgentState(
            local_state.ready,
            local_state.draining,
            local_state.version,
            local_state.bad_upstreams,
            local_state.leaving_upstreams,
        )
        urgent = (
            state != self._sent_state
            and now - self._zone_peers_at >= MIN_URGENT_INTERVAL
        )
        relay = now - self._relay_at >= intervals.relay
        pulse = now - self._zone_peers_at >= intervals.zone_peer
        links = now - self._links_at >= intervals.link
        if urgent or relay or pulse:
            self._zone_peers_at = now
        if urgent or relay:
            self._sent_state = state
        if links:
            self._links_at = now
            self._links += 1
        if relay:
            self._relay_at = now
            self._relays += 1
        return Due(
            pulse=pulse and not (urgent or relay),
            state_change=urgent and not relay,
            links=links,
            full_links=links and self._links % FULL_HEARTBEAT_EVERY == 1,
            relay=relay,
            full_relay=relay and self._relays % FULL_HEARTBEAT_EVERY == 1,
        )

    def resend_state(self) -> None:
        """Send the full state once more, for a host that has not received it."""
        self._sent_state = None

    def reset(self) -> None:
        """Make all rounds due now."""
        self._zone_peers_at = self._links_at = self._relay_at = NEVER
        self._links = self._relays = 0
