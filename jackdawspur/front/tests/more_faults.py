"""Further kinds of faults, most of them combinations, for some layouts."""

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from jackdawspur.leases import Resources

if TYPE_CHECKING:
    from jackdawspur.front.tests.random_faults import FaultScenario

__all__ = ["COMBINED_FAULTS"]

Fault = Callable[["FaultScenario", float], str]

CRASHES_AFTER_S = 0.05
MAX_CRASHES = 4
# Remaining capacity of an upstream; the processor is in thousandths of a core.
REDUCED_CAPACITY = Resources(15_000, 131_072, 0)
RESTART_INTERVAL_S = 0.6


def crashing_task(scenario: "FaultScenario", seconds: float) -> str:
    """Submit a job whose tasks crash their upstreams, during a change of leader."""
    world, rng = scenario.world, scenario.rng
    caller = world.ask(
        rng.choice(scenario.zones), rng.choice((0.2, 0.9)), rng.randint(1, 3)
    )
    job = caller.request.id
    crashes = [0]
    same_name = rng.random() < 0.5

    def crash_where_running() -> None:
        for upstream in list(world.upstreams.values()):
            if crashes[0] < MAX_CRASHES and upstream.runs_task_of(job):
                crashes[0] += 1
                fail = world.restart if same_name else world.crash
                fail(upstream.entry.id, rng.choice((0.02, 0.3)))
        if crashes[0] < MAX_CRASHES:
            world.after(CRASHES_AFTER_S, crash_where_running)

    crash_where_running()
    for name in list(world.leaders()):
        world.after(
            rng.uniform(0.0, 0.6), lambda name=name: _stop_or_kill(scenario, name)
        )
    return f"{job} {same_name}"


def _stop_or_kill(scenario: "FaultScenario", name: str) -> None:
    if scenario.world.nodes[name].dead:
        return
    if scenario.rng.random() < 0.5:
        scenario.world.kill(name)
        scenario._restart_later(name, 0.5)
    else:
        scenario.world.stop_gracefully(name)
        scenario._restart_later(name, 7.0)


def reduce_capacity(scenario: "FaultScenario", seconds: float) -> str:
    """Reduce the capacity of upstreams for a while, in their entries without delay."""
    running = scenario._running_upstreams()
    chosen = scenario.rng.sample(running, min(len(running), scenario.rng.randint(1, 3)))
    capacities = [upstream.entry.capacity for upstream in chosen]
    for upstream in chosen:
        _set_capacity(scenario, upstream, REDUCED_CAPACITY)

    def end_fault() -> None:
        for upstream, capacity in zip(chosen, capacities, strict=True):
            _set_capacity(scenario, upstream, capacity)

    scenario.world.after(seconds, end_fault)
    return f"{[str(upstream.entry.id) for upstream in chosen]} {seconds:.2f}"


def _set_capacity(scenario: "FaultScenario", upstream, capacity: Resources) -> None:
    world = scenario.world
    upstream.checks_capacity = True
    upstream.entry = replace(upstream.entry, capacity=capacity)
    world.listed = tuple(
        replace(entry, capacity=capacity) if entry.id == upstream.entry.id else entry
        for entry in world.listed
    )


def zone_power_loss(scenario: "FaultScenario", seconds: float) -> str:
    """Kill all hosts of a zone, with probability 0.5 also its upstreams."""
    world, rng = scenario.world, scenario.rng
    zone = rng.choice(scenario.zones)
    for name, host_zone in world.zones.items():
        if host_zone == zone:
            world.kill(name)
            scenario._restart_later(name, rng.uniform(0.2, 0.8))
    upstreams = rng.random() < 0.5
    for upstream in scenario._running_upstreams() if upstreams else ():
        if upstream.entry.id.zone == zone:
            world.crash(upstream.entry.id, rng.uniform(0.1, 0.5))
    return f"{zone} {upstreams}"


def total_power_loss(scenario: "FaultScenario", seconds: float) -> str:
    """Kill all hosts, with probability 0.5 also all upstreams."""
    upstreams = scenario.rng.random() < 0.5
    for upstream in scenario._running_upstreams() if upstreams else ():
        scenario.world.crash(upstream.entry.id, scenario.rng.uniform(0.1, 0.5))
    scenario.kill_all(seconds)
    return f"{upstreams}"


