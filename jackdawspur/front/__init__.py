"""A host process that serves callers on the customers' platform."""

from jackdawspur.front._ports import (
    CallerPort,
    CallerRequest,
    PlatformPorts,
    RequestKind,
    StoreListener,
    StorePort,
    UpstreamPort,
)
from jackdawspur.front._routes import ConfigurationDecodeError, RouteTable
from jackdawspur.front._run import run_front

__all__ = [
    "CallerPort",
    "CallerRequest",
    "ConfigurationDecodeError",
    "PlatformPorts",
    "RequestKind",
    "RouteTable",
    "StoreListener",
    "StorePort",
    "UpstreamPort",
    "run_front",
]
