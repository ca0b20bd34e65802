"""Settings, faults and counters of the stand-in upstream."""

from dataclasses import dataclass, field

import msgspec

__all__ = ["WorkerCounters", "WorkerFaults", "WorkerPoolSettings", "WorkerSettings"]


@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """Resources of one worker, and limits of what it stores."""

    slots: int = 8
    cpus: int = 32
    memory_mb: int = 131072
    accelerators: int = 8
    default_run_ms: float = 100.0
    usage_lag_ms: float = 1000.0
    results_per_reply: int = 512
    max_results: int = 10000
    max_holders: int = 256
    max_outcomes: int = 10000
    max_seals: int = 100000
    max_start_counts: int = 1000000
    max_usage_samples: int = 4096


@dataclass(frozen=True, slots=True)
class WorkerPoolSettings:
    """Workers served by one process, one on each address ``IP:port``."""

    addresses: tuple[str, ...]
    worker: WorkerSettings = field(default_factory=WorkerSettings)
    seed: int = 1


class WorkerFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of a worker; a post replaces all faults set before.

    `lose_starts`, `lose_results`, `lose_status` and `lose_stops` are numbers of replies
    to drop after the request took effect; `hold_replies` delays all replies until it is
    unset; `frozen_ms` suspends the whole worker for this time; `die` drops all tasks.
    """

    slow_factor: float = 1.0
    straggler_fraction: float = 0.0
    straggler_factor: float = 10.0
    fail_all: bool = False
    lose_starts: int = 0
    lose_results: int = 0
    lose_status: int = 0
    lose_stops: int = 0
    hold_replies: bool = False
    die: bool = False
    leaving: bool = False
    frozen_ms: float = 0.0


class WorkerCounters(msgspec.Struct, frozen=True):
    """Counters of a worker over all its incarnations.

    `processor_s` is the processor time of the whole process in seconds.
    """

    starts: int = 0
    started_twice: int = 0
    refusals: dict[str, int] = {}
    busy: int = 0
    requests: dict[str, int] = {}
    processor_s: float = 0.0
