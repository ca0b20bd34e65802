"""Resources that tasks need and upstreams have."""

from dataclasses import dataclass

__all__ = ["NO_RESOURCES", "Resources"]


@dataclass(frozen=True, slots=True)
class Resources:
    """Processor capacity in thousandths of a core, memory in MB, and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, available: "Resources") -> bool:
        """Return whether all of these resources are available."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


NO_RESOURCES = Resources()
