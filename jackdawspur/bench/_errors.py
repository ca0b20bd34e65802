"""Errors of the bench."""

from jackdawspur.exceptions import JackdawspurError

__all__ = ["BadBounds", "BenchError"]


class BenchError(JackdawspurError):
    """Base of errors of the bench."""


class BadBounds(BenchError):
    """Raise when the file of bounds can't be read."""
