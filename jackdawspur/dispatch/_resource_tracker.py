"""Processors, memory and accelerators occupied by running tasks."""

from collections.abc import Iterable, Sequence

from jackdawspur.model import TaskSpec, Upstream, UpstreamId

__all__ = ["ResourceTracker"]


class _Used:
    __slots__ = ("accelerators", "cpus", "memory_mb")

    def __init__(self) -> None:
        self.cpus = 0
        self.memory_mb = 0
        self.accelerators = 0

    def add(self, spec: TaskSpec, sign: int) -> None:
        self.cpus += sign * spec.cpus
        self.memory_mb += sign * spec.memory_mb
        self.accelerators += sign * spec.accelerators


class ResourceTracker:
    """Resources of upstreams, and how much of them the tasks of this host occupy."""

    def __init__(self) -> None:
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._used: dict[UpstreamId, _Used] = {}

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Set the upstreams and their sizes; running tasks stay counted."""
        self._upstreams = {upstream.id: upstream for upstream in upstreams}

    def upstreams(self) -> Iterable[UpstreamId]:
        """Return the upstreams that can be used."""
        return self._upstreams.keys()

    def acquire(self, upstream: UpstreamId, spec: TaskSpec) -> None:
        """Add the resources of a task that was sent to an upstream."""
        self._used.setdefault(upstream, _Used()).add(spec, 1)

    def release(self, upstream: UpstreamId, spec: TaskSpec) -> None:
        """Subtract the resources of a task that ended."""
        used = self._used.get(upstream)
        if used is not None:
            used.add(spec, -1)

    def fits(self, upstream: UpstreamId, spec: TaskSpec) -> bool:
        """Return whether an upstream has free capacity for the task."""
        size = self._upstreams.get(upstream)
        if size is None:
            return False
        used = self._used.get(upstream)
        if used is None:
            used = self._used[upstream] = _Used()
        return (
            used.cpus + spec.cpus <= size.cpus
            and used.memory_mb + spec.memory_mb <= size.memory_mb
            and used.accelerators + spec.accelerators <= size.accelerators
        )

    def fits_when_empty(self, upstream: UpstreamId, spec: TaskSpec) -> bool:
        """Return whether the task would fit into the upstream if it were empty."""
        size = self._upstreams[upstream]
        return (
            spec.cpus <= size.cpus
            and spec.memory_mb <= size.memory_mb
            and spec.accelerators <= size.accelerators
        )

    def least_utilized(
        self, upstreams: Iterable[UpstreamId], spec: TaskSpec
    ) -> UpstreamId | None:
        """Return the least utilized upstream that could fit the task, or None."""
        suitable = [
            upstream for upstream in upstreams if self.fits_when_empty(upstream, spec)
        ]
        return min(
            suitable,
            key=lambda upstream: (self._utilization(upstream, spec), upstream),
            default=None,
        )

    def _utilization(self, upstream: UpstreamId, spec: TaskSpec) -> float:
        """Return the highest utilization among the resources that the task needs."""
        used = self._used.get(upstream)
        if used is None:
            return 0.0
        size = self._upstreams[upstream]
        resources = (
            (spec.cpus, used.cpus, size.cpus),
            (spec.memory_mb, used.memory_mb, size.memory_mb),
            (spec.accelerators, used.accelerators, size.accelerators),
        )
        return max(
            (in_use / total for needed, in_use, total in resources if needed),
            default=0.0,
        )

    def first_fit(
        self, upstreams: Sequence[UpstreamId], spec: TaskSpec
    ) -> UpstreamId | None:
        """Return the first of the upstreams that fits the task, or None."""
        for upstream in upstreams:
            if self.fits(upstream, spec):
                return upstream
        return None
