"""Named limits of ejection and return; times in seconds."""

from jackdawspur.model import EjectionPolicy

__all__ = [
    "BASE_BACKOFF_S",
    "BLAME_UPSTREAMS",
    "BLAME_WINDOW",
    "DEFAULT_EJECTION",
    "LOST_TO_EJECT",
    "MAX_BACKOFF_S",
    "MAX_SLOWNESS",
    "MIN_SAMPLES",
    "RAMP_FACTOR",
    "RAMP_LIMIT",
    "REPORT_LIFE",
    "SLOW_FACTOR",
    "SMOOTHING",
    "UNLIMITED",
]

LOST_TO_EJECT = 3
# In force until a configuration says otherwise.
DEFAULT_EJECTION = EjectionPolicy()
BASE_BACKOFF_S = DEFAULT_EJECTION.readmit_after_s
MAX_BACKOFF_S = 300.0
# A class that fails on this many upstreams, and more often than not, is to blame.
BLAME_UPSTREAMS = 3
BLAME_WINDOW = 10.0
# A sibling repeats its report in each heartbeat; without repeats it lapses.
REPORT_LIFE = 3.0
# The limit on running tasks grows from one by this factor with each success.
RAMP_FACTOR = 2
RAMP_LIMIT = 16
UNLIMITED = 1_000_000
SMOOTHING = 0.2
MIN_SAMPLES = 5
SLOW_FACTOR = 2.0
MAX_SLOWNESS = 4.0
