"""Settings of the programs, in JSON, checked against frozen data classes."""

from jackdawspur.settings._entry import (
    EntrySettings,
    OperatorSettings,
    SiblingSettings,
)
from jackdawspur.settings._host import HostSettings
from jackdawspur.settings._load import SettingsError, load_settings
from jackdawspur.settings._standins import (
    HostListStandin,
    ListedHostSettings,
    LogStandin,
    PlatformStandin,
    RackStandin,
)

__all__ = [
    "EntrySettings",
    "HostListStandin",
    "HostSettings",
    "ListedHostSettings",
    "LogStandin",
    "OperatorSettings",
    "PlatformStandin",
    "RackStandin",
    "SettingsError",
    "SiblingSettings",
    "load_settings",
]
