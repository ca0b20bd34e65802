"""Errors of the configuration."""

import enum
from dataclasses import dataclass

from jackdawspur.exceptions import JackdawspurError

__all__ = [
    "ConfigurationError",
    "FieldError",
    "InvalidConfiguration",
    "RecordError",
    "SkipReason",
]


class SkipReason(enum.StrEnum):
    """Say why a record of the log changed nothing."""

    UNREADABLE = "unreadable"
    FOREIGN = "foreign"
    NEWER_SCHEMA = "newer_schema"
    INVALID = "invalid"
    LOG_WENT_BACK = "log_went_back"


@dataclass(frozen=True, slots=True)
class FieldError:
    """Name a field by its path and say what is wrong with it."""

    path: str
    message: str


class ConfigurationError(JackdawspurError):
    """Base of errors in the configuration."""


class InvalidConfiguration(ConfigurationError):
    """Raise with every fault of a document or intent at once."""

    def __init__(self, errors: tuple[FieldError, ...]) -> None:
        super().__init__("; ".join(f"{e.path}: {e.message}" for e in errors))
        self.errors = errors


class RecordError(ConfigurationError):
    """Raise when a record of the log can't be folded here."""

    def __init__(self, reason: SkipReason, message: str) -> None:
        super().__init__(message)
        self.reason = reason
