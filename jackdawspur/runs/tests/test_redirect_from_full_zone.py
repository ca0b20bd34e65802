"""Long jobs that find their zone full go at once where all their tasks find room."""

import pytest

from jackdawspur.runs import RemoteLeader, SpareCapacity
from jackdawspur.runs.tests.conftest import FENCE, PATIENT, Leading

PLACE = RemoteLeader("far", FENCE * 2)
ROOM_FOR_FOUR = {"roster": SpareCapacity((28_000, 28_000))}
# Tasks are expected to take 0.2 s, and some take all of this; a tick comes every 25 ms.
MAY_TAKE_S = 0.36
NEARLY_ALL_S = 0.24
TICK_S = 0.025


def fill(leading: Leading, tasks: int) -> None:
    """Take room for so many tasks, of the four that there is room for."""
    leading.offer("aa", tasks, PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    assert len(leading.running()) == tasks
    leading.dispatcher.update_offered_capacity(PLACE, ROOM_FOR_FOUR, leading.now)


def passed_on(leading: Leading) -> list[str]:
    return [order.job for order in leading.passed_on]


def test_a_long_job_leaves_a_full_zone_in_the_pass_in_which_it_comes(
    leading: Leading,
):
    # Guards against waiting in a full zone beside one with room.
    fill(leading, tasks=4)
    leading.offer("bb", tasks=4, call=7, deadline=leading.now + MAY_TAKE_S)
    # A job that has time waits for an end here, which costs less.
    leading.offer("cc", tasks=4, call=8, route=PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    assert passed_on(leading) == ["bb"]


def test_a_long_job_is_not_refused_by_a_full_zone_beside_one_with_room(
    leading: Leading,
):
    # Guards against refusing a job by its estimate before other zones are asked.
    fill(leading, tasks=4)
    leading.offer("bb", tasks=4, call=7, deadline=leading.now + NEARLY_ALL_S)
    leading.settle()
    leading.now += TICK_S
    leading.dispatcher.tick(leading.now)
    leading.settle()
    assert not [one for one in leading.answers if one.job == "bb"]
    assert passed_on(leading) == ["bb"]


@pytest.mark.parametrize("taken", [1, 2, 3])
def test_a_long_job_does_not_start_in_part_where_the_rest_must_wait(
    leading: Leading, taken: int
):
    # Guards against a job begun in part that can go nowhere else.
    fill(leading, tasks=taken)
    leading.offer("bb", tasks=4, call=7, deadline=leading.now + MAY_TAKE_S)
    leading.settle()
    assert passed_on(leading) == ["bb"]
    assert set(leading.running()) == {f"aa.0.0.{n}" for n in range(taken)}
