"""Processes of the speed measurement: entry host, racks, log; all end with it."""

import hashlib
import json
import re
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import psutil

from jackdawspur.adapters import split_address
from jackdawspur.exceptions import JackdawspurError

__all__ = ["JOB_CLASS", "TOKEN", "Deployment", "SpeedError"]

TOKEN = "speed-token"
OPERATOR = "speed-operator"
ZONE = "z1"
RACKS = 6
WORKERS_A_RACK = 4
SLOTS = 256
LIMIT_S = 30.0
JOB_CLASS = "equal"


class SpeedError(JackdawspurError):
    """Raise when the measured deployment does not come to stand."""


class Deployment:
    """Run one entry host against stand-ins in other processes."""

    def __init__(self, folder: Path, profile: Path | None = None) -> None:
        self._folder = folder
        self._processes: list[subprocess.Popen] = []
        self.http = _free_address()
        self.upstreams = [_free_address() for _ in range(RACKS * WORKERS_A_RACK)]
        log = _free_address()
        self._start("log", "standin", "log", settings={"address": log})
        for rack in range(RACKS):
            addresses = self.upstreams[rack::RACKS]
            settings = {"addresses": addresses, "slots": SLOTS, "cpus": 4096}
            self._start(f"rack{rack}", "standin", "worker", settings=settings)
        entry = self._start(
            "entry",
            "entry",
            settings=self._entry_settings(log),
            before=["-m", "cProfile", "-o", str(profile)] if profile else [],
        )
        self.entry = psutil.Process(entry.pid)

    def begin(self) -> None:
        """Put a first configuration in force; raise `SpeedError`."""
        self._configure()

    def cpu_s(self) -> float:
        """Return the entry host's processor time."""
        times = self.entry.cpu_times()
        return times.user + times.system

    def rss_mb(self) -> float:
        """Return the entry host's memory in megabytes."""
        return self.entry.memory_info().rss / 1e6

    def end(self) -> None:
        """End what was started, the entry host first so that it drains."""
        for process in reversed(self._processes):
            process.terminate()
        for process in self._processes:
            with suppress(subprocess.TimeoutExpired):
                process.wait(LIMIT_S)
            process.kill()

    def _start(self, name, *arguments, settings, before=()) -> subprocess.Popen:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        with (self._folder / f"{name}.log").open("w") as log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    *before,
                    "-m",
                    "jackdawspur",
                    *arguments,
                    f"--settings={path}",
                ],
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process

    def _entry_settings(self, log: str) -> dict:
        self._link = _free_address()
        operator = {"name": "ann", "token_sha256": _sha(OPERATOR)}
        return {
            "zone": ZONE,
            "name": "e1",
            "http": self.http,
            "link": self._link,
            "log": log,
            "operators": [operator],
            "log_level": "WARNING",
        }

    def _configure(self) -> None:
        """Put a first configuration in force as an operator would."""
        path = self._folder / "configuration.json"
        path.write_text(json.dumps(self._configuration()))
        plan = self._folder / "plan"
        self._until(lambda: self._command(plan, "plan", "--first", str(path)))
        number = re.search(r"^plan (\S+) ", plan.read_text(), re.MULTILINE)[1]
        self._until(lambda: self._command(plan, "confirm", number))
        self._until(self._ready)

    def _command(self, output: Path, name: str, *arguments: str) -> bool:
        with output.open("w") as file:
            done = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "jackdawspur",
                    name,
                    f"--host={self.http}",
                    f"--token={OPERATOR}",
                    *arguments,
                ],
                stdout=file,
                stderr=subprocess.DEVNULL,
                check=False,
            )
        return done.returncode == 0

    def _ready(self) -> bool:
        from http.client import HTTPConnection

        connection = HTTPConnection(*split_address(self.http), timeout=5)
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200

    def _until(self, done) -> None:
        limit = time.monotonic() + LIMIT_S
        while not done():
            if time.monotonic() > limit:
                raise SpeedError(f"the deployment did not get ready: {self._folder}")
            time.sleep(0.1)

    def _configuration(self) -> dict:
        contract = {"tail_over_ideal": 100.0, "max_wait_ms": 60_000.0}
        customer = {
            "name": "speed",
            "token_sha256": [_sha(TOKEN)],
            "quota_slots": 1_000_000,
            "contract": contract,
            "classes": [{"name": JOB_CLASS, "deadline_ms": 60_000.0}],
        }
        operator = {
            "name": "ann",
            "token_sha256": [_sha(OPERATOR)],
            "rights": ["view", "plan", "confirm"],
        }
        host = {"zone": ZONE, "name": "e1", "http": self.http, "link": self._link}
        upstreams = [
            {
                "zone": ZONE,
                "name": f"w{place}",
                "address": address,
                "slots": SLOTS,
                "cpus": 4096,
                "rack": f"r{place % RACKS}",
            }
            for place, address in enumerate(self.upstreams)
        ]
        return {
            "schema_version": 1,
            "customers": [customer],
            "operators": [operator],
            "zones": [{"name": ZONE, "region": "r1"}],
            "entry_hosts": [host],
            "upstreams": upstreams,
        }


def _sha(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _free_address() -> str:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{free.getsockname()[1]}"
