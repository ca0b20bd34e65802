"""The root of every error this package raises."""

__all__ = ["JackdawspurError"]


class JackdawspurError(Exception):
    """Base of all errors of the package; each layer derives its own."""
