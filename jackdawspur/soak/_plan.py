"""Generation of the deployment and the fault schedule of a seed."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

__all__ = [
    "Fault",
    "FaultKind",
    "Layout",
    "LIST_FAULTS",
    "REGRESSION_SEEDS",
    "layout_of",
    "plan_faults",
]

# Seeds that once exposed a bug of the product.
REGRESSION_SEEDS = (203, 224, 1016)

# Pauses between two faults, in seconds; at the minimum, several faults overlap.
MIN_GAP_S = 0.1
MAX_GAP_S = 1.2
# From less than a missed heartbeat to more than a lease.
MIN_DURATION_S = 0.2
MAX_DURATION_S = 2.0
# Running hosts remove an upstream from their lists only 2.5 s after its entry expired.
MAX_LIST_FAULT_S = 5.0
# Hosts forward no list of upstreams that is older than 2 s.
MIN_STORE_DOWN_S = 2.5
MAX_STORE_DOWN_S = 4.0
# Delay before a host that is down restarts, while another fault is active.
MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 0.6
# The fraction of random faults that restart a host with no list or a short one.
RESTART_FRACTION = 0.4
# Long enough for running hosts to see the number of upstreams fall below the limit, and
# rise above it again before the last fault.
MIN_HALVED_S = 3.5
MAX_HALVED_S = 4.5


@dataclass(frozen=True, slots=True)
class Layout:
    """Zones and limits of a deployment's hosts and workers.

    Hosts are assigned to `zones` and `processors` in rotation; the latter are the
    processor capacities that hosts report, in cores. The service has a route for each
    of `priorities`. With more than one, the load exceeds the capacity, and most callers
    are in the first zone.
    """

    name: str
    zones: tuple[str, ...]
    most_upstreams: int
    crosses_limit: bool = False
    processors: tuple[float, ...] = (1.0,)
    priorities: tuple[int, ...] = (0,)

    @property
    def is_overloaded(self) -> bool:
        """Return whether the load exceeds the capacity of the workers."""
        return len(self.priorities) > 1


# For six workers: one group; two groups throughout; two groups that merge when three
# workers are off the list, and split again when these are back.
LAYOUTS = (
    Layout("one group", ("z1",), 64, processors=(1.0, 1.0, 1.0, 2.0)),
    Layout("two groups", ("z1", "z2"), 2),
    Layout("about the limit", ("z1", "z2"), 4, crosses_limit=True),
)


# Priorities of the routes of an overloaded deployment.
PRIORITIES = (0, 1, 2)


class FaultKind(Enum):
    """Kinds of faults of a host, a worker, the store or the links."""

    KILL_HOST = "kill host"
    FREEZE_HOST = "freeze host"
    STOP_HOST = "stop host gracefully"
    RELOAD_HOST = "reload host"
    STORE_SILENT_FOR_HOST = "store silent for a host"
    STORE_RESETS_HOST = "store resets a host"
    STORE_DOWN = "store down"
    STORE_FORGETS = "store forgets its history"
    LIST_SHORT = "workers off the list"
    LIST_HALVED = "half of the workers off the list"
    WORKER_SILENT = "worker silent"
    WORKER_RESETS = "worker resets"
    HOST_HEARS_NOBODY = "host hears nobody"
    HOST_HEARD_BY_NOBODY = "host heard by nobody"
    HOST_CUT_OFF = "host cut off from the others"
    HALVES_CUT = "two halves cut from each other"


LIST_FAULTS = (FaultKind.LIST_SHORT, FaultKind.LIST_HALVED)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of one target, by index; `at_s` counts from the start of the load."""

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float


def layout_of(seed: int) -> Layout:
    """Return the layout of a seed; seeds rotate through all layouts.

    Every second rotation is overloaded, except for the regression seeds, which keep the
    load under which they exposed a bug.
    """
    rotation, index = divmod(seed, len(LAYOUTS))
    layout = LAYOUTS[index]
    if rotation % 2 == 0 or seed in REGRESSION_SEEDS:
        return layout
    name = f"{layout.name}, overloaded"
    return replace(layout, name=name, priorities=PRIORITIES)


def plan_faults(seed: int, seconds: float, targets: int) -> tuple[Fault, ...]:
    """Return the faults of a seed, sorted by time."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    if layout_of(seed).crosses_limit:
        at_s = rng.uniform(MIN_GAP_S, MAX_GAP_S)
        duration_s = rng.uniform(MIN_HALVED_S, MAX_HALVED_S)
        target = rng.randrange(targets)
        faults.append(Fault(at_s, FaultKind.LIST_HALVED, target, duration_s))
    at_s = rng.uniform(MIN_GAP_S, MAX_GAP_S)
    while at_s < seconds:
        target = rng.randrange(targets)
        if rng.random() < RESTART_FRACTION:
            faults += rng.choice(RESTART_SCENARIOS)(rng, at_s, target)
        else:
            kind = rng.choice(list(FaultKind))
            max_s = MAX_LIST_FAULT_S if kind in LIST_FAULTS else MAX_DURATION_S
            faults.append(Fault(at_s, kind, target, rng.uniform(MIN_DURATION_S, max_s)))
        at_s += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    started = [fault for fault in faults if fault.at_s < seconds]
    return tuple(sorted(started, key=lambda fault: fault.at_s))


def _restart(rng: random.Random, at_s: float, target: int) -> Fault:
    kind = rng.choice((FaultKind.KILL_HOST, FaultKind.KILL_HOST, FaultKind.STOP_HOST))
    return Fault(
        at_s, kind, target, rng.uniform(MIN_RESTART_DELAY_S, MAX_RESTART_DELAY_S)
    )


def _restart_without_store(rng: random.Random, at_s: float, target: int) -> list[Fault]:
    """Restart a host that can't reach the store while other hosts have a list."""
    kinds = (FaultKind.STORE_SILENT_FOR_HOST, FaultKind.STORE_RESETS_HOST)
    duration_s = rng.uniform(MIN_STORE_DOWN_S, MAX_STORE_DOWN_S)
    unreachable = Fault(at_s, rng.choice(kinds), target, duration_s)
    return [unreachable, _restart(rng, at_s, target)]


def _restart_without_list(rng: random.Random, at_s: float, target: int) -> list[Fault]:
    """Restart a host while no host has a list to forward and entries expire."""
    down_s = rng.uniform(MIN_STORE_DOWN_S, MAX_STORE_DOWN_S)
    short_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
    return [
        Fault(at_s, FaultKind.STORE_DOWN, target, down_s),
        _restart(rng, at_s + rng.uniform(0.0, down_s), target),
        Fault(at_s + down_s, FaultKind.LIST_SHORT, target, short_s),
    ]


def _restart_with_short_list(
    rng: random.Random, at_s: float, target: int
) -> list[Fault]:
    """Restart a host while some workers are off the list."""
    duration_s = rng.uniform(MIN_DURATION_S, MAX_LIST_FAULT_S)
    short_list = Fault(at_s, FaultKind.LIST_SHORT, target, duration_s)
    return [short_list, _restart(rng, at_s, target)]


RESTART_SCENARIOS: tuple[Callable[[random.Random, float, int], list[Fault]], ...] = (
    _restart_without_store,
    _restart_without_list,
    _restart_with_short_list,
)
