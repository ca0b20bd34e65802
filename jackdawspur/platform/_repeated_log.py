"""Logging of errors that recur until their cause is removed."""

import logging

__all__ = ["RepeatedErrorLog"]

# Bounds on the number of sources that are remembered, and on the logged length of
# texts: a faulty writer may write many entries with long names and values.
MAX_SOURCES = 1000
MAX_TEXT_LENGTH = 80
MAX_REASON_LENGTH = 200


class RepeatedErrorLog:
    """Logs the error of each source once, until it changes or is resolved."""

    def __init__(self, log: logging.Logger, source_field: str) -> None:
        self._log = log
        self._source_field = source_field
        self._reasons: dict[str, str] = {}

    def add(self, source: str, message: str, reason: str) -> None:
        """Log an error of a source, unless it is the one logged last."""
        key, reason = source[:MAX_TEXT_LENGTH], reason[:MAX_REASON_LENGTH]
        if self._reasons.get(key) == reason:
            return
        self._reasons[key] = reason
        self._log.warning(message, extra={self._source_field: key, "reason": reason})
        while len(self._reasons) > MAX_SOURCES:
            del self._reasons[next(iter(self._reasons))]

    def resolve(self, source: str) -> None:
        """Record that a source has no error now."""
        self._reasons.pop(source[:MAX_TEXT_LENGTH], None)
