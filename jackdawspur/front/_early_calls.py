"""Calls that arrive before the host has a configuration."""

from dataclasses import dataclass

from jackdawspur.adapters import Call

__all__ = ["EarlyCall", "EarlyCalls"]

# A host reads the configuration within a tenth of a second of its start. During an
# outage of the store it receives the configuration from a peer, or refuses the calls.
MAX_WAIT_S = 0.8
MAX_CALLS = 256


@dataclass(frozen=True, slots=True)
class EarlyCall:
    """A call and the time of its arrival."""

    call: Call
    arrived: float


class EarlyCalls:
    """A bounded buffer of calls that wait for the configuration.

    After a power loss all callers connect to the first hosts that listen, and most
    have no time left for another attempt.
    """

    def __init__(self) -> None:
        self._calls: dict[int, EarlyCall] = {}

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._calls

    def add(self, call: Call, now: float) -> bool:
        """Add a call; return False if the buffer is full."""
        if len(self._calls) >= MAX_CALLS:
            return False
        self._calls[call.call_id] = EarlyCall(call, now)
        return True

    def remove(self, call_id: int) -> None:
        """Remove a call whose caller left."""
        self._calls.pop(call_id, None)

    def pop_all(self) -> list[EarlyCall]:
        """Remove and return all calls."""
        calls = list(self._calls.values())
        self._calls.clear()
        return calls

    def pop_overdue(self, now: float) -> list[EarlyCall]:
        """Remove and return the calls that have waited for `MAX_WAIT_S`."""
        overdue = [e for e in self._calls.values() if now - e.arrived >= MAX_WAIT_S]
        for early in overdue:
            del self._calls[early.call.call_id]
        return overdue
