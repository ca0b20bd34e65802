"""Run the command line as ``python -m jackdawspur``."""

import sys
from signal import SIG_IGN, SIGHUP, signal

__all__ = ["run"]

HOST_COMMAND = "front"


def run() -> int:
    """Run the program's own arguments, as installers' scripts call it."""
    if sys.argv[1:2] == [HOST_COMMAND]:
        # Settings may change while a host starts. The signal that says so would end it,
        # and its imports take half a second; it has read no settings yet, so there is
        # nothing to read again.
        signal(SIGHUP, SIG_IGN)
    from jackdawspur.cli import main

    return main(sys.argv)


if __name__ == "__main__":
    sys.exit(run())
