"""Run leading hosts of zones in virtual time among jobs as callers send them.

``python -m`` this module prints one line a scenario, over all seeds: how many jobs of
the long kind could be served, and what became of these. It exits 1 when a task ran
twice at one time or an upstream was overloaded.
"""

import sys
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass

import msgspec

from jackdawspur.bench._front_simulation import JobKind
from jackdawspur.bench._job_records import JobRecord, largest_tenth, servable
from jackdawspur.bench._zones import ZonesResult, ZonesSimulation

__all__ = [
    "LONG_KIND",
    "SCENARIOS",
    "ZonesScenario",
    "largest_jobs",
    "main",
    "run_zones_scenario",
]

SEEDS = range(11, 31)
SECONDS = 20.0
# Jobs that come earlier meet a host that has learned nothing yet.
WARM_UP_S = 4.0
LONG_KIND = "reassign"
PASS_S = 0.005
UPSTREAMS = 24
# About half of the places are taken by these, where an upstream has two or three.
HALF_LOAD = (
    JobKind("confirm", 2.0, 8, 0.06),
    JobKind("reassign", 5.0, 4, 0.9),
    JobKind("check", 20.0, 2, 0.2),
)
# About three quarters.
USUAL_LOAD = (
    JobKind("confirm", 4.0, 8, 0.06),
    JobKind("reassign", 9.0, 4, 0.9),
    JobKind("check", 17.0, 2, 0.2),
)
BURST = 1.3
BURST_S = (5.0, 9.0)
LOST_SHARE = 0.13
# A zone with this load has little room left, one with that load much.
BUSY_ZONE_LOAD = 1.05
QUIET_ZONE_LOAD = 0.4


@dataclass(frozen=True, slots=True)
class ZonesScenario:
    """Name what happens in how many zones of what load.

    With `states_waits` callers say how long they wait, which is longer for long jobs.
    """

    name: str
    zones: int = 1
    kinds: Sequence[JobKind] = HALF_LOAD
    pass_s: float = PASS_S
    inject: Callable[[ZonesSimulation], None] = lambda _simulation: None
    states_waits: bool = False


def _label_upstreams(simulation: ZonesSimulation) -> None:
    for zone in simulation.zones:
        zone.label_upstreams()


def _burst(simulation: ZonesSimulation) -> None:
    """Let more jobs come to the first zone while it loses upstreams."""
    zone = simulation.zones[0]
    lost = list(zone.upstreams.values())[1 :: round(1 / LOST_SHARE)]
    loads = (BURST * zone.load, zone.load)
    for when, load, silent in zip(BURST_S, loads, (True, False), strict=True):

        def change(load: float = load, silent: bool = silent) -> None:
            zone.load = load
            for upstream in lost:
                upstream.silent = silent

        simulation.scheduler.at(when, change)


def _burst_beside_room(simulation: ZonesSimulation) -> None:
    for zone in simulation.zones:
        zone.load = QUIET_ZONE_LOAD
    simulation.zones[0].load = BUSY_ZONE_LOAD
    _burst(simulation)


def _full(simulation: ZonesSimulation) -> None:
    """Let the first zone have too many jobs for it, and others few."""
    for zone in simulation.zones:
        zone.load = QUIET_ZONE_LOAD
    simulation.zones[0].load = 1.4


def _new_leader(simulation: ZonesSimulation) -> None:
    zone = simulation.zones[0]
    for when in (5.0, 8.0):
        simulation.scheduler.at(when, lambda: simulation.change_leader(zone))


SCENARIOS = (
    ZonesScenario("room for all"),
    ZonesScenario("room for all, kinds named", inject=_label_upstreams),
    ZonesScenario("room for all, a pass each", pass_s=0.0),
    ZonesScenario("usual load", kinds=USUAL_LOAD),
    ZonesScenario("burst and lost upstreams", kinds=USUAL_LOAD, inject=_burst),
    ZonesScenario("new leader", inject=_new_leader),
    ZonesScenario(
        "three zones, one in a burst", 3, USUAL_LOAD, inject=_burst_beside_room
    ),
    ZonesScenario("three zones, one full", 3, USUAL_LOAD, inject=_full),
    ZonesScenario("two zones, one full", 2, USUAL_LOAD, inject=_full),
    ZonesScenario("room for all, waits stated", states_waits=True),
    ZonesScenario(
        "two zones, one full, waits stated",
        2,
        USUAL_LOAD,
        inject=_full,
        states_waits=True,
    ),
)


def run_zones_scenario(
    scenario: ZonesScenario, seed: int, seconds: float = SECONDS
) -> ZonesResult:
    """Play a scenario with one seed."""
    simulation = ZonesSimulation(
        scenario.kinds,
        scenario.zones,
        UPSTREAMS,
        scenario.pass_s,
        seed,
        scenario.states_waits,
    )
    scenario.inject(simulation)
    return simulation.run(seconds)


def largest_jobs(results: Sequence[ZonesResult]) -> list[JobRecord]:
    """Return the largest tenth of the long jobs of each seed together."""
    return [one for each in results for one in largest_tenth(_long(each), LONG_KIND)]


def _long(result: ZonesResult) -> list[JobRecord]:
    return [
        one
        for one in result.records
        if one.kind == LONG_KIND and one.arrived >= WARM_UP_S
    ]


def _line(scenario: ZonesScenario, results: Sequence[ZonesResult]) -> bytes:
    fields = {
        "scenario": scenario.name,
        "seeds": len(results),
        "offered": sum(one.offered for one in results),
        "passed_on": sum(one.redirected for one in results),
        "long": servable([one for each in results for one in _long(each)]),
        "largest": servable(largest_jobs(results)),
        "two_at_once": sum(one.counters.two_at_once for one in results),
        "over_capacity": sum(one.counters.over_capacity for one in results),
    }
    fields["long"] = {n: v for n, v in asdict(fields["long"]).items() if n != "lost"}
    return msgspec.json.encode(fields) + b"\n"


def main() -> int:
    """Play all scenarios, or those named; return 1 when an invariant is broken."""
    named = sys.argv[1:]
    broken = 0
    for scenario in SCENARIOS:
        if named and scenario.name not in named:
            continue
        results = [run_zones_scenario(scenario, seed) for seed in SEEDS]
        sys.stdout.buffer.write(_line(scenario, results))
        sys.stdout.buffer.flush()
        broken += sum(one.counters.two_at_once for one in results)
        broken += sum(one.counters.over_capacity for one in results)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
