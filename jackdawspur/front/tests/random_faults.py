"""Simulations with random faults that are generated from a seed."""

import random
from collections.abc import Callable

from jackdawspur.front.tests.faulty import FaultyWorld
from jackdawspur.front.tests.faulty_parts import Caller
from jackdawspur.front.tests.findings import Finding, find_broken_rules
from jackdawspur.front.tests.more_faults import COMBINED_FAULTS
from jackdawspur.group import _leadership_transfer

__all__ = ["LAYOUTS", "FaultScenario", "run_seed"]

# By name: zones, number of hosts and of upstreams in each zone, and maximum number of
# upstreams of a group of all zones.
LAYOUTS = {
    "one group": (("z1", "z2", "z3"), 2, 3, 64),
    "two groups": (("z1", "z2"), 2, 4, 2),
    "at the limit": (("z1", "z2"), 2, 4, 8),
    "stuttering hosts": (("z1", "z2", "z3"), 2, 3, 64),
    "roaming callers": (("z1", "z2"), 2, 4, 2),
    "roaming in one group": (("z1", "z2", "z3"), 2, 3, 64),
    "three at the limit": (("z1", "z2", "z3"), 2, 3, 9),
    "one host a zone": (("z1", "z2", "z3"), 1, 3, 4),
    "long waits": (("z1", "z2"), 2, 4, 2),
    "long waits in one group": (("z1", "z2", "z3"), 2, 3, 64),
    "long waits at the limit": (("z1", "z2", "z3"), 2, 3, 9),
    "unlike hosts": (("z1", "z2"), 3, 4, 2),
    "unlike hosts in one group": (("z1", "z2", "z3"), 2, 3, 64),
}
# In these layouts callers state timeouts that exceed the route's timeout, and some jobs
# take longer than the route's timeout.
LONG_WAITS = ("long waits", "long waits in one group", "long waits at the limit")
# In these layouts the strongest hosts regain the leadership soon after each change.
UNEQUAL = ("unlike hosts", "unlike hosts in one group")
UNEQUAL_TERM_S = 0.5
UNEQUAL_CORES = (0.5, 1.0, 2.0)
# This layout also has `MORE_FAULTS`. The layouts before it don't, so that their seeds
# generate the same faults as before.
STUTTERING = "stuttering hosts"
# These layouts have all kinds of faults, and callers retry in other zones too.
ROAMING = (
    "roaming callers",
    "roaming in one group",
    "three at the limit",
    "one host a zone",
    *LONG_WAITS,
    *UNEQUAL,
)
ROAMING_FRACTION = 0.7
STARTUP_S = 2.5
FAULTS_S = 6.0
RECOVERY_S = 3.0
FINAL_CHECK_S = 3.0
JOB_INTERVAL_S = 0.07
SHORT_S, LONG_S = 0.05, 0.9
# Longest run time of jobs in layouts with long waits, give or take a tenth. Fewer jobs
# arrive there, and some still run when the faults have ended.
LONGEST_S = 2.2
LONG_JOB_INTERVAL_S = 2 * JOB_INTERVAL_S
MIN_FAULTS, MAX_FAULTS = 3, 9


ScheduledFault = tuple[float, Callable[["FaultScenario", float], object]]


