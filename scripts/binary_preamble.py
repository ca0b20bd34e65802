"""Bound what older builds of the binary leave unpacked; shiv runs this at start.

A host keeps its files in RAM, so each build left behind costs memory. The newest
other build stays: a host that is still draining under it may import from it.
"""

import shutil
from pathlib import Path

BUILDS_KEPT = 2


def _clean(own: Path) -> None:
    builds = [each for each in own.parent.iterdir() if each.is_dir() and each != own]
    builds.sort(key=lambda each: each.stat().st_mtime, reverse=True)
    for old in builds[BUILDS_KEPT - 1 :]:
        shutil.rmtree(old, ignore_errors=True)
        # shiv keeps its lock beside the build, with a dot before the name.
        old.with_name(f".{old.name}_lock").unlink(missing_ok=True)


# shiv passes the folder of this build's packages as a global.
_clean(Path(globals()["site_packages"]).parent)
