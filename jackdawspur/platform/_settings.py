"""The platform's settings file, as the product's own settings."""

import os
from pathlib import Path

from jackdawspur.settings import HostSettings, SettingsError, check_host_settings

__all__ = ["SETTINGS_VARIABLE", "load_platform_settings"]

SETTINGS_VARIABLE = "JACKDAWSPUR_CONFIG"
# Where the deploy file says that counters are served; links use the first port of the
# range that is free for hosts.
METRICS_PORT = 9464


def load_platform_settings(path: str | None = None) -> HostSettings:
    """Return the checked settings of a file; raise `SettingsError`.

    Without a path the environment names the file.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE}: expected the path of a file")
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return settings_of(_fields(text), path)


def settings_of(fields: dict[str, str], path: str) -> HostSettings:
    """Return the product's settings of the platform's fields; name all wrong ones."""
    ip, ports = fields.get("ip", ""), fields.get("port_range", "")
    data = {
        "name": fields.get("node_name"),
        "zone": fields.get("zone"),
        "callers": fields.get("listen.front"),
        "ready": fields.get("listen.ready"),
        "link": f"{ip}:{ports.partition(',')[0]}",
        "metrics": f"{ip}:{METRICS_PORT}",
        "store": fields.get("platform.address"),
        "grace_s": fields.get("bounds.grace_s"),
        "processor": _processor(fields),
        "link_mbps": fields.get("limits.link_mbps"),
    }
    given = {name: value for name, value in data.items() if value}
    return check_host_settings(
        given, path, display_names=_FIELD_OF, numbers_as_text=True
    )


# What the product calls differently, for messages about wrong values.
_FIELD_OF = {
    "name": "node_name",
    "callers": "listen.front",
    "ready": "listen.ready",
    "link": "ip or port_range",
    "metrics": "ip",
    "store": "platform.address",
    "grace_s": "bounds.grace_s",
    "processor": "limits.cpu_share or limits.cores",
    "link_mbps": "limits.link_mbps",
}


def _processor(fields: dict[str, str]) -> float | str | None:
    """Return the host's cores; a text that is no number is left to the checks."""
    share, cores = fields.get("limits.cpu_share"), fields.get("limits.cores")
    if not share:
        return None
    try:
        return float(share) * float(cores or 1)
    except ValueError:
        return f"{share} x {cores}"


def _fields(text: str) -> dict[str, str]:
    pairs = (line.partition("=") for line in text.splitlines())
    return {name.strip(): value.strip() for name, sep, value in pairs if sep}
