"""Errors of the outside systems."""

from jackdawspur.exceptions import JackdawspurError

__all__ = ["LogTrimmed", "OutcomeUnknown", "PlatformError", "Unavailable"]


class PlatformError(JackdawspurError):
    """Base of errors met at an outside system."""


class Unavailable(PlatformError):
    """Raise when no byte of the request left this host: nothing took effect."""


class OutcomeUnknown(PlatformError):
    """Raise when the request left and no reply came: it may have taken effect."""


class LogTrimmed(PlatformError):
    """Raise when the wanted offset was trimmed away.

    `first_offset` is the oldest offset that can still be read.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"the log now starts at offset {first}")
        self.first_offset = first
