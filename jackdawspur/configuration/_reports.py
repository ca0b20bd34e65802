"""Records of the log that had no effect, as shown to operators."""

from dataclasses import dataclass

from jackdawspur.configuration._errors import SkipReason

__all__ = ["SkippedRecord", "VoidConfirm"]


@dataclass(frozen=True, slots=True)
class SkippedRecord:
    """Record of the log that was skipped, and the reason."""

    offset: int
    reason: SkipReason
    message: str


@dataclass(frozen=True, slots=True)
class VoidConfirm:
    """Confirm without effect, because its base was no longer the newest version."""

    offset: int
    plan: str
    base: int
    operator: str
    reason: str
    at: float
    won: int
