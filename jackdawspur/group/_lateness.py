"""Which messages were held up on their way."""

import math

from jackdawspur.group._group import HEARTBEAT_TIMEOUT_S

__all__ = ["is_stale_message"]


def is_stale_message(receiver_at: float, now: float) -> bool:
    """Tell whether a message was held up for so long that its sender counted as lost.

    `receiver_at` is what the receiver's clock showed when the message was sent. A
    sender that did not know may have sent it at any time.
    """
    return receiver_at == math.inf or now - receiver_at > HEARTBEAT_TIMEOUT_S
