"""Estimation of run times from ended tasks and the callers' declarations."""

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
MAX_CLASSES = 4096
# Minimum weight of a task in the moving averages, so that about the last fifty tasks
# determine an estimate.
MIN_TASK_WEIGHT = 0.02
# Weight of the prior estimate, as a number of ended tasks.
PRIOR_WEIGHT = 2.0
# A class with more ended tasks than CLASS_LEARNED_AFTER no longer uses its customer's
# overall history as prior. It updates that history only at every
# OVERALL_UPDATE_INTERVAL-th task, which halves the cost of an ended task.
CLASS_LEARNED_AFTER = 32
OVERALL_UPDATE_INTERVAL = 8
# Limits the influence of one straggler: once a history has more than
# CLIP_RESIDUALS_AFTER tasks, a run time is clipped to within a factor of e**1.5, about
# 4.5, of the expected one.
MAX_RESIDUAL = 1.5
CLIP_RESIDUALS_AFTER = 8
# Ridge added to the variance of declarations (log scale), so that nearly constant
# declarations don't yield a steep slope.
SLOPE_RIDGE = 0.02
# A declaration shifts an estimate from the mean by a factor of at most e**2, about 7.4.
MAX_DECLARED_SHIFT = 2.0

_Key = TypeVar("_Key")


@dataclass(frozen=True, slots=True)
class Moments:
    """Statistics of log run time and log declaration over ended tasks.

    `run` and `declared` are means, `spread` is the variance of declarations, `noise`
    that of the residuals.
    """

    count: int
    run: float
    declared: float
    spread: float
    covariance: float
    noise: float


class _History:
    """Exponentially decayed moments of log run time and log declaration."""

    __slots__ = ("count", "covariance", "declared", "noise", "run", "spread")

    def __init__(self) -> None:
        self.count = 0
        self.run = 0.0
        self.declared = 0.0
        self.spread = 0.0
        self.covariance = 0.0
        self.noise = 0.0

    def moments(self) -> Moments:
        """Return the current moments."""
        return Moments(*(getattr(self, name) for name in Moments.__slots__))

    def set(self, moments: Moments) -> None:
        """Replace the current moments."""
        for name in Moments.__slots__:
            setattr(self, name, getattr(moments, name))

    def slope(self) -> float:
        """Return the regression slope of run times on declarations, from 0 to 1."""
        slope = self.covariance / (self.spread + SLOPE_RIDGE)
        return min(1.0, max(0.0, slope))

    def expected(self, declared: float) -> float:
        """Return the expected log run time for a log declaration."""
        shift = self.slope() * (declared - self.declared)
        return self.run + min(MAX_DECLARED_SHIFT, max(-MAX_DECLARED_SHIFT, shift))

    def add(self, declared: float, run: float) -> None:
        """Update the moments with an ended task."""
        self.count += 1
        slope = self.slope()
        step = max(MIN_TASK_WEIGHT, 1.0 / self.count)
        if self.count > CLIP_RESIDUALS_AFTER:
            expected = self.expected(declared)
            run = min(expected + MAX_RESIDUAL, max(expected - MAX_RESIDUAL, run))
        # Each mean moves by `step` times the distance of the new value. The second
        # moments follow by the usual incremental update, which multiplies this distance
        # by the distance that remains.
        declared_difference = declared - self.declared
        run_difference = run - self.run
        self.declared += step * declared_difference
        self.run += step * run_difference
        decay = 1.0 - step
        self.spread = decay * (
            self.spread + step * declared_difference * declared_difference
        )
        self.covariance = decay * (
            self.covariance + step * declared_difference * run_difference
        )
        residual = run_difference - slope * declared_difference
        self.noise = decay * (self.noise + step * residual * residual)


class RunTimeEstimator:
    """Estimates run times by customer and class from ended tasks.

    A regression on log scale corrects a constant factor in declarations and ignores
    uninformative ones. A new class starts from the history of all its customer's tasks,
    so a customer with false declarations gains nothing from a new class name. Histories
    of different customers are never mixed.
    """

    def __init__(self, max_classes: int = MAX_CLASSES) -> None:
        self._max_classes = max_classes
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
        # Tasks of one job mostly declare the same run time.
        estimates: dict[float, float] = {}
        for spec in tasks:
            if spec.run_ms not in estimates:
                estimates[spec.run_ms] = _estimate(history, overall, spec.run_ms)
        return tuple(estimates[spec.run_ms] for spec in tasks)

    def observe(
        self, customer: str, job_class: str, spec: TaskSpec, run_ms: float
    ) -> None:
        """Record the measured run time of an ended task."""
        declared, run = (
            math.log(_valid_declaration(spec.run_ms)),
            math.log(_clamp(run_ms)),
        )
        history = self._history(self._classes, (customer, job_class))
        history.add(declared, run)
        if (
            history.count <= CLASS_LEARNED_AFTER
            or history.count % OVERALL_UPDATE_INTERVAL == 0
        ):
            self._history(self._customers, customer).add(declared, run)

    def moments(self) -> Iterator[tuple[tuple[str, str], Moments]]:
        """Yield keys (customer, class) with moments, the most recently updated first.

        The empty class name stands for all classes of the customer.
        """
        for customer, overall in reversed(self._customers.items()):
            yield (customer, ""), overall.moments()
        for key, history in reversed(self._classes.items()):
            yield key, history.moments()

    def sample_count(self, customer: str, job_class: str) -> int:
        """Return the number of ended tasks; of all classes if the name is empty."""
        overall = self._customers.get(customer)
        history = self._classes.get((customer, job_class)) if job_class else overall
        return history.count if history else 0

    def seed_history(
        self, customer: str, job_class: str, moments: Moments, tasks: int
    ) -> None:
        """Set moments received from another host, with the weight of `tasks` tasks."""
        if job_class:
            history = self._history(self._classes, (customer, job_class))
        else:
            history = self._history(self._customers, customer)
        history.set(replace(moments, count=tasks))

    def _history(self, histories: OrderedDict[_Key, _History], key: _Key) -> _History:
        history = histories.get(key)
        if history is None:
            history = histories[key] = _History()
            if len(histories) > self._max_classes:
                histories.popitem(last=False)
        else:
            histories.move_to_end(key)
        return history


def _estimate(
    history: _History | None, overall: _History | None, run_ms: float
) -> float:
    declared = math.log(_valid_declaration(run_ms))
    prior = declared
    if history is None or history.count <= CLASS_LEARNED_AFTER:
        prior = _blend(overall, declared, declared)
    return _clamp(math.exp(_blend(history, declared, prior)))


def _blend(history: _History | None, declared: float, prior: float) -> float:
    """Return the weighted mean of the history's log estimate and the prior one."""
    if history is None:
        return prior
    learned = history.expected(declared) + history.noise / 2
    weight = history.count / (history.count + PRIOR_WEIGHT)
    return weight * learned + (1.0 - weight) * prior


def _clamp(run_ms: float) -> float:
    return min(MAX_RUN_MS, max(MIN_RUN_MS, run_ms))


def _valid_declaration(run_ms: float) -> float:
    return _clamp(run_ms) if run_ms > 0 else DEFAULT_RUN_MS
