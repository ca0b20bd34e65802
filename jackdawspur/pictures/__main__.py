"""Draw the pictures of the docs from the output of the bench.

Reads standard input; names of missing measurements go to standard error.
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
    """Draw what the lines on standard input hold."""
    lines = sys.stdin.read().splitlines()
    drawn = 0
    for draw, found, name in (
        (draw_tail, read_steady(lines), "tail.svg"),
        (draw_configuration, read_changes(lines), "configuration.svg"),
    ):
        try:
            draw(found, PICTURES / name)
            drawn += 1
            sys.stdout.write(f"{PICTURES / name}\n")
        except PictureError as error:
            sys.stderr.write(f"{name}: {error}\n")
    return 0 if drawn else 1


if __name__ == "__main__":
    sys.exit(main())
