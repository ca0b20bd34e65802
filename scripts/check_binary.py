"""Check the binary away from the repository: one process, every subcommand, figures.

Usage: check_binary.py FILE; the last line is one JSON object, in ms, MB and counts.
"""

import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

import psutil

COMMANDS = (
    "entry",
    "submit",
    "cancel",
    "status",
    "plan",
    "confirm",
    "history",
    "load",
    "check-settings",
    "standin",
)
START_LIMIT_S = 30.0
END_LIMIT_S = 30.0
PAUSE_S = 0.01
MB = 1_000_000
# Place of cminflt among the fields after the command's name in /proc/PID/stat.
FAULTS_OF_ENDED_CHILDREN = 8


class BinaryFault(Exception):
    """Raise when the binary does not do what is promised of it."""


def _free_address() -> str:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{free.getsockname()[1]}"


def _settings(folder: Path) -> tuple[Path, str]:
    http = _free_address()
    path = folder / "entry.json"
    settings = {"zone": "z1", "name": "e1", "http": http, "log": _free_address()}
    path.write_text(json.dumps({**settings, "link": _free_address()}))
    return path, http


def _environment(folder: Path) -> dict[str, str]:
    """Return what a host's environment has: nothing of the repository.

    A version manager's shim in front of python3.11 would start processes itself.
    """
    python = Path(sys.executable).resolve().parent
    path = f"{python}{os.pathsep}{os.defpath}"
    return {"PATH": path, "SHIV_ROOT": str(folder / "unpacked")}


def _wait_for(http: str, host: subprocess.Popen) -> None:
    limit = time.monotonic() + START_LIMIT_S
    while time.monotonic() < limit:
        if host.poll() is not None:
            raise BinaryFault(f"the host ended with status {host.returncode}")
        try:
            urllib.request.urlopen(f"http://{http}/livez", timeout=1).close()
            return
        except (urllib.error.URLError, ConnectionError):
            time.sleep(PAUSE_S)
    raise BinaryFault("the host did not answer in time")


def _run_host(binary: Path, folder: Path) -> dict[str, float]:
    """Start a host, look for other processes from its start on, and stop it."""
    path, http = _settings(folder)
    began = time.monotonic()
    host = subprocess.Popen(
        [binary, "entry", f"--settings={path}"],
        cwd=folder,
        env=_environment(folder),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        _wait_for(http, host)
        start_ms = (time.monotonic() - began) * 1000
        process = psutil.Process(host.pid)
        _refuse_children(process, path)
        return {"start_ms": start_ms, "rss_mb": process.memory_info().rss / MB}
    finally:
        host.terminate()
        host.wait(END_LIMIT_S)


def _refuse_children(process: psutil.Process, path: Path) -> None:
    """Refuse a host with a second process, be it live, detached or already ended."""
    children = process.children(recursive=True)
    named = [p.pid for p in psutil.process_iter(["cmdline"]) if _is(p, path)]
    if children or named != [process.pid]:
        raise BinaryFault(f"more than one process: {named}, {children}")
    # A child that ended left its page faults in its parent's account.
    stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    if int(stat[FAULTS_OF_ENDED_CHILDREN]):
        raise BinaryFault("the host started a process that has ended by now")


def _is(process: psutil.Process, path: Path) -> bool:
    return f"--settings={path}" in (process.info["cmdline"] or [])


def _size_mb(folder: Path) -> float:
    return sum(f.stat().st_size for f in folder.rglob("*") if f.is_file()) / MB


def main(built: str) -> None:
    """Check a built file; raise `BinaryFault`."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        binary = Path(shutil.copy(built, folder / "jackdawspur"))
        first = _run_host(binary, folder)
        again = _run_host(binary, folder)
        for command in COMMANDS:
            subprocess.run(
                [binary, command, "--help"],
                check=True,
                cwd=folder,
                env=_environment(folder),
                stdout=subprocess.DEVNULL,
            )
        report = {
            "size_mb": binary.stat().st_size / MB,
            "unpacked_mb": _size_mb(folder / "unpacked"),
            "first_start_ms": first["start_ms"],
            "next_start_ms": again["start_ms"],
            "rss_mb": again["rss_mb"],
            "processes_per_host": 1,
        }
    sys.stdout.write(json.dumps({k: round(v, 1) for k, v in report.items()}) + "\n")


if __name__ == "__main__":
    main(sys.argv[1])
