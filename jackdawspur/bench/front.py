"""Run the leader in virtual time, and compare it with bounds and a baseline.

``python -m`` this module prints one line per scenario and policy, and exits with 1 if
a bound is missed or an invariant is violated.
"""

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from jackdawspur.bench._front_simulation import (
    CALLER_TIMEOUT_S,
    FrontResult,
    FrontSimulation,
    JobKind,
)
from jackdawspur.bench._job_records import (
    achievable_share,
    largest_tenth,
    servable,
    served_share,
)
from jackdawspur.model import HostId
from jackdawspur.runs import Decision, Dispatcher, Job, Placer

__all__ = ["LONG_KIND", "SCENARIOS", "SLOWDOWN", "Scenario", "main", "run_scenario"]

SEED = 11
SECONDS = 15.0
# The kind of job whose largest jobs take as long as their callers wait.
LONG_KIND = "reassign"
SLOWDOWN = 1.3
# The job mix of both users at their usual rate: about 40 tasks run at a time, of the 56
# for which the upstreams have capacity.
KINDS = (
    JobKind("confirm", 17.2, 8, 0.06),
    JobKind("reassign", 3.12, 4, 0.9),
    JobKind("check", 50.0, 2, 0.2),
)


class FifoPlacer(Placer):
    """Place jobs in order of arrival."""

    def ordered(self, waiting: list[Job], now: float) -> Sequence[Job]:
        """Return the jobs in order of arrival."""
        return sorted(waiting, key=lambda job: job.offer.arrived)


class FifoDispatcher(Dispatcher):
    """Baseline: serve jobs in order of arrival, and ignore their progress."""

    def __init__(self, local_id: HostId, now: float) -> None:
        super().__init__(local_id, now)
        self._placer = FifoPlacer(
            self._pool,
            self._starts,
            self._estimates,
            self._started_jobs,
            self._redirector,
        )

    def _review(self, job: Job, now: float) -> None:
        pass

    def _refuse_unservable(self, now: float) -> None:
        pass

    def _refuse(self, job: Job, now: float, ahead_s: float = 0.0) -> None:
        if now >= job.offer.deadline:
            self._give_up(job, Decision.JOB_OUT_OF_TIME, now)


@dataclass(frozen=True, slots=True)
class Scenario:
    """The faults to inject, and the minimum share of jobs that must be on time.

    With `states_waits`, callers state their maximum wait, which is longer for long
    jobs.
    """

    name: str
    min_on_time_share: float
    inject: Callable[[FrontSimulation], None]
    states_waits: bool = False


def _steady(_simulation: FrontSimulation) -> None:
    pass


def _burst(simulation: FrontSimulation) -> None:
    simulation.at(5.0, lambda: setattr(simulation, "load", 1.6))
    simulation.at(9.0, lambda: setattr(simulation, "load", 1.0))


def _set_fault(
    simulation: FrontSimulation,
    name: str,
    faulty_value: object,
    normal_value: object,
    first: int = 0,
) -> None:
    """Set a fault of every seventh upstream, starting with number `first`, for 7 s."""

    def set_all(value: object) -> None:
        for upstream in list(simulation.upstreams.values())[first::7]:
            setattr(upstream, name, value)

    simulation.at(5.0, lambda: set_all(faulty_value))
    simulation.at(12.0, lambda: set_all(normal_value))


def _third_slower(simulation: FrontSimulation) -> None:
    """Slow down a third of the upstreams, under increased load."""
    for number, upstream in enumerate(simulation.upstreams.values()):
        upstream.slowdown = SLOWDOWN if number // 3 % 3 == 0 else 1.0
    simulation.load = 1.3


def _slow(simulation: FrontSimulation) -> None:
    _set_fault(simulation, "slow", 6.0, 1.0)


def _hanging(simulation: FrontSimulation) -> None:
    _set_fault(simulation, "hangs", True, False)


def _failing(simulation: FrontSimulation) -> None:
    _set_fault(simulation, "fails", 1.0, 0.0)


