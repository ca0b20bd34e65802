"""Interfaces of the outside systems, to be fitted to a customer's platform."""

import lazy_loader

# A host imports the modules that it uses: all of them cost its start a fifth of a
# second more, and a zone that lost power waits for its hosts.
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