class FaultScenario:
    """A simulation whose faults and jobs are generated from one seed."""

    def __init__(self, monkeypatch, layout: str, seed: int) -> None:
        self.rng = random.Random(f"{layout} {seed}")
        self.long_waits = layout in LONG_WAITS
        self.job_interval_s = LONG_JOB_INTERVAL_S if self.long_waits else JOB_INTERVAL_S
        self.zones, hosts, upstreams, limit = LAYOUTS[layout]
        self.world = FaultyWorld(monkeypatch, limit, seed)
        self.fault_pool = FAULTS + MORE_FAULTS if layout == STUTTERING else FAULTS
        if layout in ROAMING:
            self.fault_pool = FAULTS + MORE_FAULTS + COMBINED_FAULTS
            self.world.roaming_fraction = ROAMING_FRACTION
            self.world.timers_first = self.rng.random() < 0.5
        self.faults = []
        if layout in UNEQUAL:
            monkeypatch.setattr(
                _leadership_transfer, "MIN_LEADERSHIP_S", UNEQUAL_TERM_S
            )
        for zone in self.zones:
            self.world.add_upstreams(zone, upstreams)
        for number in range(hosts):
            for zone in self.zones:
                self.world.run(self.rng.uniform(0.0, 0.05))
                name = f"{zone}-h{number}"
                if layout in UNEQUAL:
                    self.world.settings[name] = {"processor": UNEQUAL_CORES[number]}
                self.world.start(name, zone)
        self.world.run(STARTUP_S)
        self.faults_end = self.world.now + FAULTS_S

    def run(self, schedule: list[ScheduledFault] | None = None) -> list[Finding]:
        """Submit jobs while faults occur, end all faults, and return the findings."""
        world = self.world
        for start_s, fault in self._random_schedule() if schedule is None else schedule:
            world.after(start_s, lambda fault=fault: self._inject(fault))
        while world.now < self.faults_end:
            self._ask()
            world.run(self.rng.expovariate(1.0 / self.job_interval_s))
        self._end_faults()
        world.run(RECOVERY_S + (2 * LONGEST_S if self.long_waits else 0.0))
        final_callers = [self._send_final_job(name) for name in world.nodes]
        world.run(FINAL_CHECK_S)
        return find_broken_rules(world, final_callers)

    def _random_schedule(self) -> list[ScheduledFault]:
        world, rng = self.world, self.rng
        world.late_messages = rng.random() < 0.5
        # In half of the seeds all faults occur within 1.5 s.
        first, within_s = rng.choice(((0.0, 0.8 * FAULTS_S), (1.0, 1.5)))
        schedule = []
        for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
            fault = rng.choice(self.fault_pool)
            schedule.append((first + rng.uniform(0.0, within_s), fault))
        return schedule

    def _inject(self, fault) -> None:
        seconds = min(self.rng.uniform(0.2, 3.0), self.faults_end - self.world.now)
        detail = fault(self, max(0.05, seconds))
        self.faults.append((round(self.world.now, 3), fault.__name__, detail))

    def _ask(self) -> None:
        rng, world = self.rng, self.world
        usual = (SHORT_S, 0.2, 0.4, LONG_S)
        choice = (*usual, LONGEST_S) if self.long_waits else usual
        seconds = rng.choice(choice) * rng.uniform(0.9, 1.1)
        zone, tasks = rng.choice(self.zones), rng.randint(1, 4)
        timeout_s = self._random_timeout_s(seconds) if self.long_waits else None
        caller = world.ask(zone, seconds, tasks, caller_timeout_s=timeout_s)
        if rng.random() < 0.04:
            world.after(rng.uniform(0.0, 1.0), lambda: world.leave(caller))

    def _random_timeout_s(self, seconds: float) -> float | None:
        """Return a random timeout of a caller; None for one in ten."""
        if self.rng.random() < 0.1:
            return None
        return 1.5 + self.rng.uniform(1.0, 3.0) * (1.6 * seconds + 0.06)

    def _send_final_job(self, name: str) -> Caller:
        world = self.world
        return world.ask(world.zones[name], SHORT_S, 1, world.nodes[name])

    def _end_faults(self) -> None:
        world = self.world
        world.delay_rate = world.loss_rate = 0.0
        for faults in (
            world.storeless,
            world.list_limits,
            world.silent_links,
            world.partitions,
        ):
            faults.clear()
        world.one_way.clear()
        world.isolated.clear()
        for upstream in world.upstreams.values():
            upstream.silent = False
        for zone in self.zones:
            world.add_upstreams(zone, 2)
        for caller in world.callers:
            # Retries would take the capacity that the final jobs need.
            caller.left = True
        for name, node in list(world.nodes.items()):
            if node.dead or node.stopping:
                node.dead or world.kill(name)
                world.start(name, world.zones[name])

    # Faults; each returns a description of what it chose.

    def _random_host(self) -> str:
        """Return a random host; with probability 0.5 a leader."""
        leaders = list(self.world.leaders())
        if leaders and self.rng.random() < 0.5:
            return self.rng.choice(leaders)
        return self.rng.choice(list(self.world.nodes))

    def _random_pair(self) -> tuple[str, str]:
        name = self._random_host()
        others = [other for other in self.world.nodes if other != name]
        other = self.rng.choice(others)
        return (name, other) if self.rng.random() < 0.5 else (other, name)

    def _running_upstreams(self) -> list:
        return [
            upstream
            for upstream in self.world.upstreams.values()
            if not upstream.is_down and upstream.entry in self.world.listed
        ]

    def _restart_later(self, name: str, seconds: float) -> None:
        world = self.world

        def start() -> None:
            if world.nodes[name].dead:
                world.start(name, world.zones[name])

        world.after(seconds, start)

    def kill(self, seconds: float) -> str:
        name = self._random_host()
        self.world.kill(name)
        self._restart_later(name, seconds)
        return f"{name} {seconds:.2f}"

    def kill_all(self, seconds: float) -> str:
        for name in self.world.nodes:
            self.world.kill(name)
            self._restart_later(name, self.rng.uniform(0.2, 0.8))
        return ""

    def stop(self, seconds: float) -> str:
        name = self._random_host()
        self.world.stop_gracefully(name)
        for pause_s in (3.0, 7.0):
            self._restart_later(name, pause_s)
        return name

    def freeze(self, seconds: float) -> str:
        name = self._random_host()
        self.world.freeze(name, seconds)
        return f"{name} {seconds:.2f}"

    def restart_without_store(self, seconds: float) -> str:
        """Restart a host that reads the store late or gets a short list."""
        name, world = self._random_host(), self.world
        world.kill(name)
        if self.rng.random() < 0.5:
            world.storeless.add(name)
        else:
            world.list_limits[name] = self.rng.randint(1, 4)
        self._restart_later(name, 0.3)

        def end_fault() -> None:
            world.storeless.discard(name)
            world.list_limits.pop(name, None)

        world.after(seconds, end_fault)
        return f"{name} {seconds:.2f}"

    def cut_off_store(self, seconds: float) -> str:
        names = {name for name in self.world.nodes if self.rng.random() < 0.7}
        self.world.storeless |= names
        self.world.after(seconds, lambda: self.world.storeless.difference_update(names))
        return f"{sorted(names)} {seconds:.2f}"

    def partition_pair(self, seconds: float) -> str:
        pair = frozenset(self._random_pair())
        self.world.partitions.add(pair)
        self.world.after(seconds, lambda: self.world.partitions.discard(pair))
        return f"{sorted(pair)} {seconds:.2f}"

    def partition_one_way(self, seconds: float) -> str:
        pair = self._random_pair()
        self.world.one_way.add(pair)
        self.world.after(seconds, lambda: self.world.one_way.discard(pair))
        return f"{pair} {seconds:.2f}"

    def silence_links(self, seconds: float) -> str:
        pairs = [self._random_pair() for _ in range(self.rng.randint(1, 4))]
        self.world.silent_links.update(pairs)
        return f"{pairs}"

    def partition_zone(self, seconds: float) -> str:
        zone = self.rng.choice(self.zones)
        pairs = {frozenset((zone, other)) for other in self.zones if other != zone}
        self.world.partitions |= pairs
        self.world.after(
            seconds, lambda: self.world.partitions.difference_update(pairs)
        )
        return f"{zone} {seconds:.2f}"

    def isolate(self, seconds: float) -> str:
        name = self._random_host()
        self.world.isolated.add(name)
        self.world.after(seconds, lambda: self.world.isolated.discard(name))
        return f"{name} {seconds:.2f}"

    def silence_upstreams(self, seconds: float) -> str:
        running = self._running_upstreams()
        chosen = self.rng.sample(running, min(len(running), self.rng.randint(1, 3)))
        for upstream in chosen:
            upstream.silent = True

        def end_fault() -> None:
            for upstream in chosen:
                upstream.silent = False

        self.world.after(seconds, end_fault)
        return f"{[str(upstream.entry.id) for upstream in chosen]} {seconds:.2f}"

    def crash_upstream(self, seconds: float) -> str:
        upstream = self.rng.choice(self._running_upstreams()).entry.id
        self.world.crash(upstream, seconds)
        return f"{upstream} {seconds:.2f}"

    def add_upstreams(self, seconds: float) -> str:
        zone, count = self.rng.choice(self.zones), self.rng.randint(1, 3)
        self.world.add_upstreams(zone, count)
        return f"{zone} {count}"

    def drain_upstreams(self, seconds: float) -> str:
        running = self._running_upstreams()
        count = min(max(0, len(running) - 2), self.rng.randint(1, 3))
        chosen = self.rng.sample(running, count)
        for upstream in chosen:
            self.world.drain(upstream.entry.id, self.rng.uniform(0.5, 2.0))
        return f"{[str(upstream.entry.id) for upstream in chosen]}"

    def delay_calls(self, seconds: float) -> str:
        self.world.delay_rate = self.rng.choice((0.05, 0.2, 0.5))
        self.world.loss_rate = self.rng.choice((0.0, 0.1))

        def end_fault() -> None:
            self.world.delay_rate = self.world.loss_rate = 0.0

        self.world.after(seconds, end_fault)
        return f"{self.world.delay_rate} {seconds:.2f}"

    def reset_callers(self, seconds: float) -> str:
        calls = self.world.open_calls
        fraction = self.rng.choice((0.3, 1.0))
        chosen = [call for call in calls if self.rng.random() < fraction]
        for node, number in chosen:
            self.world.reset(node, number)
        return f"{len(chosen)}"

    def restart_upstreams(self, seconds: float) -> str:
        """Crash upstreams and restart them under the same names."""
        running = self._running_upstreams()
        chosen = self.rng.sample(running, min(len(running), self.rng.randint(1, 4)))
        for upstream in chosen:
            self.world.restart(upstream.entry.id, self.rng.choice((0.02, 0.2, seconds)))
        return f"{[str(upstream.entry.id) for upstream in chosen]} {seconds:.2f}"

    def reset_links(self, seconds: float) -> str:
        """Lose all messages on the links of a host until they are reconnected."""
        name, world = self._random_host(), self.world
        for other in world.nodes:
            if other != name:
                world.silent_links |= {(name, other), (other, name)}
        return name

    def pause_repeatedly(self, seconds: float) -> str:
        """Pause a host repeatedly, like one that has used up its processor quota."""
        name, world = self._random_host(), self.world
        pause_s, run_s = self.rng.uniform(0.05, 0.38), self.rng.uniform(0.02, 0.2)
        until = world.now + seconds

        def pause() -> None:
            if world.now < until and not world.nodes[name].dead:
                world.freeze(name, pause_s)
                world.after(pause_s + run_s, pause)

        pause()
        return f"{name} {pause_s:.2f} {run_s:.2f} {seconds:.2f}"


