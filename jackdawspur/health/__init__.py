"""Outlier detection: ejection and gradual readmission of failing upstreams."""

from jackdawspur.health._health import UpstreamHealth
from jackdawspur.health._limits import (
    BASE_BACKOFF_S,
    MAX_BACKOFF_S,
    UNLIMITED,
)
from jackdawspur.health._record import Condition

__all__ = [
    "BASE_BACKOFF_S",
    "Condition",
    "MAX_BACKOFF_S",
    "UNLIMITED",
    "UpstreamHealth",
]
