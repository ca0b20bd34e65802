"""JSON lines of the bench and of the configuration's measurement."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from jackdawspur.exceptions import JackdawspurError

__all__ = ["ChangeLine", "PictureError", "SteadyLine", "read_changes", "read_steady"]

STEADY = "steady"


class PictureError(JackdawspurError):
    """Raise when there is nothing to draw."""


@dataclass(frozen=True, slots=True)
class SteadyLine:
    """Hold one run of one policy; ratios of response over the ideal."""

    deployment: str
    scenario: str
    policy: str
    load: float
    p50: float
    p99: float
    p999: float


@dataclass(frozen=True, slots=True)
class ChangeLine:
    """Hold the times from confirm to in force everywhere, in milliseconds."""

    measure: str
    changes: int
    p50_ms: float
    p99_ms: float


def read_steady(lines: Iterable[str]) -> tuple[SteadyLine, ...]:
    """Return the steady runs among mixed output lines."""
    found = _decode(lines, SteadyLine)
    return tuple(line for line in found if line.scenario == STEADY)


def read_changes(lines: Iterable[str]) -> tuple[ChangeLine, ...]:
    """Return the configuration's measurements among mixed output lines."""
    return tuple(_decode(lines, ChangeLine))


def _decode(lines: Iterable[str], kind: type) -> list:
    decoder = msgspec.json.Decoder(kind)
    found = []
    for line in lines:
        if not line.startswith("{"):
            continue
        try:
            found.append(decoder.decode(line))
        except msgspec.ValidationError:
            # A line of another measurement in the same output.
            continue
    return found
