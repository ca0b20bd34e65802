"""Named limits of ejection and return; times in seconds."""

__all__ = [
    "BLAME_UPSTREAMS",
    "BLAME_WINDOW",
    "FAILED_JOBS_TO_EJECT",
    "FIRST_BACK_OFF",
    "LONGEST_BACK_OFF",
    "LOST_TO_EJECT",
    "MAX_EJECTED",
    "MAX_SLOWNESS",
    "MIN_SAMPLES",
    "RAMP_FACTOR",
    "RAMP_LIMIT",
    "REPORT_LIFE",
    "SLOW_FACTOR",
    "SMOOTHING",
    "UNLIMITED",
]

# Jobs failed in a row, counted once a job, own and siblings' reports together.
FAILED_JOBS_TO_EJECT = 2
LOST_TO_EJECT = 3
FIRST_BACK_OFF = 5.0
LONGEST_BACK_OFF = 300.0
# Above this share of a zone's upstreams the cause is likely not the upstreams.
MAX_EJECTED = 0.34
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
