"""Tests that compare the transcripts of complete sessions with golden files.

Times are virtual and ids depend on seeds, so the files contain them unmasked. After an
intended change, run pytest with ``--snapshot-update`` and review the difference.
"""

from dataclasses import replace
from functools import partial

from jackdawspur.model import TaskState
from jackdawspur.sessions.tests.session import tasks

PARTITION_S = 12.0


def fail_tile(session, index: int) -> None:
    """Make one task, a tile of an overlay, fail on all upstreams."""
    for upstream in session.upstreams:
        upstream.on_task_ended = partial(_report_failure, upstream.on_task_ended, index)


def _report_failure(report, index: int, holder, outcome) -> None:
    if outcome.task.index == index:
        failed = {"state": TaskState.FAILED, "output": "", "error": "no sea here"}
        outcome = replace(outcome, **failed)
    report(holder, outcome)


def test_supervisor_confirms_an_arrival(session, snapshot):
    """A call that waits gets the confirmation immediately; another call is polled.

    A request with a misspelt field and one with an unknown token are refused before,
    and must not run.
    """
    work = {"job_class": "confirm-arrival", "tasks": tasks(1)}
    wrong = work | {"tasks": tasks(7), "idempotant": False}
    unauthorized = work | {"tasks": tasks(8)}
    session.send_request("supervisor", "z1.e1", "GET /readyz")
    session.send_request("supervisor", "z1.e1", "POST /v1/jobs?wait=true", wrong)
    session.send_request(
        "supervisor", "z1.e1", "POST /v1/jobs", unauthorized, customer="stranger"
    )
    session.run(0.5)
    session.submit("supervisor", "z1.e1", "confirm-arrival", tasks(2))
    session.run(0.5)
    call = session.send_request("supervisor", "z1.e1", "POST /v1/jobs", work)
    session.run(0.05)
    path = f"GET /v1/submissions/{session.json(call)['submission']}"
    session.send_request("supervisor", "z1.e1", path)
    session.send_request("supervisor", "z2.e1", f"{path}?wait=true")
    session.run(0.5)
    assert session.transcript() == snapshot


def test_reassignment_with_a_lost_reply(session, snapshot):
    """A reassignment runs once although the upstream's reply to its start was lost.

    The host queries the task's status and waits for its end. The dispatcher resubmits
    the reassignment to another host and gets the same answer.
    """
    session.simulation.replies_to_drop = 1
    work = tasks(1, run_ms=600.0)
    session.submit("dispatcher", "z1.e1", "dispatch-reassign", work, key="crew-7")
    session.run(0.3)
    session.submit("dispatcher", "z2.e1", "dispatch-reassign", work, key="crew-7")
    session.run(2.0)
    session.submit("dispatcher", "z2.e1", "dispatch-reassign", work, key="crew-7")
    session.run(1.0)
    assert session.transcript() == snapshot


def test_reassignment_lost_with_its_upstream(session, snapshot):
    """The answer is that the outcome is unknown, and a resubmission doesn't run again.

    The upstream starts the task, its reply is lost, and it restarts without state.
    """
    session.simulation.replies_to_drop = 1
    work = tasks(1, run_ms=900.0)
    session.submit("dispatcher", "z1.e1", "dispatch-reassign", work, key="crew-8")
    session.run(0.1)
    session.upstreams[0].restart()
    session.run(3.0)
    session.submit("dispatcher", "z2.e1", "dispatch-reassign", work, key="crew-8")
    session.run(1.0)
    assert session.transcript() == snapshot


def test_map_order_sent_twice_under_its_own_key(session, snapshot):
    """A customer sends a keyed order to two hosts at the same time; it runs once."""
    for name in ("z1.e1", "z2.e1"):
        session.submit("skipper", name, "map-order", tasks(1, 2), "map-31", "maps")
    session.run(1.0)
    session.submit("skipper", "z1.e1", "map-order", tasks(1, 2), "map-31", "maps")
    session.submit("skipper", "z1.e1", "map-order", tasks(2, 1), "map-31", "maps")
    session.run(1.0)
    assert session.transcript() == snapshot


def test_map_order_sent_twice_under_an_issued_id(session, snapshot):
    """An app requests ids in advance; its order, sent to two hosts, runs once."""
    person, maps = "skipper", "maps"
    call = session.send_request(
        person, "z1.e1", "POST /v1/submissions", {"count": 2}, None, maps
    )
    session.run(0.1)
    first, _unused = session.json(call)["ids"]
    order = {"job_class": "map-order", "tasks": tasks(1, 2)}
    path = f"PUT /v1/submissions/{first}?wait=true"
    session.send_request(person, "z1.e1", path, order, None, maps)
    session.send_request(person, "z2.e1", path, order, None, maps)
    session.run(1.0)
    session.send_request(person, "z2.e1", path, order, None, maps)
    session.run(1.0)
    assert session.transcript() == snapshot


def test_overlay_with_one_failed_tile(session, snapshot):
    """If one tile fails, the job fails as a whole; it doesn't return 359 tiles."""
    fail_tile(session, 217)
    # z2 is partitioned, so that it can't take over the job.
    session.add_line("platform", "z2 is cut off from z1")
    session.simulation.links.partition_zone("z2", platform=False)
    session.run(3.0)
    work = tasks(1, 360, run_ms=20.0)
    session.submit("skipper", "z1.e1", "overlay", work, customer="maps")
    session.run(10.0)
    assert session.transcript() == snapshot


