"""Readiness of one host's configuration, and the reasons for it."""

import enum
from dataclasses import dataclass

__all__ = ["LogHealth", "Readiness", "ReadinessReason"]


class LogHealth(enum.StrEnum):
    """State of the log as this host observes it."""

    UNKNOWN = "unknown"
    UP = "up"
    SLOW = "slow"
    DOWN = "down"


class ReadinessReason(enum.StrEnum):
    """Reason why a host is ready or not."""

    READY = "ready"
    READING_LOG = "reading_log"
    ASKING_PEERS = "asking_peers"
    BEHIND_PEERS = "behind_peers"
    LOG_UNREACHABLE = "log_unreachable"
    LOG_TRIMMED = "log_trimmed"
    NEWER_SCHEMA = "newer_schema"
    NO_CONFIGURATION = "no_configuration"
    DRAINING = "draining"


MESSAGES = {
    ReadinessReason.READY: "a configuration is in force",
    ReadinessReason.READING_LOG: "reading the log",
    ReadinessReason.ASKING_PEERS: "the log does not answer; waiting for peers",
    ReadinessReason.BEHIND_PEERS: "a peer has a newer version than this host has read",
    ReadinessReason.LOG_UNREACHABLE: "the log does not answer, and no peer answers",
    ReadinessReason.LOG_TRIMMED: "the log was trimmed and holds no snapshot",
    ReadinessReason.NEWER_SCHEMA: "the log holds only a newer schema version",
    ReadinessReason.NO_CONFIGURATION: "no configuration has been confirmed yet",
    ReadinessReason.DRAINING: "this host is shutting down",
}


@dataclass(frozen=True, slots=True)
class Readiness:
    """Result of the readiness check."""

    ready: bool
    reason: ReadinessReason

    @property
    def message(self) -> str:
        """Return the reason as text for operators."""
        return MESSAGES[self.reason]
