"""The routes in force and their lookup by host and path."""

from dataclasses import dataclass, field

from jackdawspur.exceptions import JackdawspurError
from jackdawspur.runs import Route

__all__ = ["ConfigurationDecodeError", "NO_ROUTES", "RouteTable"]


class ConfigurationDecodeError(JackdawspurError):
    """Raised when a configuration is malformed or invalid; names the field."""


@dataclass(frozen=True, slots=True)
class RouteTable:
    """The routes of one configuration version, by host, longest prefix first."""

    version: int
    routes: tuple[Route, ...]
    max_body_bytes: int = 262_144
    max_head_bytes: int = 65_536
    _by_host: dict[str, list[Route]] = field(default_factory=dict, repr=False)

    def __post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda r: -len(r.path_prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    @property
    def services(self) -> frozenset[str]:
        """Return the services of all routes."""
        return frozenset(route.service for route in self.routes)

    @property
    def priorities_by_service(self) -> dict[str, frozenset[int]]:
        """Return the priorities of each service's routes."""
        priorities: dict[str, set[int]] = {}
        for route in self.routes:
            priorities.setdefault(route.service, set()).add(route.priority)
        return {service: frozenset(found) for service, found in priorities.items()}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None without a match."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


NO_ROUTES = RouteTable(0, ())
