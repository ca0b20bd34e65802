"""Check the binary outside the repository: one process per host, all subcommands.

Usage: check_binary.py FILE; the last line is a JSON object with times in ms, sizes in
MB and counts.
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
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01
MB = 1_000_000
# Index of cminflt among the fields after the command name in /proc/PID/stat.
CHILD_FAULTS_INDEX = 8


class BinaryCheckError(Exception):
    """Raised when the binary fails a check."""


def _free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def _write_settings(folder: Path) -> tuple[Path, str]:
    http = _free_address()
    path = folder / "entry.json"
    settings = {"zone": "z1", "name": "e1", "http": http, "log": _free_address()}
    path.write_text(json.dumps({**settings, "link": _free_address()}))
    return path, http


def _host_environment(folder: Path) -> dict[str, str]:
    """Return the environment of a host, without anything from the repository.

    PATH starts with the real interpreter's folder, because a version manager's shim for
    python3.11 would start processes itself.
    """
    python = Path(sys.executable).resolve().parent
    path = f"{python}{os.pathsep}{os.defpath}"
    return {"PATH": path, "SHIV_ROOT": str(folder / "unpacked")}


def _wait_for(http: str, host: subprocess.Popen) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        if host.poll() is not None:
            raise BinaryCheckError(f"the host exited with status {host.returncode}")
        try:
            urllib.request.urlopen(f"http://{http}/livez", timeout=1).close()
            return
        except (urllib.error.URLError, ConnectionError):
            time.sleep(POLL_INTERVAL_S)
    raise BinaryCheckError("the host did not answer in time")


def _run_host(binary: Path, folder: Path) -> dict[str, float]:
    """Start a host, check that it is a single process, and stop it."""
    path, http = _write_settings(folder)
    started_at = time.monotonic()
    host = subprocess.Popen(
        [binary, "entry", f"--settings={path}"],
        cwd=folder,
        env=_host_environment(folder),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        _wait_for(http, host)
        start_ms = (time.monotonic() - started_at) * 1000
        process = psutil.Process(host.pid)
        _check_single_process(process, path)
        return {"start_ms": start_ms, "rss_mb": process.memory_info().rss / MB}
    finally:
        host.terminate()
        host.wait(STOP_TIMEOUT_S)


def _check_single_process(process: psutil.Process, path: Path) -> None:
    """Raise if the host has another process, whether live, detached or exited."""
    children = process.children(recursive=True)
    pids = [p.pid for p in psutil.process_iter(["cmdline"]) if _has_settings(p, path)]
    if children or pids != [process.pid]:
        raise BinaryCheckError(f"more than one process: {pids}, {children}")
    # The page faults of exited children are added to those of their parent.
    stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    if int(stat[CHILD_FAULTS_INDEX]):
        raise BinaryCheckError("the host started a process that has already exited")


def _has_settings(process: psutil.Process, path: Path) -> bool:
    return f"--settings={path}" in (process.info["cmdline"] or [])


def _size_mb(folder: Path) -> float:
    return sum(f.stat().st_size for f in folder.rglob("*") if f.is_file()) / MB


def main(built_file: str) -> None:
    """Check a built file; raise `BinaryCheckError` if a check fails."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        binary = Path(shutil.copy(built_file, folder / "jackdawspur"))
        first = _run_host(binary, folder)
        second = _run_host(binary, folder)
        for command in COMMANDS:
            subprocess.run(
                [binary, command, "--help"],
                check=True,
                cwd=folder,
                env=_host_environment(folder),
                stdout=subprocess.DEVNULL,
            )
        report = {
            "size_mb": binary.stat().st_size / MB,
            "unpacked_mb": _size_mb(folder / "unpacked"),
            "first_start_ms": first["start_ms"],
            "next_start_ms": second["start_ms"],
            "rss_mb": second["rss_mb"],
            "processes_per_host": 1,
        }
    sys.stdout.write(json.dumps({k: round(v, 1) for k, v in report.items()}) + "\n")


if __name__ == "__main__":
    main(sys.argv[1])
