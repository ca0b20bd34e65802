"""Reloading of settings while a host runs."""

import logging
from collections.abc import Callable
from dataclasses import asdict, replace

from jackdawspur.settings import HostSettings, SettingsError

__all__ = ["reload_settings"]

# Settings that take effect without a restart.
RELOADABLE = (
    "grace_s",
    "log_level",
    "priority_weights",
    "late_weight",
    "min_served_fraction",
    "remote_factor",
)

log = logging.getLogger("jackdawspur.host")


def reload_settings(
    before: HostSettings, read_settings: Callable[[], HostSettings]
) -> HostSettings:
    """Read the settings again and return those in force.

    If the file is invalid the previous settings stay in force.
    """
    try:
        settings = read_settings()
    except SettingsError as error:
        log.error("settings refused", extra={"reason": str(error)})
        return before
    old = asdict(before)
    changed = [name for name, value in asdict(settings).items() if value != old[name]]
    logging.getLogger().setLevel(settings.log_level)
    log.info(
        "settings read again",
        extra={
            "changed": changed,
            "in_force_after_restart": [n for n in changed if n not in RELOADABLE],
        },
    )
    return replace(before, **{name: getattr(settings, name) for name in RELOADABLE})
