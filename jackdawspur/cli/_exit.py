"""Exit codes and errors of the command line."""

import enum

from jackdawspur.exceptions import JackdawspurError

__all__ = ["ExitCode", "UsageError"]


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    BROKEN = 5
    INTERRUPTED = 130

    @property
    def meaning(self) -> str:
        """Return a description of the exit code."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "a job failed or its outcome is unknown",
    ExitCode.USAGE: "an invalid flag, argument or settings file",
    ExitCode.REFUSED: "refused; no task ran if the reply says so",
    ExitCode.UNREACHABLE: "the entry host did not answer",
    ExitCode.BROKEN: "an invariant was broken",
    ExitCode.INTERRUPTED: "interrupted",
}


class UsageError(JackdawspurError):
    """Raised when a command is called with invalid arguments."""
