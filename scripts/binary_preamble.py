"""Limit the number of unpacked builds of the binary; shiv runs this at start.

A host keeps its files in RAM, so each build left behind costs memory. The newest
other build stays, because a host that still drains may import from it.
"""

import shutil
from pathlib import Path

MAX_BUILDS = 2


def _remove_old_builds(current_build: Path) -> None:
    builds = [
        build
        for build in current_build.parent.iterdir()
        if build.is_dir() and build != current_build
    ]
    builds.sort(key=lambda build: build.stat().st_mtime, reverse=True)
    for old_build in builds[MAX_BUILDS - 1 :]:
        shutil.rmtree(old_build, ignore_errors=True)
        # shiv keeps its lock beside the build, with a dot before the name.
        old_build.with_name(f".{old_build.name}_lock").unlink(missing_ok=True)


# shiv passes the folder of this build's packages as a global variable.
_remove_old_builds(Path(globals()["site_packages"]).parent)
