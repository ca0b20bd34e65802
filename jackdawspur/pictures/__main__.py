"""Draw the pictures of the documentation from the output of the bench.

Reads the output from standard input, and writes an error to standard error for each
picture without measurements.
"""

import sys
from pathlib import Path

from jackdawspur.pictures import (
    PictureError,
    draw_configuration,
    draw_tail,
    read_changes,
    read_steady,
)

__all__ = ["main"]

PICTURES = Path("docs/pictures")


def main() -> int:
    """Draw the measurements on standard input; return 1 if there are none."""
    lines = sys.stdin.read().splitlines()
    drawn_count = 0
    for draw, measurements, name in (
        (draw_tail, read_steady(lines), "tail.svg"),
        (draw_configuration, read_changes(lines), "configuration.svg"),
    ):
        try:
            draw(measurements, PICTURES / name)
            drawn_count += 1
            sys.stdout.write(f"{PICTURES / name}\n")
        except PictureError as error:
            sys.stderr.write(f"{name}: {error}\n")
    return 0 if drawn_count else 1


if __name__ == "__main__":
    sys.exit(main())
