"""How large jobs are served beside the others of their kind."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

__all__ = [
    "JobRecord",
    "LostJob",
    "Servable",
    "largest_tenth",
    "achievable_share",
    "servable",
    "served_share",
]

PARTS = 10
DIGITS = 3


@dataclass(frozen=True, slots=True)
class LostJob:
    """Tell why a job was lost; milliseconds count from its coming.

    `cause` is what the product tells, `seen` what the bench knows, `longest_ms` what
    the longest task really takes at a pace of 1, `after_ms` when the job ended and
    `believed` the pace that was believed of the upstream whose task ends last.
    """

    cause: str
    seen: str = ""
    first_start_ms: int | None = None
    last_start_ms: int | None = None
    longest_ms: int = 0
    after_ms: int = 0
    believed: float = 0.0
    came_s: float = 0.0
    far: bool = False


@dataclass(frozen=True, slots=True)
class JobRecord:
    """Tell what came of one job; `size` is its work in core-seconds.

    `min_run_s` is what its longest task takes on the fastest upstream, in seconds.
    A job is `servable` that would end in time if begun at once on a usual one.
    """

    kind: str
    size: float
    min_run_s: float
    served: bool
    servable: bool = True
    arrived: float = 0.0
    lost: LostJob | None = None


def largest_tenth(records: Iterable[JobRecord], kind: str) -> list[JobRecord]:
    """Return the largest tenth of the jobs of a kind."""
    of_kind = sorted(
        (one for one in records if one.kind == kind), key=lambda one: one.size
    )
    return of_kind[len(of_kind) - len(of_kind) // PARTS :]


def served_share(records: Sequence[JobRecord]) -> float:
    """Return the share of jobs that were served, on time or late."""
    return round(sum(one.served for one in records) / max(1, len(records)), DIGITS)


def achievable_share(records: Sequence[JobRecord], limit_s: float) -> float:
    """Return the share that ends within the limit if begun at once where it is fast."""
    count = sum(one.min_run_s <= limit_s for one in records)
    return round(count / max(1, len(records)), DIGITS)


@dataclass(frozen=True, slots=True)
class Servable:
    """Count jobs, those that could be served, and those of them that were.

    `causes` counts the servable ones that were lost, by what the product tells and by
    what the bench saw; `lost` lists them.
    """

    jobs: int
    servable: int
    served: int
    share: float
    causes: dict[str, int]
    lost: tuple[LostJob, ...]


def servable(records: Sequence[JobRecord]) -> Servable:
    """Return how many jobs could be served, and what became of them."""
    could = [one for one in records if one.servable]
    lost = tuple(one.lost for one in could if one.lost)
    served = sum(one.served for one in could)
    causes = Counter(f"{one.cause}, {one.seen}" for one in lost)
    share = round(served / max(1, len(could)), DIGITS)
    ordered = dict(causes.most_common())
    return Servable(len(records), len(could), served, share, ordered, lost)
