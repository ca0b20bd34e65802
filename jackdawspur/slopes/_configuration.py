"""The configuration's figures at today's number of upstreams and the letter's."""

from collections.abc import Iterator

from jackdawspur.configuration.slopes import SizeCost, measure_size

__all__ = ["configuration_lines"]

SMALL = (140, 24, 3)
FULL = (140, 3900, 18)


def configuration_lines() -> Iterator[str]:
    """Yield each figure at both sizes and what one more upstream adds to it."""
    small, full = measure_size(*SMALL), measure_size(*FULL)
    yield _line("snapshot", "KB", small, full, "snapshot_kb")
    yield _line("a ready host takes a change", "ms", small, full, "change_ms")
    yield _line("a ready host meets a snapshot", "ms", small, full, "mark_ms")
    yield _line("a snapshot is written", "ms", small, full, "write_ms")
    yield _line("start: a snapshot and 200 changes", "ms", small, full, "start_ms")
    yield _line("state of the keeper", "MB", small, full, "keeper_mb")


def _line(name: str, unit: str, small: SizeCost, full: SizeCost, field: str) -> str:
    low, high = getattr(small, field), getattr(full, field)
    each = (high - low) / (full.upstreams - small.upstreams)
    return (
        f"configuration: {name}: {each:.4g} {unit} an upstream (medians of 5 repeats; "
        f"{low:.4g}/{high:.4g} at {small.upstreams}/{full.upstreams} upstreams, "
        f"{full.customers} customers)"
    )
