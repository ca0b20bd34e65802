"""Tests that a host imports only the modules that it uses when it starts."""

import os
import subprocess
import sys
import sysconfig
from pathlib import Path

import jackdawspur

IMPORTS = """
import sys
import jackdawspur.__main__, jackdawspur.cli._front
from jackdawspur.front import run_front
from jackdawspur.platform import PlatformCallerCodec, PlatformStore
from jackdawspur.platform import PlatformUpstreamClient
print("\\n".join(sys.modules))
"""
# Modules that a host on the customers' platform never uses.
UNUSED = {
    "jackdawspur.dispatch",
    "jackdawspur.entry",
    "jackdawspur.scheduling._admission",
    "jackdawspur.scheduling._queue",
    "jackdawspur.standins",
    "pydantic",
    "site",
}


def test_a_host_starts_without_site_packages_and_unused_modules():
    # Guards against a longer wait for the hosts of a zone that lost power: imports take
    # most of the time until a host serves.
    root = Path(jackdawspur.__file__).parent.parent
    paths = (str(root), sysconfig.get_path("purelib"))
    completed = subprocess.run(
        [sys.executable, "-S", "-c", IMPORTS],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert UNUSED.isdisjoint(completed.stdout.split())
