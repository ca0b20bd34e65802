"""Which deployment a seed has, and which faults strike it when."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "Fault",
    "FaultKind",
    "Layout",
    "OF_LIST",
    "REGRESSION_SEEDS",
    "layout_of",
    "plan_faults",
]

# Seeds that have shown a fault of the product.
REGRESSION_SEEDS = (203, 224, 1016)

# Pauses between two faults, in seconds: at the least, several are in force at a time.
LEAST_GAP_S = 0.1
MOST_GAP_S = 1.2
# Shorter than a missed heartbeat at the least, longer than a lease at the most.
LEAST_FOR_S = 0.2
MOST_FOR_S = 2.0
# Hosts that run take an upstream off their lists only 2.5 s after its entry lapsed.
MOST_SHORT_S = 5.0
# Hosts pass no list of upstreams on that is older than 2 s.
LEAST_DOWN_S = 2.5
MOST_DOWN_S = 4.0
# A host is down for this long before it starts again under another fault.
LEAST_RESTART_S = 0.1
MOST_RESTART_S = 0.6
# Of what is drawn, how much is a host that starts again with no list or a short one.
STARTS_SHARE = 0.4
# Long enough that hosts that run learn of a number below the limit, and see it above
# the limit again before the last fault.
LEAST_HALVED_S = 3.5
MOST_HALVED_S = 4.5


@dataclass(frozen=True, slots=True)
class Layout:
    """Say how the hosts and workers of a deployment are dealt out.

    `processors` are what the hosts state in turn, in cores.
    """

    name: str
    zones: tuple[str, ...]
    most_upstreams: int
    crosses_limit: bool = False
    processors: tuple[float, ...] = (1.0,)


# For six workers: with one group, with two that stay so, and with two that become one
# when three workers are off the list, and two again when they are back.
LAYOUTS = (
    Layout("one group", ("z1",), 64, processors=(1.0, 1.0, 1.0, 2.0)),
    Layout("two groups", ("z1", "z2"), 2),
    Layout("about the limit", ("z1", "z2"), 4, crosses_limit=True),
)


class FaultKind(Enum):
    """Name what is done, to a host, to a worker or to all."""

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


OF_LIST = (FaultKind.LIST_SHORT, FaultKind.LIST_HALVED)


@dataclass(frozen=True, slots=True)
class Fault:
    """Strike one target, by number, for some time; seconds from the first job."""

    at_s: float
    kind: FaultKind
    target: int
    for_s: float


def layout_of(seed: int) -> Layout:
    """Return the deployment of a seed: each in turn."""
    return LAYOUTS[seed % len(LAYOUTS)]


def plan_faults(seed: int, seconds: float, targets: int) -> tuple[Fault, ...]:
    """Return the faults of a seed, in order of time."""
    draw = random.Random(seed)
    faults: list[Fault] = []
    if layout_of(seed).crosses_limit:
        at_s = draw.uniform(LEAST_GAP_S, MOST_GAP_S)
        for_s = draw.uniform(LEAST_HALVED_S, MOST_HALVED_S)
        target = draw.randrange(targets)
        faults.append(Fault(at_s, FaultKind.LIST_HALVED, target, for_s))
    at_s = draw.uniform(LEAST_GAP_S, MOST_GAP_S)
    while at_s < seconds:
        target = draw.randrange(targets)
        if draw.random() < STARTS_SHARE:
            faults += draw.choice(STARTS)(draw, at_s, target)
        else:
            kind = draw.choice(list(FaultKind))
            most_s = MOST_SHORT_S if kind in OF_LIST else MOST_FOR_S
            faults.append(Fault(at_s, kind, target, draw.uniform(LEAST_FOR_S, most_s)))
        at_s += draw.uniform(LEAST_GAP_S, MOST_GAP_S)
    kept = [fault for fault in faults if fault.at_s < seconds]
    return tuple(sorted(kept, key=lambda fault: fault.at_s))


def _start_again(draw: random.Random, at_s: float, target: int) -> Fault:
    kind = draw.choice((FaultKind.KILL_HOST, FaultKind.KILL_HOST, FaultKind.STOP_HOST))
    return Fault(at_s, kind, target, draw.uniform(LEAST_RESTART_S, MOST_RESTART_S))


def _without_store(draw: random.Random, at_s: float, target: int) -> list[Fault]:
    """Start a host while the store does not answer it, and others have a list."""
    kinds = (FaultKind.STORE_SILENT_FOR_HOST, FaultKind.STORE_RESETS_HOST)
    for_s = draw.uniform(LEAST_DOWN_S, MOST_DOWN_S)
    away = Fault(at_s, draw.choice(kinds), target, for_s)
    return [away, _start_again(draw, at_s, target)]


def _without_list(draw: random.Random, at_s: float, target: int) -> list[Fault]:
    """Start a host while nobody has a list to pass on; entries lapse meanwhile."""
    down_s = draw.uniform(LEAST_DOWN_S, MOST_DOWN_S)
    short_s = draw.uniform(LEAST_FOR_S, MOST_FOR_S)
    return [
        Fault(at_s, FaultKind.STORE_DOWN, target, down_s),
        _start_again(draw, at_s + draw.uniform(0.0, down_s), target),
        Fault(at_s + down_s, FaultKind.LIST_SHORT, target, short_s),
    ]


def _with_short_list(draw: random.Random, at_s: float, target: int) -> list[Fault]:
    """Start a host while some workers are off the list."""
    for_s = draw.uniform(LEAST_FOR_S, MOST_SHORT_S)
    short = Fault(at_s, FaultKind.LIST_SHORT, target, for_s)
    return [short, _start_again(draw, at_s, target)]


STARTS: tuple[Callable[[random.Random, float, int], list[Fault]], ...] = (
    _without_store,
    _without_list,
    _with_short_list,
)
