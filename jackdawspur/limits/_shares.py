"""Division of a quota among entry hosts, with the same result on every host."""

import zlib
from collections.abc import Sequence

__all__ = ["even_shares", "divide"]


def even_shares(quota: int, hosts: int, salt: str) -> list[int]:
    """Split a quota evenly; `salt` decides which hosts get the remainder.

    Without the salt the small quotas of all customers would go to the same few hosts.
    """
    even_share, remaining = divmod(quota, hosts)
    first_index = zlib.crc32(salt.encode()) % hosts
    return [
        even_share + ((index - first_index) % hosts < remaining)
        for index in range(hosts)
    ]


def divide(quota: int, needs: Sequence[int], floors: Sequence[int]) -> list[int]:
    """Return max-min fair shares whose sum is at most `quota`.

    Each host gets what it needs, up to the fair share. Slots that no host needs are
    split evenly, so that each host can start tasks at once when its need grows. No
    share is below its floor; the sum of the floors must be at most the quota.
    """
    wants = [max(pair) for pair in zip(needs, floors, strict=True)]
    shares = list(floors)
    remaining = quota - sum(floors)
    order = sorted(range(len(wants)), key=lambda index: (wants[index], index))
    for rank, index in enumerate(order):
        if remaining <= 0:
            return shares
        fair = -(-remaining // (len(order) - rank))
        added = min(fair, wants[index] - shares[index])
        shares[index] += added
        remaining -= added
    even_share, remainder = divmod(remaining, len(shares))
    return [
        share + even_share + (index < remainder) for index, share in enumerate(shares)
    ]
