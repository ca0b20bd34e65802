"""Settings files of the programs, in JSON, validated against frozen data classes."""

import lazy_loader

# Modules are imported lazily: importing all of them makes a host's start a fifth of a
# second slower, and a zone that recovers from a power loss waits for its hosts.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_address": ["check_address"],
        "_entry": ["EntrySettings", "OperatorSettings", "PeerSettings"],
        "_errors": ["SettingsError"],
        "_host": ["HostSettings", "check_host_settings", "load_host_settings"],
        "_load": ["load_settings"],
        "_standins": [
            "HostListStandinSettings",
            "ListedHostSettings",
            "LogStandinSettings",
            "PlatformStandinSettings",
            "WorkerPoolStandinSettings",
        ],
    },
)
