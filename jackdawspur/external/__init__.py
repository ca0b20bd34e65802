"""Interfaces to external systems, to be implemented for a customer's platform."""

import lazy_loader

# Modules are imported lazily: importing all of them makes a host's start a fifth of a
# second slower, and a zone that recovers from a power loss waits for its hosts.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_errors": ["LogTrimmed", "OutcomeUnknown", "PlatformError", "Unavailable"],
        "_hostlist": ["HostList", "HostRole", "ListedHost"],
        "_log": ["Log", "LogRecord", "Stream"],
        "_upstream": [
            "RefusalReason",
            "StartVerdict",
            "TaskStart",
            "UpstreamClient",
            "UpstreamReply",
            "Usage",
        ],
    },
)
