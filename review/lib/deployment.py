"""A small deployment: hosts as processes, with the stand-ins of the platform.

Hosts are started with the command of deploy/system.toml and the settings that
DEPLOY.md tells, on loopback addresses.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from http11 import Call, serve
from network import Network
from standins import Platform, Record

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
ZONES = ("port-louis", "pamplemousses", "grand-baie")
SERVICE = "roster"
ROUTE = {
    "name": "r-1",
    "host": "nony24.example",
    "path_prefix": "/lohu930/",
    "kind": "non_idempotent",
    "timeout_ms": 20_000,
    "slo_ms": 60,
    "priority": 0,
    "service": SERVICE,
    "max_attempts": 4,
    "stretch": 1.6,
}


class CannotRun(Exception):
    """Raised when the case can't run here."""


def free_network():
    """Return the first three bytes of a loopback network that nothing else uses."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{prefix}.11", METRICS_PORT))
                return prefix
            except OSError:
                continue
    raise CannotRun("no free loopback address")


class Host:
    """One host process."""

    def __init__(self, deployment, name, zone, ip):
        self.deployment = deployment
        self.name, self.zone, self.ip = name, zone, ip
        self.callers, self.ready = (ip, 8161), (ip, 8167)
        self.store = deployment.store_address
        self._settings = deployment.folder / f"{name}.conf"
        self.log = deployment.folder / f"{name}.log"
        self.process = None

    def settings(self):
        """Return the settings file of a 'front' machine, as `fleetbench wire` shows."""
        zones = "".join(f"zones.{zone}=mu-north\n" for zone in ZONES)
        return (
            f"node_name={self.name}\nrole=host\nmachine_class=front\nserves=front\n"
            f"ip={self.ip}\nzone={self.zone}\nregion=mu-north\n{zones}"
            f"listen.front={self.ip}:8161\nlisten.ready={self.ip}:8167\n"
            f"port_range=7720,7735\nbootstrap=true\n"
            "limits.cpu_share=0.537\nlimits.cores=2\nlimits.memory_mb=300\n"
            "limits.max_fds=4100\nlimits.link_mbps=1000.0\ndiscovery=platform\n"
            "heartbeat_ms=1500\nbounds.grace_s=6\nbounds.cancel_ms=3000\n"
            "bounds.hold_max_ms=1000\nbounds.stop_timeout_ms=50\n"
            "bounds.resend_ms=1300\nbounds.remote_factor=3\norders=call\n"
            f"platform.address={self.store[0]}:{self.store[1]}\nplatform.form=log\n"
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        self._settings.write_text(self.settings())
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "JACKDAWSPUR_CONFIG": str(self._settings),
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    async def is_ready(self):
        """Return whether the host passes the probe of the platform."""
        call = Call(self.ready, "GET", "/ready", {"Host": "x"})
        return (await call.run(1.0))[0] == 200

    async def status(self):
        """Return the status page for operators (only used to prepare a case)."""
        call = Call((self.ip, METRICS_PORT), "GET", "/status", {"Host": "x"})
        status, body = await call.run(1.0)
        return json.loads(body) if status == 200 else {}

    def signal(self, signo):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signo)


class Deployment:
    """Hosts, store and workers."""

    def __init__(self, record, cuts_zones=False):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = free_network()
        self.store_address = (f"{self.prefix}.2", 8169)
        self.network = Network(self.prefix, ZONES) if cuts_zones else None
        self.platform = Platform(record, self.network)
        self.hosts = []
        self.version = 0

    async def start(self, hosts=6, workers=24, routes=(ROUTE,), pools=0):
        """Start all, and wait until each host is ready.

        Workers are served here, or by `pools` processes of their own.
        """
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        await self.platform.start_store(self.store_address)
        await self.configure(routes)
        self._pools = pools
        await self.add_workers(workers)
        for number in range(hosts):
            zone = ZONES[number % len(ZONES)]
            name = f"front-{zone}-{number // len(ZONES) + 1}"
            host = Host(self, name, zone, f"{self.prefix}.{11 + number}")
            self.hosts.append(host)
        if self.network is not None:
            await self._start_network()
        for host in self.hosts:
            host.start()
        await self.wait_until(self.all_ready, 30.0, "ready hosts")
        await asyncio.sleep(4.0)

    async def add_workers(self, count):
        """Start workers."""
        rows = []
        for number in range(len(self.platform.workers), len(self.platform.workers) + count):
            address = (f"{self.prefix}.{100 + number}", 8080)
            rows.append((address, ZONES[number % len(ZONES)]))
        if not self._pools:
            for address, zone in rows:
                await self.platform.start_worker(address, zone, SERVICE)
            return
        size = -(-len(rows) // self._pools)
        for first in range(0, len(rows), size):
            await self.platform.start_workers(rows[first : first + size], SERVICE)

    async def _start_network(self):
        """Give each host a store address of its own, and start the proxies."""
        await self.network.add_hosts([host.zone for host in self.hosts])
        for number, host in enumerate(self.hosts):
            host.store = (f"{self.prefix}.{3 + number}", 8169)
            handle = self.network.gate_store(number, self.platform.store.handle)
            await serve(host.store, handle)

    async def all_ready(self):
        """Return whether all hosts are ready."""
        return all([await host.is_ready() for host in self.hosts])

    async def wait_until(self, condition, seconds, what):
        """Wait for a condition; raise `CannotRun` if it doesn't hold in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"no {what} within {seconds} s")

    async def leader(self):
        """Return the host that leads, by the hosts' status pages."""
        names = [(await host.status()).get("leader") for host in self.hosts]
        leaders = [host for host in self.hosts if host.name == names[0]]
        if len(set(names)) != 1 or not leaders:
            raise CannotRun(f"no common leader: {names}")
        return leaders[0]

    async def configure(self, routes):
        """Write a configuration as the operator does."""
        self.version += 3
        service = {"name": SERVICE, "health_path": "/health", "max_conns": 64}
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
        body = {
            "version": self.version,
            "routes": list(routes),
            "services": [service],
            "limits": limits,
        }
        await self.platform.store.put("keyed.op", "config", json.dumps(body).encode())

    async def call(self, host, method, job, body=None, limit_ms=20_000, route=ROUTE):
        """Send a client's request on a channel of its own; record it and its answer."""
        return await self.open_call(host, method, job, body, limit_ms, route)[1]

    def open_call(self, host, method, job, body=None, limit_ms=20_000, route=ROUTE):
        """Return a call, whose channel may be closed early, and its answer to await."""
        headers = {
            "Host": route["host"],
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(limit_ms),
        }
        data = b"" if body is None else json.dumps(body).encode()
        path = route["path_prefix"] + job
        call = Call(host.callers, method, path, headers, data)

        async def run():
            self.record.add("sent", to=host.name, method=method, job=job)
            status, text = await call.run(limit_ms / 1000 + 0.5)
            answer = {"to": host.name, "method": method, "job": job}
            self.record.add("answered", **answer, status=status, body=text[:200])
            return status, text

        return call, run()

    def close(self):
        """End all processes."""
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
        self.platform.close()
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def job_id():
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def job_body(run_ms, steps, tasks, cpu=14_000):
    """Return a job of steps that follow each other, as a client sends it."""
    rows = []
    for number in range(steps):
        row = {"count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": run_ms}
        rows.append(row | ({"after": [number - 1]} if number else {}))
    return {"spec": json.dumps({"run_ms": run_ms}), "best_effort": True, "steps": rows}


def main(folder, play, cuts_zones=False):
    """Run `play(deployment, trouble) -> findings`, write the record, and exit.

    The status is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
    """
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = Deployment(record, cuts_zones)
        try:
            return await play(deployment, trouble)
        finally:
            deployment.close()

    loop = asyncio.new_event_loop()
    playing = loop.create_task(run())
    for signo in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signo, playing.cancel)
    try:
        findings = loop.run_until_complete(playing)
        status = 1 if findings else 0
        for text in findings:
            record.add("finding", text=text)
    except (CannotRun, asyncio.CancelledError) as error:
        reason = str(error) or "it was ended from outside"
        record.add("cannot-run", reason=reason)
        findings, status = [reason], 2
    record.add("result", status=status, trouble=trouble)
    record.write(Path(folder) / "record.txt")
    print("\n".join(findings) if findings else "the rule held", flush=True)
    os._exit(status)