def rolling_restart(scenario: "FaultScenario", seconds: float) -> str:
    """Restart hosts one by one without the store, with a partition and late calls."""
    world, rng = scenario.world, scenario.rng
    details = [
        scenario.cut_off_store(seconds),
        scenario.partition_zone(rng.uniform(0.3, seconds + 0.3)),
    ]
    details.append(scenario.delay_calls(seconds))
    names = list(world.nodes)
    rng.shuffle(names)
    for number, name in enumerate(names[: rng.randint(2, len(names))]):
        world.after(
            number * RESTART_INTERVAL_S, lambda name=name: _restart_one(scenario, name)
        )
    return " ".join(details)


def _restart_one(scenario: "FaultScenario", name: str) -> None:
    if scenario.world.now < scenario.faults_end and not scenario.world.nodes[name].dead:
        scenario.world.kill(name)
        scenario._restart_later(name, 0.3)


def reset_with_silent_links(scenario: "FaultScenario", seconds: float) -> str:
    """Break links of a host without a reset just before its callers' connections."""
    details = scenario.reset_links(seconds)
    scenario.world.after(
        scenario.rng.uniform(0.0, 0.2),
        lambda: [
            scenario.world.reset(node, number)
            for node, number in scenario.world.open_calls
            if node.name == details
        ],
    )
    return details


def flapping_zone(scenario: "FaultScenario", seconds: float) -> str:
    """Partition a zone repeatedly, often for less than the heartbeat timeout."""
    world, rng = scenario.world, scenario.rng
    zone = rng.choice(scenario.zones)
    pairs = {frozenset((zone, other)) for other in scenario.zones if other != zone}
    partitioned_s, back_s = rng.uniform(0.1, 0.6), rng.uniform(0.01, 0.3)
    until = world.now + seconds

    def start_partition() -> None:
        if world.now < until:
            world.partitions |= pairs
            world.after(partitioned_s, end_partition)

    def end_partition() -> None:
        world.partitions.difference_update(pairs)
        world.after(back_s, start_partition)

    start_partition()
    return f"{zone} {partitioned_s:.2f} {back_s:.2f} {seconds:.2f}"


def one_way_loss(scenario: "FaultScenario", seconds: float) -> str:
    """Lose all messages from a host or to it, while upstreams come and leave."""
    world, name = scenario.world, scenario._random_host()
    others = [other for other in world.nodes if other != name]
    outgoing = scenario.rng.random() < 0.7
    pairs = {(name, other) if outgoing else (other, name) for other in others}
    world.one_way |= pairs
    world.storeless.add(name)
    details = scenario.crash_upstream(0.05) if scenario._running_upstreams() else ""

    def end_fault() -> None:
        world.one_way -= pairs
        world.after(
            scenario.rng.uniform(0.0, 0.5), lambda: world.storeless.discard(name)
        )
        for leader in list(world.leaders()):
            if scenario.rng.random() < 0.5 and leader != name:
                _stop_or_kill(scenario, leader)

    world.after(seconds, end_fault)
    return f"{name} {outgoing} {details} {seconds:.2f}"


def isolate_zone(scenario: "FaultScenario", seconds: float) -> str:
    """Partition a zone from others and the store, while upstreams are replaced."""
    world, rng = scenario.world, scenario.rng
    zone = rng.choice(scenario.zones)
    pairs = {frozenset((zone, other)) for other in scenario.zones if other != zone}
    affected = {name for name, host_zone in world.zones.items() if host_zone == zone}
    world.partitions |= pairs
    world.storeless |= affected
    running = scenario._running_upstreams()
    for upstream in rng.sample(
        running, max(0, min(len(running) - 1, rng.randint(1, 2)))
    ):
        world.crash(upstream.entry.id, rng.choice((0.05, 0.5)))
    # An entry expires some seconds after its upstream crashed.
    partition_s = max(seconds, rng.choice((0.0, 4.6)))
    world.after(partition_s, lambda: world.partitions.difference_update(pairs))
    back_s = partition_s + rng.uniform(0.0, 0.5)
    world.after(back_s, lambda: world.storeless.difference_update(affected))
    return f"{zone} {partition_s:.2f} {back_s:.2f}"


COMBINED_FAULTS: tuple[Fault, ...] = (
    crashing_task,
    crashing_task,
    reduce_capacity,
    reduce_capacity,
    zone_power_loss,
    zone_power_loss,
    total_power_loss,
    rolling_restart,
    rolling_restart,
    reset_with_silent_links,
    reset_with_silent_links,
    flapping_zone,
    one_way_loss,
    isolate_zone,
    isolate_zone,
    isolate_zone,
)
