"""A store, workers and hosts as separate processes, connected through proxies."""

import json
import subprocess
import sys
import time
from collections.abc import Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from http.client import HTTPConnection
from pathlib import Path
from signal import SIGTERM

import msgspec

from jackdawspur.soak._link_proxy import LinkProxy
from jackdawspur.soak._ports import PortBlock
from jackdawspur.soak._proxy import Proxy
from jackdawspur.standins import (
    PLATFORM_HEADERS,
    PLATFORM_ROUTE,
    PlatformReport,
    platform_job_body,
    write_upstream_entry,
)

__all__ = ["Answer", "Deployment", "wait_until"]

# More than the callers that wait at a time under overload.
CALLER_THREADS = ThreadPoolExecutor(96, thread_name_prefix="callers")
WAIT_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class Answer:
    """A reply of a host; status 0 means that the connection broke.

    `nobody_there` is set if the connection was refused.
    """

    status: int
    body: dict
    retry_after: str | None = None
    nobody_there: bool = False


def wait_until(condition, description: str, seconds: float = WAIT_TIMEOUT_S) -> None:
    """Wait until the condition holds; fail with its description after `seconds`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"timed out after {seconds} s waiting for {description}")


class Host:
    """One host process, with proxies before its link and its store."""

    def __init__(
        self,
        name: str,
        store_port: int,
        ports: PortBlock,
        folder: Path,
        zone: str = "z1",
        most_upstreams: int = 64,
        processor: float = 1.0,
        limits: Mapping[str, float] | None = None,
    ) -> None:
        callers, ready, link, announced, metrics, store_proxy_port = ports.allocate(6)
        self.name = name
        self.zone = zone
        self.link_proxy = LinkProxy(announced, link)
        self.store_proxy = Proxy(store_proxy_port, store_port)
        self.callers_port, self.ready_port, self.metrics_port = callers, ready, metrics
        self.link_port = link
        self._settings_file = folder / f"{name}.json"
        self._log_file = folder / f"{name}.log"
        settings = {
            "name": name,
            "zone": zone,
            "most_upstreams": most_upstreams,
            "processor": processor,
            "callers": f"127.0.0.1:{callers}",
            "ready": f"127.0.0.1:{ready}",
            "link": f"127.0.0.1:{link}",
            "announced": f"127.0.0.1:{announced}",
            "metrics": f"127.0.0.1:{metrics}",
            "store": f"127.0.0.1:{store_proxy_port}",
            **(limits or {}),
        }
        self._settings_file.write_text(json.dumps(settings))
        self.start()

    def start(self) -> None:
        """Start the process."""
        arguments = ["front", f"--settings={self._settings_file}"]
        self.started_at = time.monotonic()
        self.process = _start_process(arguments, self._log_file)

    def call(self, method: str, path: str, body=None, port: int | None = None):
        """Send a request to the host and return its answer."""
        return _send_request(port or self.callers_port, method, path, body)

    def is_ready(self) -> bool:
        """Return whether the host passes its readiness probe."""
        return self.call("GET", "/ready", port=self.ready_port).status == 200

    def leader(self) -> str | None:
        """Return the name of the leader that the host reports, which may be itself."""
        return self.call("GET", "/status", port=self.metrics_port).body.get("leader")

    def is_leader(self) -> bool:
        """Return whether the host is a leader."""
        return self.leader() == self.name

    def log_mentions(self, job: str) -> bool:
        """Return whether the log mentions a job."""
        return job in self._log_file.read_text()

    def count_in_log(self, text: str) -> int:
        """Return how often the log contains a text."""
        return self._log_file.read_text().count(text)

    @property
    def log_bytes(self) -> int:
        """Return the size of the log so far."""
        return self._log_file.stat().st_size

    def log_lines(self) -> list[dict]:
        """Return the parsed lines of the log so far."""
        return [json.loads(line) for line in self._log_file.read_text().splitlines()]


class Deployment:
    """A stand-in of the platform and several hosts, as processes."""

    def __init__(
        self,
        folder: Path,
        hosts: int = 3,
        workers: int = 4,
        zones: tuple[str, ...] = ("z1",),
        most_upstreams: int = 64,
        processors: tuple[float, ...] = (1.0,),
        priorities: tuple[int, ...] = (0,),
        limits: Mapping[str, float] | None = None,
    ) -> None:
        self._ports = PortBlock()
        self._start_platform(folder, workers, zones, priorities)
        self.hosts: list[Host] = []
        self._last_job_number = 0x1000
        try:
            for number in range(hosts):
                host = Host(
                    f"h{number}",
                    self._store_port,
                    self._ports,
                    folder,
                    zones[number % len(zones)],
                    most_upstreams,
                    processors[number % len(processors)],
                    limits,
                )
                self.hosts.append(host)
            wait_until(lambda: all(h.is_ready() for h in self.hosts), "ready hosts")
        except Exception:
            self.close()
            raise

    def _start_platform(
        self,
        folder: Path,
        workers: int,
        zones: tuple[str, ...],
        priorities: tuple[int, ...],
    ) -> None:
        store, *ports = self._ports.allocate(2 * workers + 1)
        self._store_port = store
        listening, announced = ports[:workers], ports[workers:]
        self.worker_proxies = [
            Proxy(*pair) for pair in zip(announced, listening, strict=True)
        ]
        settings = {
            "store": f"127.0.0.1:{store}",
            "workers": [f"127.0.0.1:{port}" for port in listening],
            "announced": [f"127.0.0.1:{port}" for port in announced],
            "zones": list(zones),
            "configuration": {"version": 3, "routes": [*map(_route, priorities)]},
        }
        settings_file = folder / "platform.json"
        settings_file.write_text(json.dumps(settings))
        arguments = ["standin", f"--settings={settings_file}", "platform"]
        self._platform = _start_process(arguments, folder / "platform.log")

    def next_job_id(self) -> str:
        """Return a new job id."""
        self._last_job_number += 1
        return f"{self._last_job_number:016x}"

    def submit(
        self,
        host: Host,
        run_ms: float = 100.0,
        tasks: int = 1,
        job: str | None = None,
        fails: bool = False,
        priority: int = 0,
    ) -> Future:
        """Send a job from a caller thread and return the future of its answer."""
        job = job or self.next_job_id()
        body = platform_job_body(run_ms, tasks, fails)
        path = f"{_path_prefix(priority)}{job}"
        return CALLER_THREADS.submit(host.call, "POST", path, body)

    def leader(self) -> Host:
        """Return the leader, once all running hosts report the same one.

        While hosts start on a busy machine there may be two leaders for a moment.
        """
        agreed_names: list[str] = []

        def all_agree() -> bool:
            name = self._common_leader()
            if name is not None:
                agreed_names.append(name)
            return bool(agreed_names)

        wait_until(all_agree, "leader that all hosts follow")
        return next(host for host in self.hosts if host.name == agreed_names[0])

    def set_faults(self, **faults) -> None:
        """Replace the faults of the platform stand-in, such as `store_down`."""
        assert _send_request(self._store_port, "POST", "/faults", faults).status == 200

    def write_entry(self, name: bytes, value: bytes) -> None:
        """Write a record among the entries of the workers, as any writer may."""
        write_upstream_entry(self._store_port, name, value)

    def report(self) -> PlatformReport:
        """Return the counters of the workers."""
        body = _send_request(self._store_port, "GET", "/report", None).body
        return msgspec.convert(body, PlatformReport)

    def close(self) -> None:
        """End all processes and proxies of this deployment."""
        for process in [*(h.process for h in self.hosts), self._platform]:
            process.kill()
            process.wait()
        proxies = [proxy for h in self.hosts for proxy in (h.store_proxy, h.link_proxy)]
        for proxy in [*proxies, *self.worker_proxies]:
            proxy.close()
        self._ports.close()

    def _common_leader(self) -> str | None:
        """Return the leader that all running hosts report, or None if they differ."""
        running = [host for host in self.hosts if host.process.poll() is None]
        names = {host.leader() for host in running}
        return names.pop() or None if len(names) == 1 else None


def _path_prefix(priority: int) -> str:
    return f"/q{priority}/" if priority else PLATFORM_ROUTE["path_prefix"]


def _route(priority: int) -> dict:
    """Return the route of a priority in the platform's configuration."""
    return PLATFORM_ROUTE | {
        "name": f"r-{priority + 1}",
        "path_prefix": _path_prefix(priority),
        "priority": priority,
    }


