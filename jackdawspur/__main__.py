"""Run the command line as ``python -m jackdawspur``."""

import sys

from jackdawspur.cli import main

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main(sys.argv))
