"""A small deployment: store, workers, hosts as processes, clients, and the checks."""

import asyncio
import os
import random
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from http_small import call  # noqa: E402
from platform_small import Store, Worker  # noqa: E402

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """\
node_name={name}
role=host
machine_class=front
serves=front
ip={ip}
zone={zone}
region=r1
{zones}
listen.front={ip}:{front}
listen.ready={ip}:{ready}
port_range={link},{link_end}
bootstrap=true
loss_counts=false
limits.cpu_share={share}
limits.cores={cores}
limits.memory_mb={memory}
limits.max_fds=4100
limits.link_mbps={link_mbps}
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
fault_tolerance.machines=1
fault_tolerance.zones=1
bounds.stable_window_ms=3000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.hold_max_ms=1000
bounds.stop_timeout_ms=50
bounds.cancel_ms=3000
bounds.remote_factor=3
bounds.resend_ms=1300
orders=call
platform.address={store}
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts=16
platform.record_bytes=262144
platform.call_bytes=2097152
"""
HOST = "jobs.example"
PREFIX = "/q1/"
SERVICE = "svc"


class Host:
    """One host of the system, at a loopback address of its own."""

    def __init__(self, world, name, ip, zone, ports):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.front, self.ready_port = f"{ip}:{ports[0]}", f"{ip}:{ports[1]}"
        self.door = world.store.add_door(name, f"{ip}:{ports[3]}")
        self.file = world.folder / f"{name}.conf"
        self.log_file = world.folder / f"{name}.log"
        zones = "\n".join(f"zones.{z}=r1" for z in world.zones)
        self.file.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                zones=zones,
                front=ports[0],
                ready=ports[1],
                link=ports[2],
                link_end=ports[2],
                store=self.door.address,
                **world.size,
            )
        )
        self.process = None

    def start(self):
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": str(self.world.folder),
            "LANG": "C.UTF-8",
            "JACKDAWSPUR_CONFIG": str(self.file),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_file.open("ab") as out:
            self.process = subprocess.Popen(
                self.world.command, cwd=ROOT, env=env, stdout=out, stderr=out
            )

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        status, _ = await call(self.ready_port, "GET", "/ready", timeout=0.5)
        return status == 200

    async def status(self):
        _, body = await call(f"{self.ip}:9464", "GET", "/status", timeout=1.0)
        return body


