"""Parse the JSON lines of the bench and of the configuration's measurement."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from jackdawspur.exceptions import JackdawspurError

__all__ = ["ChangeLine", "PictureError", "SteadyLine", "read_changes", "read_steady"]

STEADY = "steady"


class PictureError(JackdawspurError):
    """Raised when there are no measurements to draw."""


@dataclass(frozen=True, slots=True)
class SteadyLine:
    """One run of one policy; quantiles of response time over ideal response time."""

    deployment: str
    scenario: str
    policy: str
    load: float
    p50: float
    p99: float
    p999: float


@dataclass(frozen=True, slots=True)
class ChangeLine:
    """Times from confirm until in force on all hosts, in milliseconds."""

    measure: str
    changes: int
    p50_ms: float
    p99_ms: float


def read_steady(lines: Iterable[str]) -> tuple[SteadyLine, ...]:
    """Return the runs of the steady scenario; other output lines are skipped."""
    decoded = _decode(lines, SteadyLine)
    return tuple(line for line in decoded if line.scenario == STEADY)


def read_changes(lines: Iterable[str]) -> tuple[ChangeLine, ...]:
    """Return the measurements of configuration changes; other lines are skipped."""
    return tuple(_decode(lines, ChangeLine))


def _decode(lines: Iterable[str], line_type: type) -> list:
    decoder = msgspec.json.Decoder(line_type)
    decoded = []
    for line in lines:
        if not line.startswith("{"):
            continue
        try:
            decoded.append(decoder.decode(line))
        except msgspec.ValidationError:
            # The same output has lines of other measurements.
            continue
    return decoded
