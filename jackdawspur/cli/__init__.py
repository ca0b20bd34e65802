"""Command line of the dispatcher."""

from jackdawspur.cli._main import main

__all__ = ["main"]
