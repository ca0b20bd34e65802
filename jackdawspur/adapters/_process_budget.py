"""Memory and connections that a process may spend on its clients."""

import abc
import resource
from collections.abc import Callable, Iterable
from dataclasses import dataclass

__all__ = ["BudgetedServer", "ProcessBudget", "Releasable", "ResourceLimits"]

BYTES_PER_MB = 1 << 20
ASSUMED_MEMORY_MB = 256.0
# Memory of the modules and of the state that doesn't depend on clients.
BASE_MEMORY_MB = 64.0
# Fraction of the other memory for what clients sent. The rest is for buffers of the
# kernel, links and the allocator.
CLIENT_FRACTION = 0.5
MIN_CLIENT_FRACTION = 0.125
# Fraction of the descriptors for connections of clients. The rest is for upstreams,
# the store and links.
CONNECTION_FRACTION = 0.5
RECLAIM_DIVISOR = 16


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Memory and descriptors that a process may use; None if not stated."""

    memory_mb: float | None = None
    max_descriptors: int | None = None

    @property
    def client_bytes(self) -> int:
        """Return the memory for what clients sent and have not been answered."""
        memory_mb = self.memory_mb or ASSUMED_MEMORY_MB
        left_mb = CLIENT_FRACTION * (memory_mb - BASE_MEMORY_MB)
        return int(max(left_mb, MIN_CLIENT_FRACTION * memory_mb) * BYTES_PER_MB)

    @property
    def max_connections(self) -> int:
        """Return the number of connections of clients, on all addresses together."""
        allowed, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if allowed != resource.RLIM_INFINITY:
            stated = min(self.max_descriptors or allowed, allowed)
        else:
            stated = self.max_descriptors or 1024
        return max(1, int(CONNECTION_FRACTION * stated))

    def log_fields(self) -> dict[str, object]:
        """Return the fields for the log: the limits, and what follows from them."""
        return {
            "memory_mb": self.memory_mb,
            "max_descriptors": self.max_descriptors,
            "client_bytes": self.client_bytes,
            "max_connections": self.max_connections,
        }


@dataclass(frozen=True, slots=True)
class Releasable:
    """A connection that can be given up, and how many bytes it holds.

    `since` is when its request started.
    """

    size: int
    since: float
    release: Callable[[], None]


class BudgetedServer(abc.ABC):
    """A server whose connections share the budget of its process."""

    @property
    @abc.abstractmethod
    def connections(self) -> int:
        """Return the number of established connections."""

    @abc.abstractmethod
    def releasable(self) -> Iterable[Releasable]:
        """Return the connections that can be refused or closed."""

    @abc.abstractmethod
    def release_connection(self, newest: object) -> bool:
        """Close another connection without an open call; return False without one."""


class ProcessBudget:
    """Bound what the clients of all servers of a process hold together.

    A bound on each connection would either refuse legal requests or allow many of them
    to exceed the memory of the process.
    """

    def __init__(self, limits: ResourceLimits | None = None) -> None:
        limits = limits or ResourceLimits()
        self._max_bytes = limits.client_bytes
        self._max_connections = limits.max_connections
        self._used_bytes = 0
        self._servers: list[BudgetedServer] = []

    @property
    def free_bytes(self) -> int:
        """Return how much more clients may hold, negative beyond the bound."""
        return self._max_bytes - self._used_bytes

    @property
    def used_bytes(self) -> int:
        """Return how much clients hold."""
        return self._used_bytes

    @property
    def connections(self) -> int:
        """Return the number of connections on all addresses."""
        return sum(server.connections for server in self._servers)

    def register(self, server: BudgetedServer) -> None:
        """Add a server."""
        self._servers.append(server)

    def charge(self, size: int) -> None:
        """Record that clients hold more bytes, or fewer if `size` is negative."""
        self._used_bytes += size

    def reclaim(self) -> None:
        """Release the largest connections until the bound is met.

        Callers with small requests are not affected by others with large ones.
        """
        if self.free_bytes < 0:
            # Some more are released, so that the next bytes don't require it again.
            self.make_free(self._max_bytes // RECLAIM_DIVISOR)

    def make_free(self, size: int) -> bool:
        """Release the largest connections until a size fits; return whether it does."""
        if self.free_bytes < size:
            held = [item for server in self._servers for item in server.releasable()]
            held.sort(key=lambda item: (-item.size, item.since))
            for item in held:
                if self.free_bytes >= size:
                    break
                item.release()
        return self.free_bytes >= size

    def admit_connection(self, newest: object) -> bool:
        """Make room for a new connection; return False if all are in use.

        The server with the most connections gives way, so that many callers don't lock
        out readiness probes.
        """
        if self.connections <= self._max_connections:
            return True
        by_size = sorted(self._servers, key=lambda s: s.connections, reverse=True)
        return any(server.release_connection(newest) for server in by_size)
