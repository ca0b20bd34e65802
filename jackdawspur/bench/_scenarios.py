"""Scenarios: the load and the injected faults of a run."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from jackdawspur.bench._deployment import CUSTOMER_NAMES
from jackdawspur.bench._host import SimulatedHost
from jackdawspur.bench._simulation import (
    DRAIN_TIMEOUT_S,
    LIST_LAG_S,
    RESTART_DELAY_S,
    Simulation,
)
from jackdawspur.bench._upstream import UpstreamFaults
from jackdawspur.bench._workload import (
    BURST_LENGTH_S,
    BURST_START_S,
    Job,
    Workload,
)
from jackdawspur.model import UpstreamId

__all__ = ["PAIRS", "SCENARIOS", "STEADY_LOADS", "Scenario", "at_load", "pair"]

STEADY_LOADS = (0.3, 0.7, 0.9, 1.1)
FAULT_AT_S = 4.0
PAUSE_S = 20.0
FAULT_LENGTH_S = 15.0
LOG_OUTAGE_S = 600.0
LOST_REPLY_SHARE = 0.02
# Longer than a host needs to drain and restart, so that the previous host is back
# before the next one drains.
DRAIN_INTERVAL_S = DRAIN_TIMEOUT_S + 2 * RESTART_DELAY_S + 1.0

FaultInjection = Callable[[Simulation, list[Job]], None]


def _nothing(simulation: Simulation, jobs: list[Job]) -> None:
    """Inject no fault."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """The load and the faults of a run.

    `jobs_lost_per_fault` is the number of lost jobs divided by `faults`.

    `seconds` is the minimum length of a run; `product_only` skips the baselines.
    """

    name: str
    injections: tuple[FaultInjection, ...] = ()
    workload: Workload = Workload()
    faults: int = 0
    list_lag_s: float = LIST_LAG_S
    seconds: float = 0.0
    resubmits: bool = False
    product_only: bool = False


def pair(first: Scenario, second: Scenario) -> Scenario:
    """Return a scenario that combines two others."""
    default = Workload()
    workload = first.workload if first.workload != default else second.workload
    return Scenario(
        name=f"{first.name}+{second.name}",
        injections=first.injections + second.injections,
        workload=workload,
        faults=first.faults + second.faults,
        list_lag_s=max(first.list_lag_s, second.list_lag_s),
        seconds=max(first.seconds, second.seconds),
        resubmits=first.resubmits or second.resubmits,
    )


def _host(simulation: Simulation, number: int = 0) -> SimulatedHost:
    return list(simulation.hosts.values())[number]


def _upstream_id(simulation: Simulation, number: int = 0) -> UpstreamId:
    return list(simulation.upstreams)[number]


def _stragglers(simulation: Simulation, jobs: list[Job]) -> None:
    for upstream in simulation.upstreams.values():
        upstream.faults = UpstreamFaults(straggler_share=0.05)


def _slow_upstream(simulation: Simulation, jobs: list[Job]) -> None:
    simulation.upstreams[_upstream_id(simulation)].faults = UpstreamFaults(
        slow_factor=4.0
    )


def _failing_upstream(simulation: Simulation, jobs: list[Job]) -> None:
    upstream = simulation.upstreams[_upstream_id(simulation)]

    def fail() -> None:
        upstream.faults = UpstreamFaults(fails_all=True)

    simulation.loop.at(FAULT_AT_S, fail)


def _upstream_dies(simulation: Simulation, jobs: list[Job]) -> None:
    upstream = simulation.upstreams[_upstream_id(simulation)]
    simulation.loop.at(FAULT_AT_S, upstream.die)
    simulation.loop.at(FAULT_AT_S + FAULT_LENGTH_S, upstream.restart)


# One customer cancels all jobs that it submitted during the burst.
def _cancel_wave(simulation: Simulation, jobs: list[Job]) -> None:
    wave = [
        job
        for job in jobs
        if job.request.customer == CUSTOMER_NAMES[0]
        and BURST_START_S <= job.at < BURST_START_S + BURST_LENGTH_S
    ]
    simulation.clients.requests_ids_in_advance = True
    when = BURST_START_S + BURST_LENGTH_S
    simulation.loop.at(when, lambda: simulation.clients.cancel(wave))


def _upstream_leaves(simulation: Simulation, jobs: list[Job]) -> None:
    upstream = _upstream_id(simulation)
    simulation.loop.at(FAULT_AT_S, lambda: simulation.leave(upstream))


def _host_killed(simulation: Simulation, jobs: list[Job]) -> None:
    simulation.loop.at(FAULT_AT_S, lambda: simulation.kill(_host(simulation)))


def _host_paused(simulation: Simulation, jobs: list[Job]) -> None:
    host = _host(simulation, 1)
    simulation.loop.at(FAULT_AT_S, lambda: simulation.pause(host, PAUSE_S))


def _partition(zones: bool, platform: bool) -> FaultInjection:
    def inject(simulation: Simulation, jobs: list[Job]) -> None:
        zone = _upstream_id(simulation).zone
        links = simulation.links
        simulation.loop.at(
            FAULT_AT_S, lambda: links.partition_zone(zone, zones, platform)
        )
        simulation.loop.at(
            FAULT_AT_S + FAULT_LENGTH_S, lambda: links.end_partitions(zone)
        )

    return inject


def _log_down(simulation: Simulation, jobs: list[Job]) -> None:
    def set_down(down: bool) -> None:
        simulation.log.down = down

    simulation.loop.at(FAULT_AT_S, lambda: set_down(True))
    simulation.loop.at(FAULT_AT_S + LOG_OUTAGE_S, lambda: set_down(False))


def _list_down(simulation: Simulation, jobs: list[Job]) -> None:
    def set_down() -> None:
        simulation.host_list.down = True

    simulation.loop.at(FAULT_AT_S, set_down)


def _lost_replies(simulation: Simulation, jobs: list[Job]) -> None:
    simulation.log.lost_reply_share = LOST_REPLY_SHARE
    for upstream in simulation.upstreams.values():
        upstream.faults = UpstreamFaults(lost_reply_share=LOST_REPLY_SHARE)


def _zone_replaced(simulation: Simulation, jobs: list[Job]) -> None:
    zone = _upstream_id(simulation).zone
    hosts = [host for host in simulation.hosts.values() if host.id.zone == zone]
    for number, host in enumerate(hosts):
        when = FAULT_AT_S + number * DRAIN_INTERVAL_S
        simulation.loop.at(when, lambda host=host: simulation.drain(host))


# Shorter than the pause, so that leases expire while the host that holds them is
# paused.
SHORT_DEADLINE_MS = 8_000.0
_ALL = (
    Scenario("steady"),
    Scenario("burst_x5", workload=Workload(burst_factor=5.0)),
    Scenario("wrong_declarations_x10", workload=Workload(declared_error_factor=10.0)),
    Scenario("stragglers", (_stragglers,)),
    Scenario("slow_worker", (_slow_upstream,)),
    Scenario("worker_fails_all", (_failing_upstream,), faults=1),
    Scenario("worker_dies", (_upstream_dies,), faults=1),
    Scenario("cancel_wave", (_cancel_wave,), workload=Workload(burst_factor=5.0)),
    Scenario("worker_leaves_list_lags", (_upstream_leaves,), list_lag_s=10.0, faults=1),
    Scenario("host_killed", (_host_killed,), faults=1, resubmits=True),
    Scenario("host_paused", (_host_paused,), faults=1, resubmits=True, seconds=40.0),
    Scenario("zone_cut_from_zones", (_partition(True, False),), faults=1),
    Scenario(
        "zone_cut_from_platform",
        (_partition(False, True),),
        faults=1,
        product_only=True,
    ),
    Scenario("zone_cut_off", (_partition(True, True),), faults=1),
    Scenario("log_down", (_log_down,), faults=1, seconds=620.0, product_only=True),
    Scenario("list_down", (_list_down,), faults=1, product_only=True),
    Scenario("lost_replies", (_lost_replies,)),
    Scenario(
        "leases_lapse_in_pause",
        (_host_paused,),
        workload=Workload(deadline_ms=SHORT_DEADLINE_MS),
        faults=1,
        resubmits=True,
        seconds=40.0,
    ),
    Scenario("zone_replaced", (_zone_replaced,), faults=2, seconds=45.0),
)
SCENARIOS = {item.name: item for item in _ALL}
_PAIRED = (
    ("host_killed", "lost_replies"),
    ("host_killed", "worker_fails_all"),
    ("host_paused", "zone_cut_off"),
    ("host_paused", "worker_leaves_list_lags"),
    ("zone_cut_off", "lost_replies"),
    ("burst_x5", "host_killed"),
    ("cancel_wave", "host_killed"),
    ("stragglers", "worker_dies"),
    ("wrong_declarations_x10", "worker_fails_all"),
    ("zone_replaced", "lost_replies"),
    ("zone_replaced", "zone_cut_from_zones"),
)
PAIRS = {
    f"{first}+{second}": pair(SCENARIOS[first], SCENARIOS[second])
    for first, second in _PAIRED
}


def at_load(scenario: Scenario, load: float, seconds: float) -> Scenario:
    """Return a scenario with the given load, and at least the given length."""
    length = max(seconds, scenario.seconds)
    workload = replace(scenario.workload, load=load, seconds=length)
    return replace(scenario, workload=workload)
