"""Constants of sharing and lending; times in seconds."""

__all__ = [
    "REPEAT_REQUEST_AFTER",
    "MIN_BACKOFF",
    "IDLE_BEFORE_RETURN",
    "LOAN_MARGIN",
    "LOAN_TERM",
    "MAX_BACKOFF",
    "MAX_LOAN_TIME",
    "URGENCY_MARGIN",
    "REPLY_TIMEOUT",
    "REQUEST_TTL",
]

# A borrower may start tasks on lent slots for this long after its request.
LOAN_TERM = 0.5
# Allowance for a start that was sent at the end of the term and is still in transit.
LOAN_MARGIN = 0.25
# Maximum time until a lender reclaims slots whose return was lost. If a task runs for
# longer on a lent slot, a start on that slot may be refused; no task starts twice.
MAX_LOAN_TIME = 30.0
# Minimum interval between requests to the same host, unless for more slots.
REPEAT_REQUEST_AFTER = 0.2
# How long slots that a request still lacks can be granted, as slots become idle.
REQUEST_TTL = 0.2
# A request is sent before that interval ends if the latest start of its task is
# earlier by this much than that of the last request.
URGENCY_MARGIN = 0.02
# How long requested slots count as pending, so that they are not requested again.
REPLY_TIMEOUT = 0.003
# Borrowed slots unused for this long are returned even while tasks wait, as those
# tasks evidently can't use them.
IDLE_BEFORE_RETURN = 0.02
MIN_BACKOFF = 0.05
MAX_BACKOFF = 0.8
