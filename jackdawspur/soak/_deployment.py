"""A store, workers and hosts as processes of their own, proxies between them."""

import json
import subprocess
import sys
import time
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
)

__all__ = ["Answer", "Deployment", "wait_until"]

CALLERS = ThreadPoolExecutor(32, thread_name_prefix="callers")
WAIT_S = 20.0


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold a reply; status 0 stands for a connection that broke.

    `nobody_there` tells that there was no connection to break.
    """

    status: int
    body: dict
    retry_after: str | None = None
    nobody_there: bool = False


def wait_until(condition, what: str, seconds: float = WAIT_S) -> None:
    """Return once the condition holds; fail with its name."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"in {seconds} s there were no {what}")


class Host:
    """Run one host."""

    def __init__(
        self,
        name: str,
        store_port: int,
        ports: PortBlock,
        folder: Path,
        zone: str = "z1",
        most_upstreams: int = 64,
        processor: float = 1.0,
    ) -> None:
        callers, ready, link, announced, metrics, passage = ports.take(6)
        self.name = name
        self.zone = zone
        self.link_proxy = LinkProxy(announced, link)
        self.store_proxy = Proxy(passage, store_port)
        self.callers_port, self.ready_port, self.metrics_port = callers, ready, metrics
        self._file = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
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
            "store": f"127.0.0.1:{passage}",
        }
        self._file.write_text(json.dumps(settings))
        self.start()

    def start(self) -> None:
        """Start the process."""
        words = ["front", f"--settings={self._file}"]
        self.started_at = time.monotonic()
        self.process = _run(words, self._log)

    def call(self, method: str, path: str, body=None, port: int | None = None):
        """Ask the host and return its answer."""
        return _call(port or self.callers_port, method, path, body)

    def is_ready(self) -> bool:
        """Tell whether the host wants connections."""
        return self.call("GET", "/ready", port=self.ready_port).status == 200

    def leader(self) -> str | None:
        """Return the name of the host that this one follows, its own if it leads."""
        return self.call("GET", "/status", port=self.metrics_port).body.get("leader")

    def leads(self) -> bool:
        """Tell whether the host leads."""
        return self.leader() == self.name

    def log_mentions(self, job: str) -> bool:
        """Tell whether a line of the log names a job."""
        return job in self._log.read_text()

    def log_lines(self) -> list[dict]:
        """Return the log so far."""
        return [json.loads(line) for line in self._log.read_text().splitlines()]


class Deployment:
    """Run a stand-in of the platform and some hosts."""

    def __init__(
        self,
        folder: Path,
        hosts: int = 3,
        workers: int = 4,
        zones: tuple[str, ...] = ("z1",),
        most_upstreams: int = 64,
        processors: tuple[float, ...] = (1.0,),
    ) -> None:
        self._ports = PortBlock()
        self._start_platform(folder, workers, zones)
        self.hosts: list[Host] = []
        self._next_job = 0x1000
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
                )
                self.hosts.append(host)
            wait_until(lambda: all(h.is_ready() for h in self.hosts), "ready hosts")
        except Exception:
            self.close()
            raise

    def _start_platform(
        self, folder: Path, workers: int, zones: tuple[str, ...]
    ) -> None:
        store, *ports = self._ports.take(2 * workers + 1)
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
            "configuration": {"version": 3, "routes": [PLATFORM_ROUTE]},
        }
        file = folder / "platform.json"
        file.write_text(json.dumps(settings))
        words = ["standin", f"--settings={file}", "platform"]
        self._platform = _run(words, folder / "platform.log")

    def next_job_id(self) -> str:
        """Return the id of a job not sent yet."""
        self._next_job += 1
        return f"{self._next_job:016x}"

    def submit(
        self,
        host: Host,
        run_ms: float = 100.0,
        tasks: int = 1,
        job: str | None = None,
        fails: bool = False,
    ) -> Future:
        """Send a job from a thread and return its future answer."""
        job = job or self.next_job_id()
        body = platform_job_body(run_ms, tasks, fails)
        return CALLERS.submit(host.call, "POST", f"/q/{job}", body)

    def leader(self) -> Host:
        """Return the host that leads, once all that run follow it.

        While hosts start on a busy machine two may lead for a moment.
        """
        found: list[str] = []

        def agreed() -> bool:
            name = self._followed()
            if name is not None:
                found.append(name)
            return bool(found)

        wait_until(agreed, "leading host of all")
        return next(host for host in self.hosts if host.name == found[0])

    def set_faults(self, **faults) -> None:
        """Let the store be away or workers be silent."""
        assert _call(self._store_port, "POST", "/faults", faults).status == 200

    def report(self) -> PlatformReport:
        """Return what the workers have counted."""
        body = _call(self._store_port, "GET", "/report", None).body
        return msgspec.convert(body, PlatformReport)

    def close(self) -> None:
        """End all processes of this deployment."""
        for process in [*(h.process for h in self.hosts), self._platform]:
            process.kill()
            process.wait()
        proxies = [proxy for h in self.hosts for proxy in (h.store_proxy, h.link_proxy)]
        for proxy in [*proxies, *self.worker_proxies]:
            proxy.close()
        self._ports.close()

    def _followed(self) -> str | None:
        """Return the host that all follow, None while they name different ones."""
        running = [host for host in self.hosts if host.process.poll() is None]
        names = {host.leader() for host in running}
        return names.pop() or None if len(names) == 1 else None


def stop_host(host: Host, seconds: float = 8.0) -> int:
    """Ask a host to stop and return its exit status."""
    host.process.send_signal(SIGTERM)
    return host.process.wait(seconds)


def wait_for_answers(futures: list[Future]) -> list[Answer]:
    """Return the answers, once all are there."""
    return [future.result(WAIT_S) for future in futures]


def _run(words: list[str], log: Path) -> subprocess.Popen:
    with log.open("ab") as output:
        return subprocess.Popen(
            [sys.executable, "-m", "jackdawspur", *words],
            stdout=output,
            stderr=subprocess.STDOUT,
        )


def _call(port: int, method: str, path: str, body) -> Answer:
    connection = HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, PLATFORM_HEADERS)
        response = connection.getresponse()
        text = response.read().decode()
        retry = response.getheader("Retry-After")
        return Answer(response.status, json.loads(text or "{}"), retry)
    except ConnectionRefusedError:
        return Answer(0, {}, nobody_there=True)
    except OSError:
        return Answer(0, {})
    except Exception as error:
        return Answer(0, {"error": str(error)})
    finally:
        connection.close()
