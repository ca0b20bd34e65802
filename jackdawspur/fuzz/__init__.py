"""Random input at every entrance: callers, operators, links, log and settings."""

__all__: list[str] = []