class World:
    """All parts, the record of what happened, and the faults found."""

    def __init__(self, record, zones=("z1", "z2", "z3"), seed=1, size=None):
        # The machines of a small installation, as SYSTEM.md tells them.
        self.size = {"share": 0.537, "cores": 2, "memory": 300, "link_mbps": 1000.0}
        self.size |= size or {}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Path(record).open("w")
        self.zones = zones
        self.store = Store()
        self.hosts, self.workers = [], []
        self.jobs = {}
        self.run_times = {}
        self.random = random.Random(seed)
        self.broken = []
        self.running = {}
        self.starts = 0
        self.t0 = time.monotonic()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        words = shlex.split(role["run"])
        self.command = [
            sys.executable if words[0] == "python3" else words[0],
            *words[1:],
        ]
        # 127.A.B.0/24 of this run's own, so that several runs don't meet.
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.port = 7720

    def say(self, text):
        self.record.write(f"{time.monotonic() - self.t0:8.3f} {text}\n")
        self.record.flush()

    def cost(self, task):
        job, _, step, _ = task.split(".")
        body = self.jobs.get(job)
        return 0 if body is None else body["steps"][int(step)].get("cpu", 0)

    def note(self, what, worker, task, run):
        self.say(f"{worker.name} {what} {task} run {run}")
        self.running.get(task, {}).pop((worker.name, worker.born, run), None)

    def started(self, worker, task, run, body):
        self.starts += 1
        used = sum(self.cost(r["task"]) for r in worker.runs.values())
        self.say(
            f"{worker.name} starts {task} run {run} fence {body['fencing_token']}"
            f" uses {used} of {worker.cpu}"
        )
        places = self.running.setdefault(task, {})
        places[worker.name, worker.born, run] = time.monotonic()
        job, _, step, _ = task.split(".")
        known = self.jobs.get(job)
        if known is None or body["spec"] != known["spec"]:
            self.fault("UNASKED", f"{task} on {worker.name}")
        if used > worker.cpu:
            self.fault(
                "LIMIT", f"{worker.name} uses {used} of {worker.cpu} with {task}"
            )
        if len(places) > 1:
            self.fault("TWICE", f"{task} runs at {sorted(places)}")
        if known is not None:
            label = known["steps"][int(step)].get("requires", "")
            if label and label not in worker.labels:
                self.fault(
                    "ROUTE",
                    f"{task} requires {label}, {worker.name} has {worker.labels}",
                )

    def fault(self, rule, text):
        self.broken.append((time.monotonic(), rule, text))
        self.say(f"BROKEN {rule}: {text}")

    def new_id(self):
        return f"{random.getrandbits(64):016x}"

    def config(self, version=3, routes=None):
        route = {
            "name": "r-1",
            "host": HOST,
            "path_prefix": PREFIX,
            "service": SERVICE,
            "timeout_ms": 1500,
            "slo_ms": 60,
            "stretch": 1.6,
            "priority": 0,
            "max_attempts": 3,
        }
        return {
            "version": version,
            "routes": routes or [route],
            "services": [{"name": SERVICE, "rejects_overload": False}],
            "limits": {"max_body_bytes": 262144, "max_header_bytes": 65536},
        }

    def add_worker(self, index, zone, cpu, labels, run_ms=None):
        worker = Worker(
            self,
            f"w-{index:02d}{random.getrandbits(24):06x}",
            f"{self.net}.{100 + index}:8100",
            zone,
            SERVICE,
            cpu,
            labels,
            run_ms or (lambda task: self.run_times.get(task.split(".")[0], 200.0)),
        )
        self.workers.append(worker)
        return worker

    def add_host(self, index, zone):
        host = Host(
            self,
            f"front-{zone}-{index}",
            f"{self.net}.{10 + index}",
            zone,
            (8161, 8167, 7720, 8169),
        )
        self.hosts.append(host)
        return host

    async def start(self):
        await self.store.write_json("keyed.op", "config", self.config())
        for host in self.hosts:
            await host.door.server.start()
        for worker in self.workers:
            await worker.boot()
        for host in self.hosts:
            host.start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            states = await asyncio.gather(*(h.is_ready() for h in self.hosts))
            if all(states):
                self.say("all hosts are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("hosts did not get ready")

    async def leader(self, seconds=10.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = await asyncio.gather(*(h.status() for h in self.hosts))
            names = {s.get("leader") for s in found if s}
            if len(names) == 1 and (name := names.pop()):
                return next(h for h in self.hosts if h.name == name)
            await asyncio.sleep(0.1)
        raise CannotRun("no common leader")

    async def submit(self, host, steps, run_ms=200.0, deadline_ms=1500, job=None):
        """Send a job of a client; return its id, status and body."""
        job = job or self.new_id()
        body = {"spec": f"spec-{job}", "best_effort": True, "steps": steps}
        self.jobs[job] = body
        self.run_times.setdefault(job, run_ms)
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(deadline_ms),
        }
        self.say(f"client sends {job} to {host.name}")
        status, answer = await call(
            host.front, "POST", PREFIX + job, body, headers, deadline_ms / 1000.0 + 0.3
        )
        self.say(f"client got {status} {answer} for {job}")
        return job, status, answer

    async def load(self, seconds, per_s, make_steps, hosts=None, run_ms=None):
        """Send jobs at a rate, and return their answers."""
        tasks, end, n = [], time.monotonic() + seconds, 0
        while time.monotonic() < end:
            host = (hosts or self.hosts)[n % len(hosts or self.hosts)]
            n += 1
            ms = run_ms() if run_ms else 200.0
            tasks.append(asyncio.create_task(self.submit(host, make_steps(), ms)))
            await asyncio.sleep(1.0 / per_s)
        return await asyncio.gather(*tasks)

    async def close(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            if host.process is not None:
                host.process.wait()
            await host.door.server.stop()
        for worker in self.workers:
            if worker.up:
                await worker.crash()
        self.record.close()


class CannotRun(Exception):
    """Raised if the case can't run."""


def run_case(case, **kwargs):
    """Run a case; exit with 1 if it found a fault, 0 if not, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = World(**kwargs)
        try:
            async with asyncio.timeout(115):
                result = await case(world, trouble)
            world.say(f"result: {result}")
            print(result)
            return result
        except (CannotRun, TimeoutError, OSError) as error:
            world.say(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return None
        finally:
            if os.environ.get("KEEP_LOGS"):
                print(world.folder)
            await world.close()
            if not os.environ.get("KEEP_LOGS"):
                import shutil

                shutil.rmtree(world.folder, ignore_errors=True)

    result = asyncio.run(main())
    sys.exit(2 if result is None else 1 if result["broken"] else 0)
