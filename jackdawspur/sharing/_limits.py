"""Named limits of sharing and lending; times in seconds."""

__all__ = [
    "ASK_AGAIN",
    "FIRST_BACK_OFF",
    "IDLE_BEFORE_RETURN",
    "LEND_MARGIN",
    "LEND_TERM",
    "LONGEST_BACK_OFF",
    "LONGEST_HOLD",
    "REQUEST_LIFE",
]

# A borrower starts tasks on lent slots for this long after it asked.
LEND_TERM = 1.0
# Covers a start sent in the last moment of the term that is still on its way.
LEND_MARGIN = 0.25
# Bounds how long a lender waits for slots whose return was lost; a task that runs
# longer on a lent slot may then meet a refusal, never a second start.
LONGEST_HOLD = 30.0
# A sibling that did not grant is not asked again before this.
ASK_AGAIN = 0.25
# A lender that has nothing idle keeps a request so long, less than the time above,
# as the borrower sends back what answers an older request.
REQUEST_LIFE = 0.2
# Lent slots are kept this long without use, so one loan serves several tasks.
IDLE_BEFORE_RETURN = 0.1
FIRST_BACK_OFF = 0.05
LONGEST_BACK_OFF = 0.8
