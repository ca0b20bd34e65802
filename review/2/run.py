"""A zone is cut off; a client leaves early and hands its job in again elsewhere."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import job_body, job_id, main  # noqa: E402

# The site file's largest zone_cut lasts 6.3 s; clients leave after 0.9 s (give_up).
CUT_S = 6.0
LEAVES_AFTER_S = 0.9
RESEND_S = 1.3
JOBS = 3
# The longest tasks of the site's requests.
RUN_MS, TASKS = 3600, 4
# Runs of one task on two workers that overlap by more than the clocks of this record.
MIN_OVERLAP_S = 0.05


async def play(deployment, trouble):
    """Hand jobs in at the zone that is cut off, leave, and hand them in elsewhere."""
    record = deployment.record
    await deployment.start()
    hosts = deployment.hosts
    inside, outside = hosts[0], hosts[1]
    if trouble:
        record.add("cut", zone=inside.zone)
        deployment.network.start_cut(inside.zone)
    await asyncio.sleep(1.3)
    jobs = [job_id() for _ in range(JOBS)]
    await asyncio.gather(*(client(deployment, job, inside, outside) for job in jobs))
    deployment.network.heal()
    record.add("healed")
    await asyncio.sleep(3.0)
    return record.overlaps(MIN_OVERLAP_S)


async def client(deployment, job, first, second):
    """Send a job, leave before its answer, and send it again at another host."""
    body = job_body(RUN_MS, 1, TASKS)
    call, exchange = deployment.open_call(first, "POST", job, body, limit_ms=10_000)
    answer = asyncio.create_task(exchange)
    await asyncio.sleep(LEAVES_AFTER_S)
    answer.cancel()
    call.close()
    deployment.record.add("left", to=first.name, job=job)
    await asyncio.sleep(RESEND_S)
    again = asyncio.create_task(
        deployment.call(second, "POST", job, body, limit_ms=10_000)
    )
    await asyncio.wait([again], timeout=CUT_S - 1.3 - LEAVES_AFTER_S - RESEND_S)


if __name__ == "__main__":
    main(FOLDER, play, cuts_zones=True)
