"""Logs as JSON lines on standard error."""

import logging

from pythonjsonlogger.json import JsonFormatter

from jackdawspur.cli._bounded_output import BoundedOutput

__all__ = ["json_formatter", "set_up_bounded_logs", "set_up_logs"]

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def json_formatter(host: str) -> JsonFormatter:
    """Return what turns a record into a JSON object, with the host's name in it."""
    return JsonFormatter(
        FIELDS,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"host_name": host},
    )


def set_up_logs(level: str, host: str) -> None:
    """Write one JSON object a line to standard error."""
    _use(logging.StreamHandler(), level, host)


def set_up_bounded_logs(level: str, host: str) -> None:
    """Write JSON lines to standard output, at a bounded rate and without blocking."""
    _use(BoundedOutput(), level, host)


def _use(output: logging.Handler, level: str, host: str) -> None:
    output.setFormatter(json_formatter(host))
    root = logging.getLogger()
    root.handlers = [output]
    root.setLevel(level)
