"""Division of slots among hosts; all hosts with the same view get the same result."""

from collections.abc import Iterable, Mapping

from jackdawspur.model import HostId, Upstream, UpstreamId, rendezvous_hash

__all__ = ["divide"]


def divide(
    upstreams: Iterable[Upstream], hosts: Iterable[HostId]
) -> Mapping[HostId, Mapping[UpstreamId, int]]:
    """Return the number of slots that each host holds of each upstream.

    Every slot has one holder. The shares of an upstream differ by at most one, and so
    do the totals. The incarnation is ignored, so a restarted host gets the same slots.
    """
    members = sorted(set(hosts))
    shares: dict[HostId, dict[UpstreamId, int]] = {host: {} for host in members}
    if not members:
        return shares
    totals = dict.fromkeys(members, 0)
    for upstream in sorted(upstreams, key=lambda entry: entry.id):
        base_count, remainder = divmod(upstream.slots, len(members))
        with_extra_slot = _hosts_with_extra_slot(upstream.id, totals, remainder)
        for host in members:
            count = base_count + (host in with_extra_slot)
            shares[host][upstream.id] = count
            totals[host] += count
    return shares


def _hosts_with_extra_slot(
    upstream: UpstreamId, totals: Mapping[HostId, int], remainder: int
) -> set[HostId]:
    # Hosts with the lowest totals come first; by the hash alone, one host could get
    # fewer slots than the others by chance.
    order = sorted(
        totals,
        key=lambda host: (totals[host], rendezvous_hash(str(upstream), host.name)),
    )
    return set(order[:remainder])
