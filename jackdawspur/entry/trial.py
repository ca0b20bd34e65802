"""Runs the processes of a deployment on this machine, for tests and measurements."""

import http.client
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

import msgspec
from pydantic import TypeAdapter

from jackdawspur.adapters import split_address
from jackdawspur.configuration import (
    Configuration,
    Intent,
    ReadinessReason,
    changes_between,
)
from jackdawspur.entry._trial_settings import (
    OPERATORS,
    Sizes,
    TrialSettings,
    make_settings,
)
from jackdawspur.exceptions import JackdawspurError
from jackdawspur.settings import EntrySettings
from jackdawspur.standins import WorkerCounters

__all__ = ["Deployment", "HttpAnswer", "Program", "TrialFailed", "call", "wait_until"]

TIMEOUT_S = 30.0
POLL_S = 0.02
KILL_TIMEOUT_S = 5.0


class TrialFailed(JackdawspurError):
    """Raised when a deployment doesn't reach an expected state in time."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Answer to an HTTP call."""

    status: int
    text: str

    @property
    def json(self):
        """Return the body as JSON."""
        return msgspec.json.decode(self.text)


def call(
    address: str,
    method: str,
    path: str,
    token: str = "",
    body: object = None,
    key: str | None = None,
) -> HttpAnswer:
    """Make one HTTP call; raise `OSError` or `HTTPException` if it gets no answer."""
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    if key is not None:
        headers["Idempotency-Key"] = key
    host_and_port = split_address(address)
    connection = http.client.HTTPConnection(*host_and_port, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, b"" if body is None else data, headers)
        response = connection.getresponse()
        return HttpAnswer(response.status, response.read().decode())
    finally:
        connection.close()


