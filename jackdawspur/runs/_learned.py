"""What a leading host tells the others that it learned, as it goes in a heartbeat."""

import math
import struct
import zlib
from dataclasses import dataclass

import msgspec

from jackdawspur.model import UpstreamId
from jackdawspur.scheduling import Moments

__all__ = [
    "LearnedPace",
    "LearnedRoute",
    "LearnedStats",
    "MOST_PACE_TASKS",
    "MOST_ROUTE_TASKS",
    "PACE_BYTES",
    "boot_key",
    "pack_paces",
    "pack_route",
    "route_bytes",
    "unpack_paces",
    "unpack_route",
]

# More tasks make an estimate no surer: each further one counts by the least step.
MOST_PACE_TASKS = 8
MOST_ROUTE_TASKS = 50
# Bounds of moments on log scale: times of 1 ms to 60 s.
MOST_LOG_MS = math.log(60_000.0) + 0.01
MOST_VARIANCE = 128.0
MOST_NOISE = 4.0
# Longer names of routes would take the bytes of all others.
LONGEST_NAMES = 80
HEADERS_BYTES = 8

# Key of a boot, log pace as a level, count of tasks.
_PACE = struct.Struct("<IBB")
# Run time, declaration, spread, covariance and noise.
_MOMENTS = struct.Struct("<5e")
PACE_BYTES = _PACE.size


class LearnedRoute(msgspec.Struct, frozen=True, array_like=True):
    """Tell the run times of a route; with an empty name those of all of a service."""

    service: str
    route: str
    tasks: int
    moments: bytes


class LearnedStats(msgspec.Struct, frozen=True, array_like=True):
    """Tell paces of upstreams and run times of routes, some of them at a time."""

    paces: bytes = b""
    routes: tuple[LearnedRoute, ...] = ()


@dataclass(frozen=True, slots=True)
class LearnedPace:
    """Tell the level of one boot's pace, and from how many tasks it is known."""

    key: int
    level: int
    tasks: int


def boot_key(upstream: UpstreamId, boot: int) -> int:
    """Return what names one boot of an upstream in four bytes."""
    return zlib.crc32(f"{upstream}/{boot}".encode())


def pack_paces(paces: list[LearnedPace]) -> bytes:
    """Return the bytes of paces."""
    return b"".join(_PACE.pack(one.key, one.level, one.tasks) for one in paces)


def unpack_paces(data: bytes) -> list[LearnedPace]:
    """Return the paces of bytes, none of bytes that are no paces."""
    if len(data) % PACE_BYTES:
        return []
    read = (LearnedPace(*values) for values in _PACE.iter_unpack(data))
    return [one for one in read if 0 < one.tasks <= MOST_PACE_TASKS]


def pack_route(service: str, route: str, moments: Moments) -> LearnedRoute | None:
    """Return what is told of a route, None of one whose names are too long."""
    if len(service.encode()) + len(route.encode()) > LONGEST_NAMES:
        return None
    values = _MOMENTS.pack(
        moments.run,
        moments.declared,
        moments.spread,
        moments.covariance,
        moments.noise,
    )
    tasks = min(MOST_ROUTE_TASKS, moments.count)
    return LearnedRoute(service, route, tasks, values)


def route_bytes(told: LearnedRoute) -> int:
    """Return how many bytes a route takes at most."""
    names = len(told.service.encode()) + len(told.route.encode())
    return names + len(told.moments) + HEADERS_BYTES


def unpack_route(told: LearnedRoute) -> Moments | None:
    """Return the moments that are told of a route, None of absurd ones."""
    names = len(told.service.encode()) + len(told.route.encode())
    if len(told.moments) != _MOMENTS.size or not 0 < names <= LONGEST_NAMES:
        return None
    run, declared, spread, covariance, noise = _MOMENTS.unpack(told.moments)
    sane = (
        0 < told.tasks <= MOST_ROUTE_TASKS
        and 0.0 <= run <= MOST_LOG_MS
        and 0.0 <= declared <= MOST_LOG_MS
        and 0.0 <= spread <= MOST_VARIANCE
        and abs(covariance) <= MOST_VARIANCE
        and 0.0 <= noise <= MOST_NOISE
    )
    if not sane:
        return None
    return Moments(told.tasks, run, declared, spread, covariance, noise)
