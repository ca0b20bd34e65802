"""Constants of ejection and readmission; times in seconds."""

from jackdawspur.model import EjectionPolicy

__all__ = [
    "BASE_BACKOFF_S",
    "MIN_UPSTREAMS_OF_FAULTY_CLASS",
    "ATTRIBUTION_WINDOW_S",
    "DEFAULT_EJECTION",
    "LOST_TASKS_TO_EJECT",
    "MAX_BACKOFF_S",
    "MAX_SLOWDOWN",
    "MIN_SAMPLES",
    "RAMP_FACTOR",
    "RAMP_LIMIT",
    "REPORT_TTL_S",
    "STRAGGLER_SLOWDOWN",
    "SLOWDOWN_SMOOTHING",
    "UNLIMITED",
]

# Number of lost tasks, without a success in between, that eject an upstream.
LOST_TASKS_TO_EJECT = 3
# Applies until a configuration sets another policy.
DEFAULT_EJECTION = EjectionPolicy()
BASE_BACKOFF_S = DEFAULT_EJECTION.readmit_after_s
MAX_BACKOFF_S = 300.0
# A class is faulty if it failed on at least this many upstreams within the window, and
# more often than it succeeded.
MIN_UPSTREAMS_OF_FAULTY_CLASS = 3
ATTRIBUTION_WINDOW_S = 10.0
# A peer repeats its report in each heartbeat; a report that isn't repeated expires.
REPORT_TTL_S = 3.0
# After readmission the limit on running tasks starts at 1 and is multiplied by this
# factor at each success, up to RAMP_LIMIT.
RAMP_FACTOR = 2
RAMP_LIMIT = 16
UNLIMITED = 1_000_000
# Weight of the newest task in the moving average of an upstream's slowdown, and the
# minimum number of tasks for the average to be used.
SLOWDOWN_SMOOTHING = 0.2
MIN_SAMPLES = 5
# An upstream with at least this slowdown relative to the median is a straggler.
STRAGGLER_SLOWDOWN = 2.0
MAX_SLOWDOWN = 4.0