def test_cancellation_wave(session, snapshot):
    """A client cancels all its requests; those that were waiting must not run.

    The first is running, the others are waiting. One cancellation reaches another
    host, and one arrives before its request, which then never runs. The other zone is
    too busy to take over a job.
    """
    busy = tasks(20, 4, run_ms=3000.0)
    session.submit("captain", "z2.e1", "overlay", busy, customer="maps")
    session.run(1.5)
    call = session.send_request("client", "z1.e1", "POST /v1/submissions", {"count": 5})
    session.run(0.1)
    ids = session.json(call)["ids"]
    path = "{} /v1/submissions/{}"
    for job, job_id in enumerate(ids[:-1]):
        work = {"job_class": "overlay", "tasks": tasks(job, 4, run_ms=400.0)}
        session.send_request(
            "client", "z1.e1", path.format("PUT", job_id) + "?wait=true", work
        )
        session.run(0.01)
    for job, job_id in enumerate(ids):
        name = "z2.e1" if job == 1 else "z1.e1"
        session.send_request("client", name, path.format("DELETE", job_id))
    session.run(0.1)
    late = {"job_class": "overlay", "tasks": tasks(9)}
    session.send_request(
        "client", "z1.e1", path.format("PUT", ids[-1]) + "?wait=true", late
    )
    session.run(8.0)
    assert session.transcript() == snapshot


def test_graceful_shutdown_under_load(session, snapshot):
    """Requests in flight are answered; later ones are refused and must not run."""
    for job, count in ((1, 3), (2, 1)):
        work = tasks(job, count, run_ms=500.0)
        session.submit("client", "z1.e1", "overlay", work)
    session.run(0.1)
    session.drain("z1.e1")
    session.run(0.05)
    session.send_request("balancer", "z1.e1", "GET /readyz")
    session.submit("client", "z1.e1", "confirm-arrival", tasks(3))
    session.submit("client", "z1.e1", "dispatch-reassign", tasks(4), key="crew-9")
    session.submit("client", "z2.e1", "confirm-arrival", tasks(5))
    session.run(5.0)
    assert session.transcript() == snapshot


def test_zone_cut_off_and_healed(session, snapshot):
    """A partitioned zone serves on; requests that need other zones get clear failures.

    They succeed again after the partition has ended.
    """
    call = session.send_request("client", "z2.e1", "POST /v1/submissions", {"count": 1})
    session.run(0.1)
    (issued_id,) = session.json(call)["ids"]
    session.add_line("platform", "z2 is cut off from zones and platform")
    session.simulation.links.partition_zone("z2")
    session.submit("supervisor", "z2.e1", "confirm-arrival", tasks(1))
    session.submit("dispatcher", "z2.e1", "dispatch-reassign", tasks(2), key="crew-1")
    order = {"job_class": "map-order", "tasks": tasks(3)}
    path = f"PUT /v1/submissions/{issued_id}?wait=true"
    session.send_request("client", "z1.e1", path, order)
    session.run(PARTITION_S)
    session.add_line("platform", "z2 is back")
    session.simulation.links.end_partitions("z2")
    session.run(3.0)
    session.submit("dispatcher", "z2.e1", "dispatch-reassign", tasks(2), key="crew-1")
    session.send_request("client", "z1.e1", path, order)
    session.run(2.0)
    assert session.transcript() == snapshot


def test_host_killed(session, snapshot):
    """Other hosts answer that the outcome of a dead host's jobs is unknown.

    The dead incarnation claimed the reassignment's key, so no resubmission runs it.
    """
    work = tasks(1, run_ms=900.0)
    session.submit("dispatcher", "z1.e1", "dispatch-reassign", work, key="crew-5")
    body = {"job_class": "overlay", "tasks": tasks(2, run_ms=900.0)}
    call = session.send_request("client", "z1.e1", "POST /v1/jobs", body)
    session.run(0.2)
    session.kill("z1.e1")
    session.run(0.1)
    poll = f"GET /v1/submissions/{session.json(call)['submission']}?wait=true"
    session.send_request("client", "z2.e1", poll)
    session.submit("dispatcher", "z2.e1", "dispatch-reassign", work, key="crew-5")
    session.run(6.0)
    session.send_request("client", "z1.e1", poll)
    session.run(1.0)
    assert session.transcript() == snapshot


def test_log_down(session, snapshot):
    """Only a keyed reassignment is refused, and not with an incorrect "not run"."""
    session.add_line("platform", "the log is down")
    session.simulation.log.down = True
    session.submit("supervisor", "z1.e1", "confirm-arrival", tasks(1))
    session.submit("supervisor", "z1.e1", "confirm-arrival", tasks(2), key="arrive-2")
    session.submit("dispatcher", "z1.e1", "dispatch-reassign", tasks(3), key="crew-3")
    session.run(2.0)
    session.submit("dispatcher", "z1.e1", "dispatch-reassign", tasks(3), key="crew-3")
    session.run(1.0)
    session.add_line("platform", "the log is back")
    session.simulation.log.down = False
    session.submit("dispatcher", "z1.e1", "dispatch-reassign", tasks(3), key="crew-3")
    session.run(3.0)
    session.submit("dispatcher", "z1.e1", "dispatch-reassign", tasks(3), key="crew-3")
    session.run(1.0)
    assert session.transcript() == snapshot
