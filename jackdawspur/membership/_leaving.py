"""Leaving upstreams, as reported by themselves, by hosts or by the platform's list."""

from collections.abc import Iterable

from jackdawspur.external import HostRole, ListedHost
from jackdawspur.membership._limits import (
    DIRECT_LEAVE_TTL,
    MAX_USAGE_LAG,
    REPORTED_LEAVE_TTL,
)
from jackdawspur.model import UpstreamId

__all__ = ["LeavingUpstreams"]


class LeavingUpstreams:
    """Leaving upstreams; one report suffices, even if the host list shows none."""

    def __init__(self) -> None:
        self._direct: dict[UpstreamId, float] = {}
        self._reported: dict[UpstreamId, float] = {}
        self._listed: frozenset[UpstreamId] = frozenset()

    def mark(self, upstream: UpstreamId, now: float) -> None:
        """Record that the upstream itself reported that it is leaving."""
        self._direct[upstream] = now

    def clear(self, upstream: UpstreamId, now: float) -> None:
        """Record a report of the upstream that it stays, unless it may be stale."""
        if now - self._direct.get(upstream, now) > MAX_USAGE_LAG:
            del self._direct[upstream]

    def update_reported(self, upstreams: Iterable[UpstreamId], now: float) -> None:
        """Record the leaving upstreams reported by another host of the zone."""
        self._reported.update(dict.fromkeys(upstreams, now))

    def update_host_list(self, hosts: Iterable[ListedHost]) -> None:
        """Replace the leaving upstreams of the host list; other reports stay."""
        self._listed = frozenset(
            UpstreamId(host.zone, host.name)
            for host in hosts
            if host.role is HostRole.UPSTREAM and host.leaving
        )

    def tick(self, now: float) -> None:
        """Drop expired reports."""
        self._direct = _newer_than(self._direct, now - DIRECT_LEAVE_TTL)
        self._reported = _newer_than(self._reported, now - REPORTED_LEAVE_TTL)

    def contains(self, upstream: UpstreamId) -> bool:
        """Return whether the upstream is known to be leaving."""
        sources = (self._direct, self._reported, self._listed)
        return any(upstream in source for source in sources)

    def to_report(self) -> tuple[UpstreamId, ...]:
        """Return the upstreams to report to the hosts of the zone.

        Reports of other hosts are left out, or they would circulate forever.
        """
        return tuple(sorted(self._direct.keys() | self._listed))


def _newer_than(
    reports: dict[UpstreamId, float], since: float
) -> dict[UpstreamId, float]:
    return {upstream: at for upstream, at in reports.items() if at >= since}
