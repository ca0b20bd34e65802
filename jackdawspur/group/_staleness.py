"""Detection of messages that were delayed in transit."""

import math

from jackdawspur.group._group import HEARTBEAT_TIMEOUT_S

__all__ = ["is_stale_message"]


def is_stale_message(receiver_at: float, now: float) -> bool:
    """Return whether a message is older than the heartbeat timeout.

    `receiver_at` is the receiver's clock at the time of sending, as estimated by the
    sender. Infinity means that the sender had no estimate; the message is then stale.
    """
    return receiver_at == math.inf or now - receiver_at > HEARTBEAT_TIMEOUT_S
