"""The command line."""

from jackdawspur.cli._main import main

__all__ = ["main"]
