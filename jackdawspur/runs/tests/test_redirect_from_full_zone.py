"""Long jobs leave a full zone at once if all their tasks fit in another one."""

import pytest

from jackdawspur.runs import RemoteLeader, SpareCapacity
from jackdawspur.runs.tests.conftest import FENCE, LONG_TIMEOUT, Leader

REMOTE_LEADER = RemoteLeader("far", FENCE * 2)
CAPACITY_FOR_FOUR = {"roster": SpareCapacity((28_000, 28_000))}
# Tasks are expected to take 0.2 s, and some take this long; a tick comes every 25 ms.
LONG_TASK_S = 0.36
TIGHT_DEADLINE_S = 0.24
TICK_S = 0.025


def use_capacity(leader: Leader, tasks: int) -> None:
    """Use the capacity of this many tasks, of four in total."""
    leader.offer("aa", tasks, LONG_TIMEOUT, deadline=leader.now + 5.0)
    leader.settle()
    assert len(leader.running()) == tasks
    leader.dispatcher.update_offered_capacity(
        REMOTE_LEADER, CAPACITY_FOR_FOUR, leader.now
    )


def redirects(leader: Leader) -> list[str]:
    return [effect.job for effect in leader.redirects]


def test_a_long_job_leaves_a_full_zone_in_its_first_pass(
    leader: Leader,
):
    # Guards against waiting in a full zone while another one has capacity.
    use_capacity(leader, tasks=4)
    leader.offer("bb", tasks=4, call=7, deadline=leader.now + LONG_TASK_S)
    # A job with enough time waits for a run to end here, which costs less.
    leader.offer("cc", tasks=4, call=8, route=LONG_TIMEOUT, deadline=leader.now + 5.0)
    leader.settle()
    assert redirects(leader) == ["bb"]


def test_a_long_job_is_redirected_by_a_full_zone_and_not_refused(
    leader: Leader,
):
    # Guards against refusing a job by its estimate before it is offered to other zones.
    use_capacity(leader, tasks=4)
    leader.offer("bb", tasks=4, call=7, deadline=leader.now + TIGHT_DEADLINE_S)
    leader.settle()
    leader.now += TICK_S
    leader.dispatcher.tick(leader.now)
    leader.settle()
    assert not [a for a in leader.answers if a.job == "bb"]
    assert redirects(leader) == ["bb"]


@pytest.mark.parametrize("taken", [1, 2, 3])
def test_a_long_job_is_not_started_in_part(leader: Leader, taken: int):
    # Guards against a job that is started in part and can no longer be redirected.
    use_capacity(leader, tasks=taken)
    leader.offer("bb", tasks=4, call=7, deadline=leader.now + LONG_TASK_S)
    leader.settle()
    assert redirects(leader) == ["bb"]
    assert set(leader.running()) == {f"aa.0.0.{n}" for n in range(taken)}