FAULTS = (
    FaultScenario.kill,
    FaultScenario.kill,
    FaultScenario.kill_all,
    FaultScenario.stop,
    FaultScenario.freeze,
    FaultScenario.freeze,
    FaultScenario.restart_without_store,
    FaultScenario.cut_off_store,
    FaultScenario.partition_pair,
    FaultScenario.partition_one_way,
    FaultScenario.silence_links,
    FaultScenario.partition_zone,
    FaultScenario.partition_zone,
    FaultScenario.isolate,
    FaultScenario.silence_upstreams,
    FaultScenario.crash_upstream,
    FaultScenario.add_upstreams,
    FaultScenario.drain_upstreams,
    FaultScenario.delay_calls,
    FaultScenario.delay_calls,
    FaultScenario.reset_callers,
)
MORE_FAULTS = (
    FaultScenario.reset_links,
    FaultScenario.restart_upstreams,
    FaultScenario.restart_upstreams,
    FaultScenario.reset_callers,
    FaultScenario.pause_repeatedly,
    FaultScenario.pause_repeatedly,
    FaultScenario.freeze,
    FaultScenario.partition_zone,
)


def run_seed(monkeypatch, layout: str, seed: int) -> list[Finding]:
    """Run the scenario of a seed and return the rules that were broken."""
    return FaultScenario(monkeypatch, layout, seed).run()
