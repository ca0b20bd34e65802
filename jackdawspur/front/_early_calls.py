"""Calls that came before their host has a configuration."""

from dataclasses import dataclass

from jackdawspur.adapters import Call

__all__ = ["EarlyCall", "EarlyCalls"]

# A host that starts reads the configuration within a tenth of a second; with the store
# away it has it from another host or refuses.
LONGEST_S = 0.8
MOST_CALLS = 256


@dataclass(frozen=True, slots=True)
class EarlyCall:
    """Keep a call and when it came."""

    call: Call
    arrived: float


class EarlyCalls:
    """Keep some calls for a moment.

    After a loss of power all callers come to the first hosts that listen, and most have
    no time left to come again.
    """

    def __init__(self) -> None:
        self._calls: dict[int, EarlyCall] = {}

    def add(self, call: Call, now: float) -> bool:
        """Keep a call; tell whether there was room."""
        if len(self._calls) >= MOST_CALLS:
            return False
        self._calls[call.call_id] = EarlyCall(call, now)
        return True

    def drop(self, call_id: int) -> None:
        """Forget a call whose caller left."""
        self._calls.pop(call_id, None)

    def take_all(self) -> list[EarlyCall]:
        """Return all calls, which are kept no more."""
        calls = list(self._calls.values())
        self._calls.clear()
        return calls

    def take_late(self, now: float) -> list[EarlyCall]:
        """Return the calls that waited for as long as they may."""
        late = [one for one in self._calls.values() if now - one.arrived >= LONGEST_S]
        for one in late:
            del self._calls[one.call.call_id]
        return late
