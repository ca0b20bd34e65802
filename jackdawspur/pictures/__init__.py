"""Pictures of the results of the bench and of other measurements."""

from jackdawspur.pictures._draw import (
    draw_configuration,
    draw_tail,
    pyplot,
    save_figure,
)
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
    "pyplot",
    "read_changes",
    "read_steady",
    "save_figure",
]
