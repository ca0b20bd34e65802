"""Events of an HTTP server."""

from circuits import Event

__all__ = ["probe", "proceed", "sweep"]


class sweep(Event):
    """Close connections that send too slowly."""


class probe(Event):
    """Probe the callers whose connection isn't read."""


class proceed(Event):
    """Handle the next pipelined request of a connection."""
