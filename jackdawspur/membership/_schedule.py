"""When a host's heartbeats go out."""

from dataclasses import dataclass

from jackdawspur.membership._limits import FULL_EVERY
from jackdawspur.membership._pace import HeartbeatIntervals
from jackdawspur.messages import Heartbeat
from jackdawspur.model import UpstreamId

__all__ = ["Due", "Schedule"]

# News goes out at once, but not more often than this, in seconds.
URGENT_GAP = 0.05
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Due:
    """Tell which rounds of heartbeats are due; full ones list hosts and usage."""

    pulse: bool
    news: bool
    links: bool
    full_links: bool
    relay: bool
    full_relay: bool


@dataclass(frozen=True, slots=True)
class _News:
    ready: bool
    draining: bool
    version: int
    bad: tuple[UpstreamId, ...]
    leaving: tuple[UpstreamId, ...]


class Schedule:
    """Keep the times of the last rounds."""

    def __init__(self) -> None:
        self._siblings_at = NEVER
        self._links_at = NEVER
        self._relay_at = NEVER
        self._links = 0
        self._relays = 0
        self._news: _News | None = None

    def due(self, own: Heartbeat, pace: HeartbeatIntervals, now: float) -> Due:
        """Return the rounds to send now, and count them as sent."""
        news = _News(
            own.ready,
            own.draining,
            own.version,
            own.bad_upstreams,
            own.leaving_upstreams,
        )
        urgent = news != self._news and now - self._siblings_at >= URGENT_GAP
        relay = now - self._relay_at >= pace.relay
        pulse = now - self._siblings_at >= pace.sibling
        links = now - self._links_at >= pace.link
        if urgent or relay or pulse:
            self._siblings_at = now
        if urgent or relay:
            self._news = news
        if links:
            self._links_at = now
            self._links += 1
        if relay:
            self._relay_at = now
            self._relays += 1
        return Due(
            pulse=pulse and not (urgent or relay),
            news=urgent and not relay,
            links=links,
            full_links=links and self._links % FULL_EVERY == 1,
            relay=relay,
            full_relay=relay and self._relays % FULL_EVERY == 1,
        )

    def repeat_news(self) -> None:
        """Tell siblings everything once more, as a newcomer has not heard it."""
        self._news = None

    def reset(self) -> None:
        """Make every round due at once."""
        self._siblings_at = self._links_at = self._relay_at = NEVER
        self._links = self._relays = 0
