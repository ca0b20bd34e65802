"""Names kept for a while."""

__all__ = ["Remembered"]


class Remembered:
    """Keep names for some seconds, in the order in which they came."""

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._at: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._at

    def add(self, name: str, now: float) -> None:
        """Keep a name from now on."""
        self._at.pop(name, None)
        self._at[name] = now

    def discard(self, name: str) -> None:
        """Forget a name."""
        self._at.pop(name, None)

    def forget_old(self, now: float) -> None:
        """Forget the names whose time is over."""
        while self._at:
            name, at = next(iter(self._at.items()))
            if now - at < self._kept_s:
                return
            del self._at[name]
