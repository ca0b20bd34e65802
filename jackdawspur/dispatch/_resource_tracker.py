"""Processors, memory and accelerators that running tasks occupy."""

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
    """Tell which upstream can hold a task beside those sent there from here."""

    def __init__(self) -> None:
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._used: dict[UpstreamId, _Used] = {}

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Take the sizes of the zone's upstreams; running tasks stay counted."""
        self._upstreams = {upstream.id: upstream for upstream in upstreams}

    def upstreams(self) -> Iterable[UpstreamId]:
        """Return the zone's upstreams."""
        return self._upstreams.keys()

    def take(self, upstream: UpstreamId, spec: TaskSpec) -> None:
        """Count a task that was sent to an upstream."""
        self._used.setdefault(upstream, _Used()).add(spec, 1)

    def release(self, upstream: UpstreamId, spec: TaskSpec) -> None:
        """Count a task off."""
        used = self._used.get(upstream)
        if used is not None:
            used.add(spec, -1)

    def fits(self, upstream: UpstreamId, spec: TaskSpec) -> bool:
        """Tell whether an upstream has room for one more task."""
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

    def could_hold(self, upstream: UpstreamId, spec: TaskSpec) -> bool:
        """Tell whether an upstream has room once it is empty."""
        size = self._upstreams[upstream]
        return (
            spec.cpus <= size.cpus
            and spec.memory_mb <= size.memory_mb
            and spec.accelerators <= size.accelerators
        )

    def emptiest(
        self, upstreams: Iterable[UpstreamId], spec: TaskSpec
    ) -> UpstreamId | None:
        """Return the upstream that will soonest have room for a task."""
        able = [name for name in upstreams if self.could_hold(name, spec)]
        return min(able, key=lambda name: (self._held(name, spec), name), default=None)

    def _held(self, upstream: UpstreamId, spec: TaskSpec) -> float:
        """Return how much of the scarcest thing that the task needs is taken."""
        used = self._used.get(upstream)
        if used is None:
            return 0.0
        size = self._upstreams[upstream]
        parts = (
            (spec.cpus, used.cpus, size.cpus),
            (spec.memory_mb, used.memory_mb, size.memory_mb),
            (spec.accelerators, used.accelerators, size.accelerators),
        )
        return max((held / most for needs, held, most in parts if needs), default=0.0)

    def first_fit(
        self, upstreams: Sequence[UpstreamId], spec: TaskSpec
    ) -> UpstreamId | None:
        """Return the first of the upstreams that has room."""
        for upstream in upstreams:
            if self.fits(upstream, spec):
                return upstream
        return None
