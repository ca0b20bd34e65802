"""Run the command line as ``python -m jackdawspur``."""

import sys
from signal import SIG_IGN, SIGHUP, signal

__all__ = ["run"]

HOST_COMMAND = "front"


def run() -> int:
    """Run the command line with the process's arguments; entry point of the script."""
    if sys.argv[1:2] == [HOST_COMMAND]:
        # SIGHUP makes a host reload its settings, but would end the process until a
        # handler is installed, and the imports take half a second. Ignoring it here is
        # safe: the host has not read its settings yet, so it needs no reload.
        signal(SIGHUP, SIG_IGN)
    from jackdawspur.cli import main

    return main(sys.argv)


if __name__ == "__main__":
    sys.exit(run())
