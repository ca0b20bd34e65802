"""How large jobs are served beside the others of their kind."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

__all__ = ["JobFate", "largest_tenth", "possible_share", "served_share"]

PARTS = 10
DIGITS = 3


@dataclass(frozen=True, slots=True)
class JobFate:
    """Tell what came of one job; `size` is its work in core-seconds.

    `least_s` is what its longest task takes on the fastest upstream, in seconds.
    """

    kind: str
    size: float
    least_s: float
    served: bool


def largest_tenth(fates: Iterable[JobFate], kind: str) -> list[JobFate]:
    """Return the largest tenth of the jobs of a kind."""
    of_kind = sorted(
        (one for one in fates if one.kind == kind), key=lambda one: one.size
    )
    return of_kind[len(of_kind) - len(of_kind) // PARTS :]


def served_share(fates: Sequence[JobFate]) -> float:
    """Return the share of jobs that were served, on time or late."""
    return round(sum(one.served for one in fates) / max(1, len(fates)), DIGITS)


def possible_share(fates: Sequence[JobFate], limit_s: float) -> float:
    """Return the share that ends within the limit if begun at once where it is fast."""
    count = sum(one.least_s <= limit_s for one in fates)
    return round(count / max(1, len(fates)), DIGITS)
