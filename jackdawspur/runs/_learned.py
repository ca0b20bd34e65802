"""Learned values as a leader sends them to other hosts in heartbeats."""

import math
import struct
import zlib
from dataclasses import dataclass

import msgspec

from jackdawspur.model import UpstreamId
from jackdawspur.scheduling import Moments

__all__ = [
    "LearnedSlowdown",
    "LearnedRoute",
    "LearnedStats",
    "MAX_SLOWDOWN_TASKS",
    "MAX_ROUTE_TASKS",
    "SLOWDOWN_BYTES",
    "incarnation_key",
    "pack_slowdowns",
    "pack_route",
    "route_bytes",
    "unpack_slowdowns",
    "unpack_route",
]

# More tasks make an estimate no more reliable: each further one has the minimum weight.
MAX_SLOWDOWN_TASKS = 8
MAX_ROUTE_TASKS = 50
# Bounds of moments on a log scale: times of 1 ms to 60 s.
MAX_LOG_MS = math.log(60_000.0) + 0.01
MAX_VARIANCE = 128.0
MAX_NOISE = 4.0
# Longer names of routes would leave no bytes for other routes.
MAX_NAMES_BYTES = 80
HEADERS_BYTES = 8

# Key of an incarnation, level of its log slowdown, number of tasks.
_SLOWDOWN = struct.Struct("<IBB")
# Run time, declared time, spread, covariance and noise.
_MOMENTS = struct.Struct("<5e")
SLOWDOWN_BYTES = _SLOWDOWN.size


class LearnedRoute(msgspec.Struct, frozen=True, array_like=True):
    """Run times of a route, or of all routes of a service if its name is empty."""

    service: str
    route: str
    tasks: int
    moments: bytes


class LearnedStats(msgspec.Struct, frozen=True, array_like=True):
    """Some of the learned slowdowns of upstreams and run times of routes."""

    paces: bytes = b""
    routes: tuple[LearnedRoute, ...] = ()


@dataclass(frozen=True, slots=True)
class LearnedSlowdown:
    """Level of one incarnation's slowdown, and the number of tasks behind it."""

    key: int
    level: int
    tasks: int


def incarnation_key(upstream: UpstreamId, incarnation: int) -> int:
    """Return a key of four bytes for one incarnation of an upstream."""
    return zlib.crc32(f"{upstream}/{incarnation}".encode())


def pack_slowdowns(slowdowns: list[LearnedSlowdown]) -> bytes:
    """Return slowdowns encoded as bytes."""
    return b"".join(
        _SLOWDOWN.pack(slowdown.key, slowdown.level, slowdown.tasks)
        for slowdown in slowdowns
    )


def unpack_slowdowns(data: bytes) -> list[LearnedSlowdown]:
    """Return the slowdowns encoded in bytes, none if the bytes are invalid."""
    if len(data) % SLOWDOWN_BYTES:
        return []
    decoded = (LearnedSlowdown(*values) for values in _SLOWDOWN.iter_unpack(data))
    return [
        slowdown for slowdown in decoded if 0 < slowdown.tasks <= MAX_SLOWDOWN_TASKS
    ]


def pack_route(service: str, route: str, moments: Moments) -> LearnedRoute | None:
    """Return the values to send for a route, None if its names are too long."""
    if len(service.encode()) + len(route.encode()) > MAX_NAMES_BYTES:
        return None
    values = _MOMENTS.pack(
        moments.run,
        moments.declared,
        moments.spread,
        moments.covariance,
        moments.noise,
    )
    tasks = min(MAX_ROUTE_TASKS, moments.count)
    return LearnedRoute(service, route, tasks, values)


def route_bytes(learned: LearnedRoute) -> int:
    """Return how many bytes a route takes at most."""
    names_bytes = len(learned.service.encode()) + len(learned.route.encode())
    return names_bytes + len(learned.moments) + HEADERS_BYTES


def unpack_route(learned: LearnedRoute) -> Moments | None:
    """Return the moments of a received route, None if they are invalid."""
    names_bytes = len(learned.service.encode()) + len(learned.route.encode())
    if len(learned.moments) != _MOMENTS.size or not 0 < names_bytes <= MAX_NAMES_BYTES:
        return None
    run, declared, spread, covariance, noise = _MOMENTS.unpack(learned.moments)
    is_valid = (
        0 < learned.tasks <= MAX_ROUTE_TASKS
        and 0.0 <= run <= MAX_LOG_MS
        and 0.0 <= declared <= MAX_LOG_MS
        and 0.0 <= spread <= MAX_VARIANCE
        and abs(covariance) <= MAX_VARIANCE
        and 0.0 <= noise <= MAX_NOISE
    )
    if not is_valid:
        return None
    return Moments(learned.tasks, run, declared, spread, covariance, noise)
