"""Log lines to standard output that never block and never flood."""

import logging
import os
import time
from collections.abc import Callable

__all__ = ["BoundedOutput"]

LINES_A_SECOND = 120
STDOUT = 1


class BoundedOutput(logging.Handler):
    """Write lines up to a rate; say how many were left out.

    A reader that stops fills the pipe. A write that blocked then would stop the only
    thread there is, and with it all requests, so the line is dropped and counted.
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
        self._left_out = 0
        self._rest = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, unless this second's are used up."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._written = second, 0
        if self._written >= LINES_A_SECOND and record.levelno < logging.ERROR:
            self._left_out += 1
            return
        self._written += 1
        if self._left_out:
            record.left_out = self._left_out
        self._write(self.format(record).encode() + b"\n")

    def _write(self, line: bytes) -> None:
        data = self._rest + line
        try:
            sent = os.write(self._descriptor, data)
        except BlockingIOError:
            self._left_out += 1
            return
        except OSError:
            self._left_out += 1
            return
        # The rest of a line that was cut goes first next time, so lines stay whole.
        self._rest = data[sent:]
        self._left_out = 0
