"""The division of slots that every host computes alike from the same view."""

from collections.abc import Iterable, Mapping

from jackdawspur.model import HostId, Upstream, UpstreamId, rendezvous_hash

__all__ = ["divide"]


def divide(
    upstreams: Iterable[Upstream], hosts: Iterable[HostId]
) -> Mapping[HostId, Mapping[UpstreamId, int]]:
    """Return the slots each host holds of each upstream.

    Every slot has one holder; shares of an upstream, and totals, differ by one at
    most. Incarnations do not matter, so a restarted host gets the same slots.
    """
    members = sorted(set(hosts))
    shares: dict[HostId, dict[UpstreamId, int]] = {host: {} for host in members}
    if not members:
        return shares
    totals = dict.fromkeys(members, 0)
    for upstream in sorted(upstreams, key=lambda one: one.id):
        each, rest = divmod(upstream.slots, len(members))
        favoured = _favoured(upstream.id, totals, rest)
        for host in members:
            count = each + (host in favoured)
            shares[host][upstream.id] = count
            totals[host] += count
    return shares


def _favoured(
    upstream: UpstreamId, totals: Mapping[HostId, int], rest: int
) -> set[HostId]:
    # The least total goes first: by hash alone one host could stay short by chance.
    order = sorted(
        totals,
        key=lambda host: (totals[host], rendezvous_hash(str(upstream), host.name)),
    )
    return set(order[:rest])
