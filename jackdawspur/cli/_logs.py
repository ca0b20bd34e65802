"""Configuration of logging as JSON lines."""

import logging

from pythonjsonlogger.json import JsonFormatter

from jackdawspur.cli._bounded_output import BoundedOutput

__all__ = ["json_formatter", "set_up_bounded_logs", "set_up_logs"]

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def json_formatter(host: str) -> JsonFormatter:
    """Return a formatter that encodes records as JSON with the name of the host."""
    return JsonFormatter(
        FIELDS,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"host_name": host},
    )


def set_up_logs(level: str, host: str) -> None:
    """Log to standard error, one JSON object per line."""
    _install_handler(logging.StreamHandler(), level, host)


def set_up_bounded_logs(level: str, host: str) -> None:
    """Log JSON lines to standard output, at a bounded rate and without blocking."""
    _install_handler(BoundedOutput(), level, host)


def _install_handler(log_handler: logging.Handler, level: str, host: str) -> None:
    log_handler.setFormatter(json_formatter(host))
    root = logging.getLogger()
    root.handlers = [log_handler]
    root.setLevel(level)
