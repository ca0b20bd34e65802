"""Clocks of a host."""

import time

__all__ = ["now_s", "unix_ms"]


def now_s() -> float:
    """Return the time since boot in seconds, including time in suspend.

    After a resume the host must see that its leases are old. `time.monotonic` stops
    during suspend, so the leases would seem fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in milliseconds since 1970."""
    return int(time.time() * 1000)
