"""Learn how long tasks run, whatever their callers declare."""

import math
from collections import OrderedDict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from typing import TypeVar

from jackdawspur.model import TaskSpec

__all__ = ["Moments", "RunTimeEstimator"]

DEFAULT_RUN_MS = 250.0
MIN_RUN_MS = 1.0
MAX_RUN_MS = 60_000.0
CLASSES_KEPT = 4096
# One ended task weighs at least this much, so the last fifty or so decide.
MIN_STEP = 0.02
# What was believed before counts as this many ended tasks.
PRIOR_WEIGHT = 2.0
# A class with more ended tasks no longer needs what its customer's others showed, and
# adds to it only by every so many tasks: that halves the cost of an ended task.
KNOWN_AFTER = 32
OVERALL_EVERY = 8
# Bounds the pull of one straggler: e**1.5 is about 4.5 times the mean.
MAX_SURPRISE = 1.5
SURPRISE_AFTER = 8
# Added to the variance of declarations (log scale): nearly constant declarations
# must not yield a steep slope.
SLOPE_RIDGE = 0.02
# A declaration moves an estimate by no more than e**2, 7.4 times, from the mean.
MAX_DECLARED_SHIFT = 2.0

_Key = TypeVar("_Key")


@dataclass(frozen=True, slots=True)
class Moments:
    """Tell what ended tasks showed of log run time against log declaration."""

    count: int
    run: float
    declared: float
    spread: float
    covariance: float
    noise: float


class _History:
    """Keep decayed moments of log run time against log declaration."""

    __slots__ = ("count", "covariance", "declared", "noise", "run", "spread")

    def __init__(self) -> None:
        self.count = 0
        self.run = 0.0
        self.declared = 0.0
        self.spread = 0.0
        self.covariance = 0.0
        self.noise = 0.0

    def moments(self) -> Moments:
        """Return what is known."""
        return Moments(*(getattr(self, name) for name in Moments.__slots__))

    def set(self, moments: Moments) -> None:
        """Believe this instead of what was known."""
        for name in Moments.__slots__:
            setattr(self, name, getattr(moments, name))

    def slope(self) -> float:
        """Return how far a run time follows its declaration, from 0 to 1."""
        slope = self.covariance / (self.spread + SLOPE_RIDGE)
        return min(1.0, max(0.0, slope))

    def expected(self, declared: float) -> float:
        """Return the expected log run time for a log declaration."""
        shift = self.slope() * (declared - self.declared)
        return self.run + min(MAX_DECLARED_SHIFT, max(-MAX_DECLARED_SHIFT, shift))

    def add(self, declared: float, run: float) -> None:
        """Take in one ended task."""
        self.count += 1
        slope = self.slope()
        step = max(MIN_STEP, 1.0 / self.count)
        if self.count > SURPRISE_AFTER:
            expected = self.expected(declared)
            run = min(expected + MAX_SURPRISE, max(expected - MAX_SURPRISE, run))
        # The mean moves by `step` of the distance; the product with the distance
        # left afterwards is the usual running update of a moment.
        off_declared = declared - self.declared
        off_run = run - self.run
        self.declared += step * off_declared
        self.run += step * off_run
        keep = 1.0 - step
        self.spread = keep * (self.spread + step * off_declared * off_declared)
        self.covariance = keep * (self.covariance + step * off_declared * off_run)
        residual = off_run - slope * off_declared
        self.noise = keep * (self.noise + step * residual * residual)


class RunTimeEstimator:
    """Estimate run times by customer and class from tasks that ended.

    A regression on log scale corrects a constant factor in declarations, and ignores
    declarations that say nothing. A new class starts from what all of its customer's
    tasks showed, so a false declaration gains nothing by a new class name. Histories
    of customers never mix.
    """

    def __init__(self, classes_kept: int = CLASSES_KEPT) -> None:
        self._classes_kept = classes_kept
        self._classes: OrderedDict[tuple[str, str], _History] = OrderedDict()
        self._customers: OrderedDict[str, _History] = OrderedDict()

    def __len__(self) -> int:
        return len(self._classes)

    def estimate_ms(self, customer: str, job_class: str, spec: TaskSpec) -> float:
        """Return the expected run time of a task."""
        history = self._classes.get((customer, job_class))
        return _estimate(history, self._customers.get(customer), spec.run_ms)

    def estimates_ms(
        self, customer: str, job_class: str, tasks: Sequence[TaskSpec]
    ) -> tuple[float, ...]:
        """Return the expected run times of a job's tasks."""
        history = self._classes.get((customer, job_class))
        overall = self._customers.get(customer)
        # Tasks of one job mostly declare the same.
        known: dict[float, float] = {}
        for spec in tasks:
            if spec.run_ms not in known:
                known[spec.run_ms] = _estimate(history, overall, spec.run_ms)
        return tuple(known[spec.run_ms] for spec in tasks)

    def observe(
        self, customer: str, job_class: str, spec: TaskSpec, run_ms: float
    ) -> None:
        """Take in the measured run time of an ended task."""
        declared, run = math.log(_declared(spec.run_ms)), math.log(_clamp(run_ms))
        history = self._history(self._classes, (customer, job_class))
        history.add(declared, run)
        if history.count <= KNOWN_AFTER or history.count % OVERALL_EVERY == 0:
            self._history(self._customers, customer).add(declared, run)

    def moments(self) -> Iterator[tuple[tuple[str, str], Moments]]:
        """Yield what is known, the latest first; of all classes under no name."""
        for customer, overall in reversed(self._customers.items()):
            yield (customer, ""), overall.moments()
        for key, history in reversed(self._classes.items()):
            yield key, history.moments()

    def sample_count(self, customer: str, job_class: str) -> int:
        """Return how many tasks ended; of all classes for an empty name."""
        overall = self._customers.get(customer)
        history = self._classes.get((customer, job_class)) if job_class else overall
        return history.count if history else 0

    def seed_history(
        self, customer: str, job_class: str, moments: Moments, tasks: int
    ) -> None:
        """Take moments over as if so many tasks had shown them."""
        if job_class:
            history = self._history(self._classes, (customer, job_class))
        else:
            history = self._history(self._customers, customer)
        history.set(replace(moments, count=tasks))

    def _history(self, histories: OrderedDict[_Key, _History], key: _Key) -> _History:
        history = histories.get(key)
        if history is None:
            history = histories[key] = _History()
            if len(histories) > self._classes_kept:
                histories.popitem(last=False)
        else:
            histories.move_to_end(key)
        return history


def _estimate(
    history: _History | None, overall: _History | None, run_ms: float
) -> float:
    declared = math.log(_declared(run_ms))
    believed = declared
    if history is None or history.count <= KNOWN_AFTER:
        believed = _blend(overall, declared, declared)
    return _clamp(math.exp(_blend(history, declared, believed)))


def _blend(history: _History | None, declared: float, before: float) -> float:
    """Return the history's log estimate, as far as it has seen enough."""
    if history is None:
        return before
    learned = history.expected(declared) + history.noise / 2
    trust = history.count / (history.count + PRIOR_WEIGHT)
    return trust * learned + (1.0 - trust) * before


def _clamp(run_ms: float) -> float:
    return min(MAX_RUN_MS, max(MIN_RUN_MS, run_ms))


def _declared(run_ms: float) -> float:
    return _clamp(run_ms) if run_ms > 0 else DEFAULT_RUN_MS
