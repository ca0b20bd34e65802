"""The interface to the platform's append-only log."""

import abc
import enum
from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from jackdawspur.external._errors import PlatformError

__all__ = ["Log", "LogRecord", "Stream"]


class Stream(enum.StrEnum):
    """The streams in the log that this system uses."""

    CONFIGURATION = "configuration"
    CLAIMS = "claims"


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A record and its offset; `body` is JSON text."""

    offset: int
    body: str


AppendCallback = Callable[[Result[int, PlatformError]], None]
ReadCallback = Callable[[Result[tuple[LogRecord, ...], PlatformError]], None]


class Log(abc.ABC):
    """Appends to and reads from the log; calls return at once."""

    @abc.abstractmethod
    def append(self, stream: str, body: str, done: AppendCallback) -> None:
        """Append a record and pass its offset to `done`.

        A record whose append ended with `OutcomeUnknown` may be in the log.
        """

    @abc.abstractmethod
    def read(
        self, stream: str, offset: int, wait_ms: float, done: ReadCallback
    ) -> None:
        """Pass the records from `offset` on, or `LogTrimmed`, to `done`."""
