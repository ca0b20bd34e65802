"""The clock of a host."""

import time

__all__ = ["now_s", "unix_ms"]


def now_s() -> float:
    """Return seconds that go on while the machine is suspended.

    A host that wakes must find its leases old; the usual monotonic clock stands still
    meanwhile and would show them as fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return milliseconds since 1970."""
    return int(time.time() * 1000)
