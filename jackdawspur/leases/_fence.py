"""Fencing tokens that increase from each leader to the next."""

import zlib

__all__ = ["FENCE_STEP", "Fence", "next_fence"]

# A token consists of milliseconds since 2020 (40 bits), a hash of the host (10 bits),
# and the host's own increments, by `raise_fence` (12 bits). Upstreams store its 62 bits
# exactly.
EPOCH_MS = 1_577_836_800_000
HOST_BITS = 10
STEP_BITS = 12
FENCE_STEP = 1 << (HOST_BITS + STEP_BITS)

Fence = int


def next_fence(unix_ms: float, host: str, above: Fence) -> Fence:
    """Return a fencing token of this host that is higher than `above`.

    Clocks of hosts differ, so the time alone could be behind a token in use.
    """
    host_bits = (zlib.crc32(host.encode()) % (1 << HOST_BITS)) << STEP_BITS
    time_ms = max(0, int(unix_ms) - EPOCH_MS)
    time_ms = max(time_ms, above // FENCE_STEP + 1)
    return time_ms * FENCE_STEP + host_bits
