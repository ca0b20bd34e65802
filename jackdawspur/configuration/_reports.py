"""Records of the log that had no effect, as shown to operators."""

from dataclasses import dataclass

from jackdawspur.configuration._errors import SkipReason

__all__ = ["Skipped", "Void"]


@dataclass(frozen=True, slots=True)
class Skipped:
    """Record that was skipped because this program can't apply it."""

    offset: int
    reason: SkipReason
    message: str


@dataclass(frozen=True, slots=True)
class Void:
    """Confirm that lost because its base was no longer current."""

    offset: int
    plan: str
    base: int
    operator: str
    reason: str
    at: float
    won: int
