"""Reports of load that leaders send in heartbeats."""

import msgspec

__all__ = ["DemandState", "LevelLoad", "RouteDemand", "ServiceLoad"]


class LevelLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a service for jobs of one priority.

    `wait_ms` is the expected wait of a job that arrives now. `spare` is the work per
    second, in thousandths of a core, that the sender can do for the receiver's jobs of
    this priority beyond the demand of this and more urgent ones. If it is negative,
    that demand exceeds the sender's capacity by as much.
    """

    priority: int
    wait_ms: int
    spare: int


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a service in a group, for the leaders of other groups."""

    service: str
    levels: tuple[LevelLoad, ...] = ()


class RouteDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one class of jobs: a route, and whether its jobs can only be late.

    `work` is in thousandths of a core, `jobs_per_s` in jobs per second, `mean_work` in
    thousandths of a core times seconds. `admitted` is the admitted fraction.
    """

    service: str
    route: str
    late: bool
    work: float
    jobs_per_s: float
    mean_work: float
    admitted: float = 1.0
    priority: int = 0


class DemandState(msgspec.Struct, frozen=True, array_like=True):
    """Demand that a leader has seen, for the next leader of its group."""

    classes: tuple[RouteDemand, ...] = ()
