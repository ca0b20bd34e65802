"""A machine freezes, workers are added, and it wakes while the store is slow."""

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import Deployment, job_body, job_id, main  # noqa: E402

# The site file's largest doses: node_freeze lasts 3.5 s, scale_out has a share of 0.25,
# platform_slow is x 93 (of 4 ms an answer) for 4.4 s.
FREEZE_S = 3.5
ADDED_SHARE = 0.25
SLOW_ANSWER_S = 0.004 * 60
SLOW_BEFORE_S = 0.5
SLOW_AFTER_S = 1.0
PLAY_S = 90.0
SIDE_BY_SIDE = 3
HOSTS, WORKERS = 3, 4
ADDED = round(ADDED_SHARE * WORKERS)
# Tasks of 14 of 32 cores: two run on a worker at a time.
TASKS, LOAD = 2, 1.2
MIN_OVERLAP_S = 0.02


async def play(deployment, trouble):
    """Play deployments side by side and one after the other, until a task runs twice."""
    record = deployment.record

    async def one_after_the_other():
        while record.now() < PLAY_S and not record.overlaps(MIN_OVERLAP_S):
            fresh = Deployment(record)
            try:
                await freeze(fresh, trouble)
            finally:
                fresh.close()

    await asyncio.gather(*(one_after_the_other() for _ in range(SIDE_BY_SIDE)))
    return record.overlaps(MIN_OVERLAP_S)


async def freeze(deployment, trouble):
    """Keep up a load, add workers, and freeze a follower meanwhile."""
    record, platform = deployment.record, deployment.platform
    await deployment.start(hosts=HOSTS, workers=WORKERS, pools=1)
    leader = await deployment.leader()
    frozen = next(host for host in deployment.hosts if host is not leader)
    load = asyncio.create_task(keep_load(deployment))
    await asyncio.sleep(2.0)
    if trouble:
        frozen.signal(signal.SIGSTOP)
        record.add("frozen", host=frozen.name, network=deployment.prefix)
    await asyncio.sleep(0.1)
    await deployment.add_workers(ADDED)
    await asyncio.sleep(FREEZE_S - 0.1 - SLOW_BEFORE_S)
    platform.store.answer_s = SLOW_ANSWER_S
    await asyncio.sleep(SLOW_BEFORE_S)
    if trouble:
        frozen.signal(signal.SIGCONT)
        record.add("awake", host=frozen.name, network=deployment.prefix)
    await asyncio.sleep(SLOW_AFTER_S)
    load.cancel()


async def keep_load(deployment):
    """Hand in jobs, about as many as the workers can run."""
    calls = set()
    while True:
        slots = 2 * WORKERS
        run_ms = random.choice((600, 900, 1200))
        host = random.choice(deployment.hosts)
        body = job_body(run_ms, 1, TASKS)
        call = deployment.call(host, "POST", job_id(), body, limit_ms=6000)
        task = asyncio.create_task(call)
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(random.expovariate(LOAD * slots / (TASKS * 0.9)))


if __name__ == "__main__":
    main(FOLDER, play)
