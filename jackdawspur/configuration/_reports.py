"""Reports on records that did not come into force."""

from dataclasses import dataclass

from jackdawspur.configuration._errors import SkipReason

__all__ = ["Skipped", "Void"]


@dataclass(frozen=True, slots=True)
class Skipped:
    """Report a record that changed nothing."""

    offset: int
    reason: SkipReason
    message: str


@dataclass(frozen=True, slots=True)
class Void:
    """Report a confirm that lost: its base was no longer current."""

    offset: int
    plan: str
    base: int
    operator: str
    reason: str
    at: float
    won: int
