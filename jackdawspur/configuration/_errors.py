"""Exceptions and error details of the configuration."""

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
    """Reason why a record of the log was skipped."""

    UNREADABLE = "unreadable"
    FOREIGN = "foreign"
    NEWER_SCHEMA = "newer_schema"
    INVALID = "invalid"
    LOG_WENT_BACK = "log_went_back"


@dataclass(frozen=True, slots=True)
class FieldError:
    """Path of an invalid field, and the reason."""

    path: str
    message: str


class ConfigurationError(JackdawspurError):
    """Base class of the configuration's exceptions."""


class InvalidConfiguration(ConfigurationError):
    """Raised with all errors of a document or intent."""

    def __init__(self, errors: tuple[FieldError, ...]) -> None:
        super().__init__("; ".join(f"{e.path}: {e.message}" for e in errors))
        self.errors = errors


class RecordError(ConfigurationError):
    """Raised when this program can't decode or apply a record of the log."""

    def __init__(self, reason: SkipReason, message: str) -> None:
        super().__init__(message)
        self.reason = reason
