"""A log handler for standard output with a bounded rate that never blocks."""

import logging
import os
import time
from collections.abc import Callable

__all__ = ["BoundedOutput"]

MAX_LINES_PER_SECOND = 120
STDOUT = 1


class BoundedOutput(logging.Handler):
    """Writes log lines up to a maximum rate and reports how many were dropped.

    If the reader stops, the pipe fills up. A blocking write would then stop the only
    thread and thus all requests, so the line is dropped and counted instead.
    """

    def __init__(
        self,
        descriptor: int = STDOUT,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._second = 0
        self._written = 0
        self._dropped_lines = 0
        self._unsent = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line unless the limit of the current second is reached.

        Errors are written beyond the limit.
        """
        second = int(self._clock())
        if second != self._second:
            self._second, self._written = second, 0
        if self._written >= MAX_LINES_PER_SECOND and record.levelno < logging.ERROR:
            self._dropped_lines += 1
            return
        self._written += 1
        if self._dropped_lines:
            record.left_out = self._dropped_lines
        self._write(self.format(record).encode() + b"\n")

    def _write(self, line: bytes) -> None:
        data = self._unsent + line
        try:
            sent = os.write(self._descriptor, data)
        except BlockingIOError:
            self._dropped_lines += 1
            return
        except OSError:
            self._dropped_lines += 1
            return
        # The rest of a partly written line is written first next time, so that no line
        # is cut or mixed with the next one.
        self._unsent = data[sent:]
        self._dropped_lines = 0
