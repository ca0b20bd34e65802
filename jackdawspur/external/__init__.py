"""Interfaces of the outside systems, to be fitted to a customer's platform."""

from jackdawspur.external._errors import (
    LogTrimmed,
    OutcomeUnknown,
    PlatformError,
    Unavailable,
)
from jackdawspur.external._hostlist import HostList, HostRole, ListedHost
from jackdawspur.external._log import Log, LogRecord, Stream
from jackdawspur.external._upstream import (
    RefusalReason,
    StartVerdict,
    TaskStart,
    UpstreamClient,
    UpstreamReply,
    Usage,
)

__all__ = [
    "HostList",
    "HostRole",
    "ListedHost",
    "Log",
    "LogRecord",
    "LogTrimmed",
    "OutcomeUnknown",
    "PlatformError",
    "RefusalReason",
    "StartVerdict",
    "Stream",
    "TaskStart",
    "Unavailable",
    "UpstreamClient",
    "UpstreamReply",
    "Usage",
]
