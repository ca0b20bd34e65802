"""Loading of the platform's settings file into the product's settings."""

import os
from pathlib import Path

from jackdawspur.settings import HostSettings, SettingsError, check_host_settings

__all__ = ["SETTINGS_VARIABLE", "load_platform_settings"]

SETTINGS_VARIABLE = "JACKDAWSPUR_CONFIG"
# Port of the metrics endpoint, as given in the deploy file. Links between hosts use the
# first port of `port_range`, which hosts may use freely.
METRICS_PORT = 9464
# Descriptors of `limits.max_fds` that are reserved for files.
FILE_DESCRIPTORS = 200


def load_platform_settings(path: str | None = None) -> HostSettings:
    """Return the validated settings in a file; raise `SettingsError` if invalid.

    Without `path` the file is taken from the environment variable.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE}: expected the path of a file")
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return to_host_settings(_parse_fields(text), path)


def to_host_settings(fields: dict[str, str], path: str) -> HostSettings:
    """Return the product's settings for the platform's fields.

    Raise `SettingsError` with the names of all invalid fields.
    """
    ip, ports = fields.get("ip", ""), fields.get("port_range", "")
    values = {
        "name": fields.get("node_name"),
        "zone": fields.get("zone"),
        "callers": fields.get("listen.front"),
        "ready": fields.get("listen.ready"),
        "link": f"{ip}:{ports.partition(',')[0]}",
        "metrics": f"{ip}:{METRICS_PORT}",
        "store": fields.get("platform.address"),
        "grace_s": fields.get("bounds.grace_s"),
        "processor": _processor_cores(fields),
        "link_mbps": fields.get("limits.link_mbps"),
        "memory_mb": fields.get("limits.memory_mb"),
        "max_descriptors": _socket_descriptors(fields),
        "remote_factor": fields.get("bounds.remote_factor"),
    }
    given_values = {name: value for name, value in values.items() if value}
    return check_host_settings(
        given_values, path, display_names=_PLATFORM_FIELD_NAMES, numbers_as_text=True
    )


# The platform's names of fields that the product names differently, for error messages.
_PLATFORM_FIELD_NAMES = {
    "name": "node_name",
    "callers": "listen.front",
    "ready": "listen.ready",
    "link": "ip or port_range",
    "metrics": "ip",
    "store": "platform.address",
    "grace_s": "bounds.grace_s",
    "processor": "limits.cpu_share or limits.cores",
    "link_mbps": "limits.link_mbps",
    "memory_mb": "limits.memory_mb",
    "max_descriptors": "limits.max_fds",
    "remote_factor": "bounds.remote_factor",
}


def _processor_cores(fields: dict[str, str]) -> float | str | None:
    """Return the number of cores, or a text that validation will reject."""
    share, cores = fields.get("limits.cpu_share"), fields.get("limits.cores")
    if not share:
        return None
    try:
        return float(share) * float(cores or 1)
    except ValueError:
        return f"{share} x {cores}"


def _socket_descriptors(fields: dict[str, str]) -> int | str | None:
    """Return the descriptors for sockets, or a text that validation will reject."""
    stated = fields.get("limits.max_fds")
    if stated and stated.isascii() and stated.isdigit():
        return int(stated) - FILE_DESCRIPTORS
    return stated


def _parse_fields(text: str) -> dict[str, str]:
    pairs = (line.partition("=") for line in text.splitlines())
    return {
        name.strip(): value.strip() for name, separator, value in pairs if separator
    }
