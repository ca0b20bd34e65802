"""Account for every append that this host makes to the log."""

import enum
from dataclasses import dataclass

__all__ = [
    "AppendLimit",
    "AppendPurpose",
    "AppendRateLimiter",
    "appends_a_day",
    "limit_of",
]

# The log takes several hundred appends a second from everyone.
LOG_APPENDS_PER_S = 300.0
# Left to other systems and to repeats after lost replies.
CLAIMS_SHARE = 0.5
SECONDS_A_DAY = 86_400


class AppendPurpose(enum.StrEnum):
    """Say what an append is for."""

    PROPOSAL = "proposal"
    CONFIRM = "confirm"
    SNAPSHOT = "snapshot"
    CLAIM = "claim"


@dataclass(frozen=True, slots=True)
class AppendLimit:
    """Bound appends: `rate` a second in the long run, `burst` at once."""

    rate: float
    burst: float


CONFIGURATION_LIMITS = {
    AppendPurpose.PROPOSAL: AppendLimit(rate=2.0, burst=60),
    AppendPurpose.CONFIRM: AppendLimit(rate=2.0, burst=60),
    AppendPurpose.SNAPSHOT: AppendLimit(rate=1 / 60, burst=2),
}


def limit_of(purpose: AppendPurpose, hosts: int) -> AppendLimit:
    """Return a host's limit; claims share half the log's rate among all hosts."""
    if purpose is AppendPurpose.CLAIM:
        rate = LOG_APPENDS_PER_S * CLAIMS_SHARE / max(hosts, 1)
        return AppendLimit(rate=rate, burst=max(1.0, 2 * rate))
    return CONFIGURATION_LIMITS[purpose]


class AppendRateLimiter:
    """Hold one token bucket a purpose; what it refuses isn't appended."""

    def __init__(self, hosts: int, now: float) -> None:
        self.made = dict.fromkeys(AppendPurpose, 0)
        self.refused = dict.fromkeys(AppendPurpose, 0)
        self._limits = {purpose: limit_of(purpose, hosts) for purpose in AppendPurpose}
        self._tokens = {p: limit.burst for p, limit in self._limits.items()}
        self._filled = dict.fromkeys(AppendPurpose, now)

    def set_host_count(self, hosts: int) -> None:
        """Share the log among another number of entry hosts."""
        self._limits = {purpose: limit_of(purpose, hosts) for purpose in AppendPurpose}

    def try_acquire(self, purpose: AppendPurpose, now: float) -> bool:
        """Tell whether one append may be made, and account for it."""
        limit = self._limits[purpose]
        elapsed = max(0.0, now - self._filled[purpose])
        tokens = min(limit.burst, self._tokens[purpose] + elapsed * limit.rate)
        self._filled[purpose] = now
        granted = tokens >= 1
        self._tokens[purpose] = tokens - granted
        (self.made if granted else self.refused)[purpose] += 1
        return granted


def appends_a_day(
    changes: int,
    snapshot_after_changes: int,
    snapshot_interval_s: float,
    writers: int = 1,
) -> int:
    """Return the configuration's appends a day, without repeats.

    Each change is a proposal and a confirm. `writers` above one counts the doubles
    of a mesh in that many parts; the number of zones and hosts doesn't enter.
    """
    by_count = changes // snapshot_after_changes
    by_time = int(SECONDS_A_DAY // snapshot_interval_s)
    return 2 * changes + writers * (by_count + by_time)
