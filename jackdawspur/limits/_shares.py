"""Divide a quota among entry hosts the same way on every host."""

import zlib
from collections.abc import Sequence

__all__ = ["base_shares", "divide"]


def base_shares(quota: int, hosts: int, salt: str) -> list[int]:
    """Split a quota evenly; the remainder goes to places that depend on `salt`.

    Else the small quotas of all customers would lie on the same few hosts.
    """
    each, left = divmod(quota, hosts)
    first = zlib.crc32(salt.encode()) % hosts
    return [each + ((place - first) % hosts < left) for place in range(hosts)]


def divide(quota: int, needs: Sequence[int], floors: Sequence[int]) -> list[int]:
    """Return max-min fair shares whose sum is at most `quota`.

    A host gets what it needs as far as that leaves as much to the others; what nobody
    needs is split evenly, so each can start at once when its need grows. No share is
    below its floor; the floors' sum is at most the quota.
    """
    wants = [max(pair) for pair in zip(needs, floors, strict=True)]
    shares = list(floors)
    left = quota - sum(floors)
    order = sorted(range(len(wants)), key=lambda place: (wants[place], place))
    for rank, place in enumerate(order):
        if left <= 0:
            return shares
        fair = -(-left // (len(order) - rank))
        more = min(fair, wants[place] - shares[place])
        shares[place] += more
        left -= more
    each, odd = divmod(left, len(shares))
    return [share + each + (place < odd) for place, share in enumerate(shares)]
