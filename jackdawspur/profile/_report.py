"""Figures about requests: what each stage took, and who was not served."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from jackdawspur.profile._records import LogRecords, RequestRecord

__all__ = [
    "PERCENTILE_LABELS",
    "GroupRow",
    "LossRow",
    "Profile",
    "Quantiles",
    "StageRow",
    "build_profile",
]

PERCENTILES = (10, 50, 90, 99)
PERCENTILE_LABELS = tuple(f"{percentile} %" for percentile in PERCENTILES)
# A caller whose limit leaves this many times what its job needs could wait.
AMPLE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Percentiles of a time in milliseconds, None without values."""

    count: int
    p10: float | None = None
    p50: float | None = None
    p90: float | None = None
    p99: float | None = None

    @property
    def values(self) -> tuple[float | None, ...]:
        """Return the percentiles, the lowest first."""
        return self.p10, self.p50, self.p90, self.p99


@dataclass(frozen=True, slots=True)
class StageRow:
    """What a stage of the path took for the served requests of a route."""

    route: str
    stage: str
    took: Quantiles


@dataclass(frozen=True, slots=True)
class GroupRow:
    """Requests with one value of a dimension: how many, unserved ones, and times."""

    value: str
    requests: int
    unserved: int
    redirected: int
    took: Quantiles


@dataclass(frozen=True, slots=True)
class LossRow:
    """Requests that one cause cost; `ample` of them could have waited by far.

    Their callers' limits left `AMPLE_FACTOR` times what their jobs needed.
    """

    cause: str
    priority: int
    requests: int
    ample: int
    waited: Quantiles


@dataclass(frozen=True, slots=True)
class Profile:
    """The path of requests by dimension, and the causes of what was not served."""

    stages: tuple[StageRow, ...]
    groups: dict[str, tuple[GroupRow, ...]]
    losses: tuple[LossRow, ...]
    damaged_lines: int
    dropped_lines: int


def build_profile(records: LogRecords, span_s: float) -> Profile:
    """Return the profile of all requests, in spans of `span_s` seconds."""
    requests = records.requests
    first_at = min((request.at for request in requests), default=0.0)
    dimensions: dict[str, Callable[[RequestRecord], str]] = {
        "route": lambda request: f"{request.route} (priority {request.priority})",
        "zone": lambda request: request.zone,
        "leader": lambda request: request.leader,
        "seconds": lambda request: _span(request.at - first_at, span_s),
    }
    return Profile(
        tuple(_stages(requests)),
        {name: tuple(_groups(requests, key)) for name, key in dimensions.items()},
        tuple(_losses(requests)),
        records.damaged_lines,
        records.dropped_lines,
    )


def _span(at: float, span_s: float) -> str:
    """Return the start of a span, padded so that spans are sorted by time."""
    return f"{math.floor(at / span_s) * span_s:9.1f}"


def _stages(requests: Sequence[RequestRecord]) -> Iterable[StageRow]:
    for route in sorted({request.route for request in requests}):
        served = [r for r in requests if r.route == route and r.served]
        for stage, begin, end in (
            ("until the leader has it", None, "reached_ms"),
            ("until the first start", "reached_ms", "first_start_ms"),
            ("until the last start", "first_start_ms", "last_start_ms"),
            ("until all tasks are done", "last_start_ms", "ended_ms"),
            ("until the answer", "ended_ms", "took_ms"),
            ("in all", None, "took_ms"),
        ):
            times = [_between(request, begin, end) for request in served]
            yield StageRow(route, stage, _quantiles(t for t in times if t is not None))


def _between(request: RequestRecord, begin: str | None, end: str) -> float | None:
    """Return the time between two events, None if the log lacks one of them."""
    begin_ms = 0.0 if begin is None else getattr(request, begin)
    end_ms = getattr(request, end)
    return None if begin_ms is None or end_ms is None else end_ms - begin_ms


def _groups(
    requests: Sequence[RequestRecord], key: Callable[[RequestRecord], str]
) -> Iterable[GroupRow]:
    by_value: dict[str, list[RequestRecord]] = {}
    for request in requests:
        by_value.setdefault(key(request), []).append(request)
    for value, found in sorted(by_value.items()):
        yield GroupRow(
            value.strip(),
            len(found),
            sum(not request.served for request in found),
            sum(request.redirected for request in found),
            _quantiles(request.took_ms for request in found if request.served),
        )


def _losses(requests: Sequence[RequestRecord]) -> Iterable[LossRow]:
    unserved = [request for request in requests if not request.served]
    counts = Counter((request.cause, request.priority) for request in unserved)
    for (cause, priority), count in counts.most_common():
        found = [r for r in unserved if (r.cause, r.priority) == (cause, priority)]
        waited = _quantiles(request.took_ms for request in found)
        yield LossRow(cause, priority, count, sum(map(_is_ample, found)), waited)


def _is_ample(request: RequestRecord) -> bool:
    left_ms, needs_ms = (request.inputs.get(name) for name in ("left_ms", "needs_ms"))
    if left_ms is None or needs_ms is None:
        return False
    return left_ms >= AMPLE_FACTOR * needs_ms


def _quantiles(times_ms: Iterable[float]) -> Quantiles:
    """Return the percentiles by the nearest rank."""
    ordered = sorted(times_ms)
    if not ordered:
        return Quantiles(0)
    ranks = [max(1, math.ceil(len(ordered) * p / 100)) for p in PERCENTILES]
    return Quantiles(len(ordered), *(round(ordered[rank - 1], 1) for rank in ranks))
