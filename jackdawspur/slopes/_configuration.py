"""Costs of the configuration at the current and at the required size."""

from collections.abc import Iterator

from jackdawspur.configuration.slopes import SizeCost, measure_size

__all__ = ["configuration_lines"]

# Numbers of customers, upstreams and zones.
CURRENT_SIZES = (140, 24, 3)
REQUIRED_SIZES = (140, 3900, 18)


def configuration_lines() -> Iterator[str]:
    """Yield each cost at both sizes, and its increase per upstream."""
    current, required = measure_size(*CURRENT_SIZES), measure_size(*REQUIRED_SIZES)
    yield _format_cost("snapshot", "KB", current, required, "snapshot_kb")
    yield _format_cost(
        "change applied by a ready host", "ms", current, required, "change_ms"
    )
    yield _format_cost(
        "snapshot header read by a ready host", "ms", current, required, "mark_ms"
    )
    yield _format_cost("a snapshot is written", "ms", current, required, "write_ms")
    yield _format_cost(
        "start with a snapshot and 200 changes", "ms", current, required, "start_ms"
    )
    yield _format_cost("state of the replica", "MB", current, required, "keeper_mb")


def _format_cost(
    name: str, unit: str, current: SizeCost, required: SizeCost, field: str
) -> str:
    low, high = getattr(current, field), getattr(required, field)
    per_upstream = (high - low) / (required.upstreams - current.upstreams)
    return (
        f"configuration: {name}: {per_upstream:.4g} {unit} per upstream "
        f"(medians of 5 repeats; {low:.4g}/{high:.4g} at "
        f"{current.upstreams}/{required.upstreams} upstreams, "
        f"{required.customers} customers)"
    )
