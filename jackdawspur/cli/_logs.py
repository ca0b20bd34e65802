"""Logs as JSON lines on standard error."""

import logging

from pythonjsonlogger.json import JsonFormatter

__all__ = ["set_up_logs"]

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logs(level: str, host: str) -> None:
    """Write one JSON object a line, with the host's name in each."""
    formatter = JsonFormatter(
        FIELDS,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"host_name": host},
    )
    output = logging.StreamHandler()
    output.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [output]
    root.setLevel(level)
