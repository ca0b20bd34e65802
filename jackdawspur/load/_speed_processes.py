"""Processes of the speed measurement: an entry host, worker pools and a log."""

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
WORKER_POOLS = 6
WORKERS_PER_POOL = 4
SLOTS = 256
TIMEOUT_S = 30.0
JOB_CLASS = "equal"


class SpeedError(JackdawspurError):
    """Raised when the measured deployment does not become ready."""


class Deployment:
    """One entry host and its stand-ins, each in a process of its own."""

    def __init__(self, folder: Path, profile: Path | None = None) -> None:
        self._folder = folder
        self._processes: list[subprocess.Popen] = []
        self.http = _free_address()
        self.upstreams = [
            _free_address() for _ in range(WORKER_POOLS * WORKERS_PER_POOL)
        ]
        log = _free_address()
        self._start("log", "standin", "log", settings={"address": log})
        for pool in range(WORKER_POOLS):
            addresses = self.upstreams[pool::WORKER_POOLS]
            settings = {"addresses": addresses, "slots": SLOTS, "cpus": 4096}
            self._start(f"rack{pool}", "standin", "worker", settings=settings)
        entry = self._start(
            "entry",
            "entry",
            settings=self._entry_settings(log),
            interpreter_flags=["-m", "cProfile", "-o", str(profile)] if profile else [],
        )
        self.entry = psutil.Process(entry.pid)

    def configure(self) -> None:
        """Put a first configuration in force; raise `SpeedError` on a timeout."""
        self._configure()

    def cpu_s(self) -> float:
        """Return the processor time of the entry host in seconds."""
        times = self.entry.cpu_times()
        return times.user + times.system

    def rss_mb(self) -> float:
        """Return the resident memory of the entry host in megabytes."""
        return self.entry.memory_info().rss / 1e6

    def stop(self) -> None:
        """Stop all processes, the entry host first so that it drains."""
        for process in reversed(self._processes):
            process.terminate()
        for process in self._processes:
            with suppress(subprocess.TimeoutExpired):
                process.wait(TIMEOUT_S)
            process.kill()

    def _start(
        self, name, *arguments, settings, interpreter_flags=()
    ) -> subprocess.Popen:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        with (self._folder / f"{name}.log").open("w") as log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    *interpreter_flags,
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
        operator = {"name": "ann", "token_sha256": _sha256(OPERATOR)}
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
        """Plan and confirm a first configuration by the operators' commands."""
        path = self._folder / "configuration.json"
        path.write_text(json.dumps(self._configuration()))
        output = self._folder / "plan"
        self._wait_until(lambda: self._command(output, "plan", "--first", str(path)))
        plan_id = re.search(r"^plan (\S+) ", output.read_text(), re.MULTILINE)[1]
        self._wait_until(lambda: self._command(output, "confirm", plan_id))
        self._wait_until(self._is_ready)

    def _command(self, output: Path, name: str, *arguments: str) -> bool:
        with output.open("w") as file:
            completed = subprocess.run(
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
        return completed.returncode == 0

    def _is_ready(self) -> bool:
        from http.client import HTTPConnection

        connection = HTTPConnection(*split_address(self.http), timeout=5)
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200

    def _wait_until(self, condition) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise SpeedError(f"the deployment did not become ready: {self._folder}")
            time.sleep(0.1)

    def _configuration(self) -> dict:
        contract = {"tail_over_ideal": 100.0, "max_wait_ms": 60_000.0}
        customer = {
            "name": "speed",
            "token_sha256": [_sha256(TOKEN)],
            "quota_slots": 1_000_000,
            "contract": contract,
            "classes": [{"name": JOB_CLASS, "deadline_ms": 60_000.0}],
        }
        operator = {
            "name": "ann",
            "token_sha256": [_sha256(OPERATOR)],
            "rights": ["view", "plan", "confirm"],
        }
        host = {"zone": ZONE, "name": "e1", "http": self.http, "link": self._link}
        upstreams = [
            {
                "zone": ZONE,
                "name": f"w{index}",
                "address": address,
                "slots": SLOTS,
                "cpus": 4096,
                "rack": f"r{index % WORKER_POOLS}",
            }
            for index, address in enumerate(self.upstreams)
        ]
        return {
            "schema_version": 1,
            "customers": [customer],
            "operators": [operator],
            "zones": [{"name": ZONE, "region": "r1"}],
            "entry_hosts": [host],
            "upstreams": upstreams,
        }


def _sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"