def stop_host(host: Host, seconds: float = 8.0) -> int:
    """Send SIGTERM to a host, wait for it and return its exit status."""
    host.process.send_signal(SIGTERM)
    return host.process.wait(seconds)


def wait_for_answers(futures: list[Future]) -> list[Answer]:
    """Wait for all answers and return them."""
    return [future.result(WAIT_TIMEOUT_S) for future in futures]


def _start_process(arguments: list[str], log: Path) -> subprocess.Popen:
    with log.open("ab") as output:
        return subprocess.Popen(
            [sys.executable, "-m", "jackdawspur", *arguments],
            stdout=output,
            stderr=subprocess.STDOUT,
        )


def _send_request(port: int, method: str, path: str, body) -> Answer:
    connection = HTTPConnection("127.0.0.1", port, timeout=WAIT_TIMEOUT_S)
    try:
        encoded = None if body is None else json.dumps(body)
        connection.request(method, path, encoded, PLATFORM_HEADERS)
        response = connection.getresponse()
        text = response.read().decode()
        retry_after = response.getheader("Retry-After")
        return Answer(response.status, json.loads(text or "{}"), retry_after)
    except ConnectionRefusedError:
        return Answer(0, {}, nobody_there=True)
    except OSError:
        return Answer(0, {})
    except Exception as error:
        return Answer(0, {"error": str(error)})
    finally:
        connection.close()
