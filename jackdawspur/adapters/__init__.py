"""Adapters between the decisions and everything that talks."""

from jackdawspur.adapters._addresses import split_address
from jackdawspur.adapters._deadlines import Deadline, Deadlines
from jackdawspur.adapters._hostlist_http import HttpHostList
from jackdawspur.adapters._http_client import HttpClient, HttpLimits, Replied
from jackdawspur.adapters._http_connection import HttpReply
from jackdawspur.adapters._links import Links
from jackdawspur.adapters._log_http import HttpLog, LogTimeouts
from jackdawspur.adapters._queues import Inbox, Outbox
from jackdawspur.adapters._upstream_http import HttpUpstream, UpstreamTimeouts
from jackdawspur.adapters._web import Call, WebServer, WebService

__all__ = [
    "Deadline",
    "Deadlines",
    "HttpClient",
    "HttpHostList",
    "HttpLimits",
    "HttpLog",
    "HttpReply",
    "HttpUpstream",
    "Inbox",
    "LogTimeouts",
    "Outbox",
    "Replied",
    "UpstreamTimeouts",
    "Call",
    "Links",
    "WebServer",
    "WebService",
    "split_address",
]
