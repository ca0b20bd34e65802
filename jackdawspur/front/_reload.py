"""Settings that change while a host runs."""

import logging
from collections.abc import Callable
from dataclasses import asdict, replace

from jackdawspur.settings import HostSettings, SettingsError

__all__ = ["reloaded"]

# Settings that need no restart.
RELOADED = ("grace_s", "log_level")

log = logging.getLogger("jackdawspur.host")


def reloaded(
    before: HostSettings, read_settings: Callable[[], HostSettings]
) -> HostSettings:
    """Return what is in force once settings were read again.

    A bad file changes nothing.
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
            "in_force_after_restart": [n for n in changed if n not in RELOADED],
        },
    )
    return replace(before, **{name: getattr(settings, name) for name in RELOADED})