def _unresponsive(simulation: FrontSimulation) -> None:
    _set_fault(simulation, "silent", True, False)


def _late_orders(share: float) -> Callable[[FrontSimulation], None]:
    """Return a fault that leaves a share of all calls without a reply, for 7 s."""

    def inject(simulation: FrontSimulation) -> None:
        simulation.at(5.0, lambda: setattr(simulation, "late_orders", share))
        simulation.at(12.0, lambda: setattr(simulation, "late_orders", 0.0))

    return inject


def _change_leader(simulation: FrontSimulation) -> None:
    for when in (5.0, 8.0, 11.0):
        simulation.at(when, simulation.change_leader)


def _slow_and_unresponsive(simulation: FrontSimulation) -> None:
    _slow(simulation)
    _set_fault(simulation, "silent", True, False, first=3)


def _burst_and_change_leader(simulation: FrontSimulation) -> None:
    _burst(simulation)
    _change_leader(simulation)


# The minimum shares are 0.02 below those measured with SEED.
SCENARIOS = (
    Scenario("steady", 0.96, _steady),
    Scenario("burst", 0.88, _burst),
    Scenario("third slower", 0.914, _third_slower),
    Scenario("slow", 0.905, _slow),
    Scenario("hanging", 0.895, _hanging),
    Scenario("failing", 0.945, _failing),
    Scenario("silent", 0.94, _unresponsive),
    Scenario("late orders 0.05", 0.89, _late_orders(0.05)),
    Scenario("late orders 0.2", 0.8, _late_orders(0.2)),
    Scenario("late orders 0.5", 0.5, _late_orders(0.5)),
    Scenario("new leader", 0.955, _change_leader),
    Scenario("slow and silent", 0.845, _slow_and_unresponsive),
    Scenario("burst and new leader", 0.915, _burst_and_change_leader),
    Scenario("steady, waits stated", 0.96, _steady, True),
    Scenario("burst, waits stated", 0.88, _burst, True),
    Scenario("third slower, waits stated", 0.914, _third_slower, True),
    Scenario(
        "burst and new leader, waits stated", 0.915, _burst_and_change_leader, True
    ),
)


def run_scenario(
    scenario: Scenario,
    policy: type[Dispatcher] = Dispatcher,
    seconds: float = SECONDS,
    seed: int = SEED,
) -> FrontResult:
    """Run a scenario with one policy."""
    simulation = FrontSimulation(KINDS, policy, seed, scenario.states_waits)
    scenario.inject(simulation)
    return simulation.run(seconds)


def _line(scenario: Scenario, policy: str, result: FrontResult) -> bytes:
    counters = result.counters
    long = [job for job in result.records if job.kind == LONG_KIND]
    largest = largest_tenth(result.records, LONG_KIND)
    fields = {
        "scenario": scenario.name,
        "policy": policy,
        "on_time": round(result.on_time_share, 3),
        "bound": scenario.min_on_time_share if policy == "own" else None,
        "late": result.late,
        "refused": result.refused,
        "failed": result.failed,
        "offered": result.offered,
        "long_served": served_share(long),
        "largest_served": served_share(largest),
        "largest_possible": achievable_share(largest, CALLER_TIMEOUT_S),
        "long_servable": servable(long),
        "largest_servable": servable(largest),
        "two_at_once": counters.two_at_once,
        "over_capacity": counters.over_capacity,
    }
    return msgspec.json.encode(fields) + b"\n"


def main() -> int:
    """Run all scenarios; return 1 if a bound is missed or an invariant violated."""
    failures = 0
    for scenario in SCENARIOS:
        product = run_scenario(scenario)
        sys.stdout.buffer.write(_line(scenario, "own", product))
        fifo = run_scenario(scenario, FifoDispatcher)
        sys.stdout.buffer.write(_line(scenario, "arrival order", fifo))
        failures += product.on_time_share < scenario.min_on_time_share
        failures += product.counters.two_at_once + product.counters.over_capacity > 0
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
