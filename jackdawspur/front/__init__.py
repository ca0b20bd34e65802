"""A host that serves callers on the customers' platform."""

from jackdawspur.front._ports import (
    CallerPort,
    CallerQuestion,
    QuestionKind,
    StoreListener,
    StorePort,
    UpstreamPort,
)
from jackdawspur.front._process import Ports
from jackdawspur.front._routes import RouteTable, UnreadableConfiguration
from jackdawspur.front._run import run_front

__all__ = [
    "CallerPort",
    "CallerQuestion",
    "Ports",
    "QuestionKind",
    "RouteTable",
    "StoreListener",
    "StorePort",
    "UnreadableConfiguration",
    "UpstreamPort",
    "run_front",
]
