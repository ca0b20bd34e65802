"""Which faults strike when, drawn from a seed."""

import random
from dataclasses import dataclass
from enum import Enum

__all__ = ["Fault", "FaultKind", "plan_faults"]

# Pauses between two faults, in seconds: at the least, several are in force at a time.
LEAST_GAP_S = 0.1
MOST_GAP_S = 1.2
# Shorter than a missed heartbeat at the least, longer than a lease at the most.
LEAST_FOR_S = 0.2
MOST_FOR_S = 2.0


class FaultKind(Enum):
    """Name what is done, to a host or to a worker."""

    KILL_HOST = "kill host"
    FREEZE_HOST = "freeze host"
    STOP_HOST = "stop host gracefully"
    RELOAD_HOST = "reload host"
    STORE_SILENT_FOR_HOST = "store silent for a host"
    STORE_RESETS_HOST = "store resets a host"
    STORE_DOWN = "store down"
    STORE_FORGETS = "store forgets its history"
    WORKER_SILENT = "worker silent"
    WORKER_RESETS = "worker resets"


@dataclass(frozen=True, slots=True)
class Fault:
    """Strike one target, by number, for some time; seconds from the first job."""

    at_s: float
    kind: FaultKind
    target: int
    for_s: float


def plan_faults(seed: int, seconds: float, targets: int) -> tuple[Fault, ...]:
    """Return the faults of a seed, in order of time."""
    draw = random.Random(seed)
    faults: list[Fault] = []
    at_s = draw.uniform(LEAST_GAP_S, MOST_GAP_S)
    while at_s < seconds:
        kind = draw.choice(list(FaultKind))
        for_s = draw.uniform(LEAST_FOR_S, MOST_FOR_S)
        faults.append(Fault(at_s, kind, draw.randrange(targets), for_s))
        at_s += draw.uniform(LEAST_GAP_S, MOST_GAP_S)
    return tuple(faults)
