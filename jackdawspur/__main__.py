"""Run the command line as ``python -m jackdawspur``."""

import sys

from jackdawspur.cli import main

__all__ = ["main", "run"]


def run() -> int:
    """Run the program's own arguments, as installers' scripts call it."""
    return main(sys.argv)


if __name__ == "__main__":
    sys.exit(run())
