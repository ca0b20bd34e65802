"""Named limits of sharing and lending; times in seconds."""

__all__ = [
    "ASK_AGAIN",
    "FIRST_BACK_OFF",
    "IDLE_BEFORE_RETURN",
    "LEND_MARGIN",
    "LEND_TERM",
    "LONGEST_BACK_OFF",
    "LONGEST_HOLD",
    "MORE_URGENT",
    "REPLY_WAIT",
    "REQUEST_LIFE",
]

# A borrower starts tasks on lent slots for this long after it asked.
LEND_TERM = 0.5
# Covers a start sent in the last moment of the term that is still on its way.
LEND_MARGIN = 0.25
# Bounds how long a lender waits for slots whose return was lost; a task that runs
# longer on a lent slot may then meet a refusal, never a second start.
LONGEST_HOLD = 30.0
# A host is not asked again for as much before this.
ASK_AGAIN = 0.2
# What a request lacks is granted for so long, as slots become idle.
REQUEST_LIFE = 0.2
# A task this much more urgent than those asked for is worth another request.
MORE_URGENT = 0.02
# Slots asked for count as on their way for this long.
REPLY_WAIT = 0.003
# Lent slots that the tasks waiting here can't use go back after this.
IDLE_BEFORE_RETURN = 0.02
FIRST_BACK_OFF = 0.05
LONGEST_BACK_OFF = 0.8
