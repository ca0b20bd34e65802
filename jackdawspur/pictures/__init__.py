"""Pictures of the results of the bench and of other measurements."""

from jackdawspur.pictures._draw import draw_configuration, draw_tail
from jackdawspur.pictures._lines import (
    ChangeLine,
    PictureError,
    SteadyLine,
    read_changes,
    read_steady,
)

__all__ = [
    "ChangeLine",
    "PictureError",
    "SteadyLine",
    "draw_configuration",
    "draw_tail",
    "read_changes",
    "read_steady",
]
