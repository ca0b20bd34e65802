"""Fuzz tests of all inputs: callers, operators, links, the log and settings."""

__all__: list[str] = []
