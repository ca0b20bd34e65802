"""The base class of all exceptions of this package."""

__all__ = ["JackdawspurError"]


class JackdawspurError(Exception):
    """Base class of all exceptions of the package; each layer derives its own."""
