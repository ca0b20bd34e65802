"""Exceptions of the bench."""

from jackdawspur.exceptions import JackdawspurError

__all__ = ["BoundsFileError", "BenchError"]


class BenchError(JackdawspurError):
    """Base class of the exceptions of the bench."""


class BoundsFileError(BenchError):
    """Raised when the bounds file can't be read."""
