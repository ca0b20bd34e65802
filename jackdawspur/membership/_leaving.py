"""Which upstreams leave, by their own word, a sibling's or the platform's list."""

from collections.abc import Iterable

from jackdawspur.external import HostRole, ListedHost
from jackdawspur.membership._limits import DIRECT_HOLD, STALE_USAGE, TOLD_HOLD
from jackdawspur.model import UpstreamId

__all__ = ["Leaving"]


class Leaving:
    """Keep the leaving upstreams; one word of leaving outweighs a silent list."""

    def __init__(self) -> None:
        self._direct: dict[UpstreamId, float] = {}
        self._told: dict[UpstreamId, float] = {}
        self._listed: frozenset[UpstreamId] = frozenset()

    def note(self, upstream: UpstreamId, now: float) -> None:
        """Take the upstream's own word that it leaves."""
        self._direct[upstream] = now

    def deny(self, upstream: UpstreamId, now: float) -> None:
        """Take the upstream's word that it stays, unless that may be stale."""
        if now - self._direct.get(upstream, now) > STALE_USAGE:
            del self._direct[upstream]

    def told(self, upstreams: Iterable[UpstreamId], now: float) -> None:
        """Take a sibling's word."""
        self._told.update(dict.fromkeys(upstreams, now))

    def listed(self, hosts: Iterable[ListedHost]) -> None:
        """Take the platform's list, which adds to what was said directly."""
        self._listed = frozenset(
            UpstreamId(host.zone, host.name)
            for host in hosts
            if host.role is HostRole.UPSTREAM and host.leaving
        )

    def tick(self, now: float) -> None:
        """Forget words that are too old."""
        self._direct = _younger(self._direct, now - DIRECT_HOLD)
        self._told = _younger(self._told, now - TOLD_HOLD)

    def contains(self, upstream: UpstreamId) -> bool:
        """Tell whether the upstream is known to leave."""
        known = (self._direct, self._told, self._listed)
        return any(upstream in words for words in known)

    def to_pass_on(self) -> tuple[UpstreamId, ...]:
        """Return what to tell siblings; passing on what they said would never end."""
        return tuple(sorted(self._direct.keys() | self._listed))


def _younger(words: dict[UpstreamId, float], since: float) -> dict[UpstreamId, float]:
    return {upstream: at for upstream, at in words.items() if at >= since}
