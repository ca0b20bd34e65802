"""Adapters between the decisions and everything that talks."""

from jackdawspur.adapters._deadlines import Deadline, Deadlines
from jackdawspur.adapters._http_client import HttpClient, HttpLimits, Replied
from jackdawspur.adapters._http_connection import HttpReply
from jackdawspur.adapters._web import Call, WebServer, WebService

__all__ = [
    "Deadline",
    "Deadlines",
    "HttpClient",
    "HttpLimits",
    "HttpReply",
    "Replied",
    "Call",
    "Links",
    "WebServer",
    "WebService",
]
