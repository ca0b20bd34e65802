"""Processors, memory and accelerators that running tasks occupy."""

from collections.abc import Iterable, Sequence

from jackdawspur.model import TaskSpec, Upstream, UpstreamId

__all__ = ["Room"]


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


class Room:
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

    def first_fit(
        self, upstreams: Sequence[UpstreamId], spec: TaskSpec
    ) -> UpstreamId | None:
        """Return the first of the upstreams that has room."""
        for upstream in upstreams:
            if self.fits(upstream, spec):
                return upstream
        return None
