"""Rate limits for this host's appends to the log."""

import enum
from dataclasses import dataclass

__all__ = [
    "AppendLimit",
    "AppendPurpose",
    "AppendRateLimiter",
    "appends_per_day",
    "append_limit",
]

# The log accepts several hundred appends per second from all of its clients.
LOG_APPENDS_PER_S = 300.0
# Fraction of them for claims. The rest is left to other systems and to retries after
# lost replies.
CLAIMS_FRACTION = 0.5
SECONDS_PER_DAY = 86_400


class AppendPurpose(enum.StrEnum):
    """Purpose of an append."""

    PROPOSAL = "proposal"
    CONFIRM = "confirm"
    SNAPSHOT = "snapshot"
    CLAIM = "claim"


@dataclass(frozen=True, slots=True)
class AppendLimit:
    """Limit of appends: `rate` per second in the long run, `burst` at once."""

    rate: float
    burst: float


CONFIGURATION_LIMITS = {
    AppendPurpose.PROPOSAL: AppendLimit(rate=2.0, burst=60),
    AppendPurpose.CONFIRM: AppendLimit(rate=2.0, burst=60),
    AppendPurpose.SNAPSHOT: AppendLimit(rate=1 / 60, burst=2),
}


def append_limit(purpose: AppendPurpose, hosts: int) -> AppendLimit:
    """Return a host's limit; for claims, all hosts share half of the log's rate."""
    if purpose is AppendPurpose.CLAIM:
        rate = LOG_APPENDS_PER_S * CLAIMS_FRACTION / max(hosts, 1)
        return AppendLimit(rate=rate, burst=max(1.0, 2 * rate))
    return CONFIGURATION_LIMITS[purpose]


class AppendRateLimiter:
    """Token bucket for each purpose; a refused append must not be made."""

    def __init__(self, hosts: int, now: float) -> None:
        self.made = dict.fromkeys(AppendPurpose, 0)
        self.refused = dict.fromkeys(AppendPurpose, 0)
        self._limits = {
            purpose: append_limit(purpose, hosts) for purpose in AppendPurpose
        }
        self._tokens = {p: limit.burst for p, limit in self._limits.items()}
        self._refilled_at = dict.fromkeys(AppendPurpose, now)

    def set_host_count(self, hosts: int) -> None:
        """Set the number of entry hosts that share the rate of the log."""
        self._limits = {
            purpose: append_limit(purpose, hosts) for purpose in AppendPurpose
        }

    def try_acquire(self, purpose: AppendPurpose, now: float) -> bool:
        """Return whether one append may be made, and count it as made or refused."""
        limit = self._limits[purpose]
        elapsed = max(0.0, now - self._refilled_at[purpose])
        tokens = min(limit.burst, self._tokens[purpose] + elapsed * limit.rate)
        self._refilled_at[purpose] = now
        granted = tokens >= 1
        self._tokens[purpose] = tokens - granted
        (self.made if granted else self.refused)[purpose] += 1
        return granted


def appends_per_day(
    changes: int,
    snapshot_after_changes: int,
    snapshot_interval_s: float,
    writers: int = 1,
) -> int:
    """Return the configuration's appends per day, without retries.

    Each change is a proposal and a confirm. In a network partitioned into `writers`
    parts, each part writes its own snapshots. The numbers of zones and hosts don't
    matter.
    """
    by_count = changes // snapshot_after_changes
    by_time = int(SECONDS_PER_DAY // snapshot_interval_s)
    return 2 * changes + writers * (by_count + by_time)
