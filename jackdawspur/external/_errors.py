"""Errors of external systems."""

from jackdawspur.exceptions import JackdawspurError

__all__ = ["LogTrimmed", "OutcomeUnknown", "PlatformError", "Unavailable"]


class PlatformError(JackdawspurError):
    """Base class of errors of calls to an external system."""


class Unavailable(PlatformError):
    """Raised when no byte of the request was sent, so it had no effect."""


class OutcomeUnknown(PlatformError):
    """Raised when a sent request got no reply, so it may have taken effect."""


class LogTrimmed(PlatformError):
    """Raised when the requested offset is no longer in the log.

    `first_offset` is the oldest offset that can still be read.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"the log now starts at offset {first_offset}")
        self.first_offset = first_offset