def wait_until(
    condition: Callable[[], bool], what: str, timeout_s: float = TIMEOUT_S
) -> None:
    """Wait until `condition` returns true; raise `TrialFailed` after the timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(POLL_S)
    raise TrialFailed(f"not within {timeout_s} s: {what}")


class Program:
    """One process and its arguments."""

    def __init__(self, name: str, folder: Path, arguments: Iterable[str]) -> None:
        self.name = name
        self._folder = folder
        self._arguments = tuple(arguments)
        self._process: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def output(self) -> str:
        """Return the text written to standard output."""
        return (self._folder / f"{self.name}.out").read_text()

    @property
    def log_output(self) -> str:
        """Return the text written to standard error."""
        return (self._folder / f"{self.name}.err").read_text()

    def start(self) -> None:
        """Start the process; output of earlier runs is kept."""
        command = [sys.executable, "-m", "jackdawspur", *self._arguments]
        with (
            open(self._folder / f"{self.name}.out", "ab") as out,
            open(self._folder / f"{self.name}.err", "ab") as err,
        ):
            self._process = subprocess.Popen(command, stdout=out, stderr=err)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, not to its group."""
        self._process.send_signal(number)

    def wait(self, timeout_s: float = TIMEOUT_S) -> int:
        """Return the exit status; raise `TrialFailed` after the timeout."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise TrialFailed(f"{self.name} did not end in {timeout_s} s") from error

    def kill(self) -> None:
        """Kill the process, even if it is suspended."""
        if self.running:
            self._process.kill()
            self._process.wait(KILL_TIMEOUT_S)


class EntryProgram(Program):
    """Process of one entry host."""

    def __init__(self, settings: EntrySettings, folder: Path) -> None:
        name = f"{settings.zone}-{settings.name}"
        path = _write(folder, name, settings)
        super().__init__(name, folder, ("entry", f"--settings={path}"))
        self.settings = settings

    @property
    def address(self) -> str:
        """Return the address on which it serves HTTP."""
        return self.settings.http

    def call(
        self,
        method: str,
        path: str,
        token: str = "",
        body: object = None,
        key: str | None = None,
    ) -> HttpAnswer:
        """Make one HTTP call to this host."""
        return call(self.address, method, path, token, body, key)

    def ready(self) -> bool:
        """Return whether the host is ready."""
        return self.call("GET", "/readyz").status == HTTPStatus.OK

    def live(self) -> bool:
        """Return whether the host answers."""
        return self.call("GET", "/livez").status == HTTPStatus.OK

    def status(self, token: str = OPERATORS[0]) -> dict:
        """Return the status for operators as decoded JSON."""
        return self.call("GET", "/status", token).json

    def version(self) -> int:
        """Return the version in force on this host."""
        return self.status()["configuration"]["version"]


class Deployment:
    """Starts and ends the processes of one deployment, and injects faults."""

    def __init__(self, folder: Path, sizes: Sizes) -> None:
        self.folder = folder
        self.settings: TrialSettings = make_settings(sizes)
        self.hosts = tuple(EntryProgram(s, folder) for s in self.settings.hosts)
        self._standins = tuple(self._make_standins())
        self._other_programs: list[Program] = []
        document = TypeAdapter(Configuration).dump_json(self.settings.configuration)
        self.document = folder / "configuration.json"
        self.document.write_bytes(document)

    def _make_standins(self) -> Iterable[Program]:
        programs = [("log", "log", self.settings.log)]
        programs += [("hostlist", "hostlist", self.settings.host_list)]
        programs += [
            (f"rack{number}", "worker", worker_pool)
            for number, worker_pool in enumerate(self.settings.worker_pools)
        ]
        for name, kind, settings in programs:
            path = _write(self.folder, name, settings)
            yield Program(name, self.folder, ("standin", kind, f"--settings={path}"))

    def start(self) -> None:
        """Start all processes and put the first configuration into force."""
        for program in (*self._standins, *self.hosts):
            program.start()
        self.confirm_first()
        self.wait_ready()

    def confirm_first(self) -> None:
        """Plan and confirm the whole configuration through the first host."""
        host = self.hosts[0]
        wait_until(host.live, "an answer of the first entry host")
        changes = changes_between(Configuration(), self.settings.configuration)
        intent = Intent(reason="first configuration", changes=changes)
        body = TypeAdapter(Intent).dump_json(intent)
        # The host refuses plans until it has read the empty log to its end.
        wait_until(lambda: _lacks_configuration(host), "the end of the empty log")
        plan = self.plan(host, body).json["body"]["id"]
        answer = self.confirm(host, plan)
        if answer.status != HTTPStatus.OK:
            raise TrialFailed(f"first configuration not confirmed: {answer.text}")

    def plan(
        self, host: EntryProgram, intent: object, operator: str = OPERATORS[0]
    ) -> HttpAnswer:
        """Plan an intent at a host."""
        return host.call("POST", "/admin/v1/plans", operator, intent)

    def confirm(
        self, host: EntryProgram, plan: str, operator: str = OPERATORS[0]
    ) -> HttpAnswer:
        """Confirm a plan at a host."""
        return host.call("POST", f"/admin/v1/plans/{plan}/confirm", operator)

    def wait_ready(self, hosts: Iterable[EntryProgram] | None = None) -> None:
        """Wait until hosts are ready; all of them by default."""
        for host in self.hosts if hosts is None else hosts:
            wait_until(host.ready, f"readiness of {host.name}")

    def wait_version(self, version: int) -> None:
        """Wait until a version is in force on all hosts."""
        for host in self.hosts:
            wait_until(
                lambda host=host: host.version() >= version,
                f"version {version} on {host.name}",
            )

    def wait_log_read(self) -> None:
        """Wait until every host has read the log to its end, as after an outage.

        Until then a host refuses all plans as not ready. After that it refuses the
        empty plan sent here as a bad request.
        """
        for host in self.hosts:
            wait_until(
                lambda host=host: self.plan(host, {}).status == HTTPStatus.BAD_REQUEST,
                f"the log read to its end on {host.name}",
            )

    def set_log_faults(self, **faults: object) -> None:
        """Set the injected faults of the log; without arguments, remove all."""
        _expect_ok(call(self.settings.log.address, "POST", "/faults", body=faults))

    def set_leaving(self, address: str, leaving: bool = True) -> None:
        """Make an upstream refuse starts as a leaving one does, or accept them."""
        _expect_ok(call(address, "POST", "/faults", body={"leaving": leaving}))

    def counters(self, address: str) -> WorkerCounters:
        """Return the counters of one upstream."""
        answer = call(address, "GET", "/v1/counters")
        return msgspec.json.decode(answer.text, type=WorkerCounters)

    def starts(self) -> int:
        """Return the number of starts counted by all upstreams."""
        return sum(self.counters(a).starts for a in self.upstreams())

    def started_twice(self) -> int:
        """Return the number of tasks that upstreams started twice."""
        return sum(self.counters(a).started_twice for a in self.upstreams())

    def upstreams(self) -> tuple[str, ...]:
        """Return the addresses of the running upstreams."""
        return tuple(
            a
            for worker_pool in self.settings.worker_pools
            for a in worker_pool.addresses
        )

    def run(self, name: str, *arguments: str) -> Program:
        """Start another program, such as a load generator; `close` kills it."""
        program = Program(name, self.folder, arguments)
        self._other_programs.append(program)
        program.start()
        return program

    def close(self) -> None:
        """Kill all processes that this deployment started."""
        for program in (*self._other_programs, *self.hosts, *self._standins):
            program.kill()


def _lacks_configuration(host: EntryProgram) -> bool:
    reason = host.status()["configuration"]["readiness"]["reason"]
    return reason == ReadinessReason.NO_CONFIGURATION


def _write(folder: Path, name: str, settings: object) -> Path:
    path = folder / f"{name}.json"
    path.write_bytes(msgspec.json.encode(settings))
    return path


def _expect_ok(answer: HttpAnswer) -> None:
    if answer.status != HTTPStatus.OK:
        raise TrialFailed(f"a stand-in refused: {answer.status} {answer.text}")
