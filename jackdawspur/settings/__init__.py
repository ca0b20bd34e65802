"""Settings of the programs, in JSON, checked against frozen data classes."""

import lazy_loader

# A host imports the modules that it uses: all of them cost its start a fifth of a
# second more, and a zone that lost power waits for its hosts.
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
