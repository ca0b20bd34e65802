"""The overload policy that a host's settings state."""

from dataclasses import asdict

from jackdawspur.runs import DEFAULT_POLICY, OverloadPolicy
from jackdawspur.settings import HostSettings

__all__ = ["assumed_fields", "overload_fields", "overload_policy"]


def overload_policy(settings: HostSettings) -> OverloadPolicy:
    """Return the overload policy of a host's settings."""
    return OverloadPolicy(
        settings.priority_weights,
        settings.late_weight,
        settings.min_served_fraction,
        _remote_factor(settings),
    )


def overload_fields(settings: HostSettings) -> dict[str, object]:
    """Return the fields for the log."""
    return asdict(overload_policy(settings))


def assumed_fields(settings: HostSettings) -> list[str]:
    """Return the logged fields that the settings do not state."""
    return ["remote_factor"] if settings.remote_factor is None else []


def _remote_factor(settings: HostSettings) -> float:
    stated = settings.remote_factor
    return DEFAULT_POLICY.remote_factor if stated is None else stated
