"""Time without a leader, which must pass before a host takes over."""

__all__ = ["UNHEARD_LEADER_GRACE_S", "Vacancy"]

# Time without a leader before a takeover, so that all hosts have the same heartbeats.
VACANCY_S = 0.1
# How long a host defers to a leader that others follow and that it can't reach itself:
# links reconnect within half a second after a network partition ends, or a pause.
UNHEARD_LEADER_GRACE_S = 0.6
# At startup hosts must discover each other before one leads: reading the store, a
# connection and a heartbeat each way take 0.02 s, and hosts start within 0.3 s.
INITIAL_VACANCY_S = 0.25
# Minimum time from the first read of the store, which may be late, to a takeover.
DISCOVERY_S = 0.2


class Vacancy:
    """Tracks since when no leader is known, later if its heartbeats may be late."""

    def __init__(self, now: float) -> None:
        self._since = now + INITIAL_VACANCY_S - VACANCY_S

    def is_over(self, now: float) -> bool:
        """Return whether a host may take over."""
        return now - self._since >= VACANCY_S

    def lasts_longer_than(self, seconds: float, now: float) -> bool:
        """Return whether no leader has been known for longer than this."""
        return now - self._since > seconds

    def restart(self, now: float) -> None:
        """Record that there is a leader, or that this host has just stopped leading."""
        self._since = now

    def restart_after_pause(self, now: float) -> None:
        """Wait until the links that broke during a pause are connected again."""
        self._since = now + UNHEARD_LEADER_GRACE_S - VACANCY_S

    def wait_for_discovery(self, now: float) -> None:
        """Wait until the hosts in the store are connected.

        Without this delay, hosts that read the store late, at the same moment, would
        each lead before they are connected.
        """
        self._since = max(self._since, now + DISCOVERY_S - VACANCY_S)
