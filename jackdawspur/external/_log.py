"""The interface of the platform's append-only log."""

import abc
import enum
from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from jackdawspur.external._errors import PlatformError

__all__ = ["Log", "LogRecord", "Stream"]


class Stream(enum.StrEnum):
    """Name the streams this system keeps in the log."""

    CONFIGURATION = "configuration"
    CLAIMS = "claims"


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Carry one record and its place; `body` is JSON text."""

    offset: int
    body: str


Appended = Callable[[Result[int, PlatformError]], None]
Read = Callable[[Result[tuple[LogRecord, ...], PlatformError]], None]


class Log(abc.ABC):
    """Append to and read from the log; every call returns at once."""

    @abc.abstractmethod
    def append(self, stream: str, body: str, done: Appended) -> None:
        """Append a record and report its offset; `OutcomeUnknown` may stand."""

    @abc.abstractmethod
    def read(self, stream: str, offset: int, wait_ms: float, done: Read) -> None:
        """Report records from `offset` on, or `LogTrimmed`."""
