"""Time after which a refused caller may retry, by class of jobs."""

import math
from zlib import crc32

__all__ = ["spread_retry_s"]

MAX_RETRY_S = 30
# If all callers retried in the same second, that second would be overloaded again. The
# spread covers 1 to 3 s, and more the higher the demand is.
MIN_SPREAD_S = 3
MAX_SPREAD_S = 10


def spread_retry_s(job_id: str, ahead_s: float, load: float) -> float:
    """Return whole seconds: the time that the work ahead takes, and a spread.

    `load` is the demand divided by the capacity. The spread depends on the job's id.
    """
    first_s = max(1, math.ceil(ahead_s))
    spread_s = min(MAX_SPREAD_S, math.ceil(MIN_SPREAD_S * max(1.0, load)))
    return float(min(MAX_RETRY_S, first_s + crc32(job_id.encode()) % spread_s))
