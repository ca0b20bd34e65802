"""Jobs that would wait go to a group that has room for all their tasks."""

from jackdawspur.runs import RedirectJob, RemoteLeader, SpareCapacity, split_round_robin
from jackdawspur.runs._placer import HANDOVER_WAIT_S
from jackdawspur.runs.tests.conftest import FENCE, PATIENT, Leading

PLACE = RemoteLeader("far", FENCE * 2)
STEP_S = 0.05


def passed_on(leading: Leading) -> list[RedirectJob]:
    return leading.passed_on


def fill(leading: Leading) -> None:
    leading.offer("aa", tasks=4)
    leading.settle()
    assert len(leading.running()) == 4


def test_a_job_that_finds_no_room_goes_where_all_its_tasks_fit(leading: Leading):
    # Callers of one zone are refused while upstreams of the next zone stand idle: each
    # zone's hosts ran the jobs of their own callers and of nobody else.
    fill(leading)
    room = {"roster": SpareCapacity((14_000, 28_000, 10_000))}
    leading.dispatcher.update_offered_capacity(PLACE, room, leading.now)
    leading.offer("bb", tasks=3, route=PATIENT, call=7, attempt=2)
    leading.offer("cc", tasks=1, route=PATIENT, call=8)
    leading.advance(0.05)
    (order,) = passed_on(leading)
    assert (order.job, order.host, order.call, order.remote_leader) == (
        "bb",
        "h2",
        7,
        PLACE,
    )
    assert order.attempt == 2
    assert {job.id for job in leading.dispatcher.open_jobs.values()} == {"aa", "cc"}


def test_a_job_stays_while_there_is_room_or_what_is_offered_is_old(leading: Leading):
    leading.dispatcher.update_offered_capacity(
        PLACE, {"roster": SpareCapacity((32_000,))}, leading.now
    )
    fill(leading)
    leading.now += 0.6
    leading.offer("bb", route=PATIENT, call=7)
    leading.dispatcher.update_offered_capacity(
        PLACE, {"other": SpareCapacity((32_000,))}, leading.now
    )
    leading.now += 0.05
    leading.dispatcher.tick(leading.now)
    leading.collect()
    assert not passed_on(leading)


def test_what_may_have_run_or_came_from_elsewhere_stays(leading: Leading):
    # A task runs twice: a job that an earlier leading host may still run is sent to
    # another group, whose upstreams know nothing of the first run.
    fill(leading)
    leading.dispatcher.update_offered_capacity(
        PLACE, {"roster": SpareCapacity((32_000,))}, leading.now
    )
    leading.offer("bb", route=PATIENT, call=7, handovers=1)
    leading.offer("cc", route=PATIENT, call=8, from_other_group=True)
    leading.advance(0.05)
    assert not passed_on(leading)


def test_room_is_told_only_while_no_job_waits(leading: Leading):
    spare = leading.dispatcher.spare_capacity(leading.now)
    assert spare == {"roster": SpareCapacity([32_000, 32_000], [])}
    leading.offer("aa", tasks=5)
    leading.settle()
    assert leading.dispatcher.spare_capacity(leading.now) == {}


def test_room_is_dealt_so_that_no_place_is_offered_twice():
    dealt = split_round_robin([5, 1, 4, 2, 3], ["a", "b"])
    assert dealt == {"a": (5, 3, 1), "b": (4, 2)}
    assert split_round_robin([5], []) == {}


def test_a_job_that_would_be_refused_goes_where_there_is_room(leading: Leading):
    # A caller is refused at once beside a zone that stands idle: what is ahead of its
    # job was counted before the moment in which the job waits for room had passed.
    fill(leading)
    room = {"roster": SpareCapacity((28_000, 28_000))}
    leading.dispatcher.update_offered_capacity(PLACE, room, leading.now)
    for number in range(10):
        leading.offer(f"b{number}", tasks=4, call=number)
    leading.dispatcher.tick(leading.now)
    leading.collect()
    (order,) = passed_on(leading)
    refused = {answer.job for answer in leading.answers}
    assert refused
    assert order.job not in refused


def test_a_job_of_another_group_is_dropped_when_its_host_repeats_it_no_more(
    leading: Leading,
):
    # A task runs twice at one time: the host of another group has handed the job to its
    # own leading host, or its caller left and asked again, and the message was lost.
    # Other jobs of that host go on.
    leading.offer("aa", call=7, from_other_group=True)
    leading.offer("bb", call=8)
    leading.offer("cc", call=9, from_other_group=True)
    leading.settle()
    for _ in range(6):
        leading.now += 0.1
        leading.offer("cc", call=9, from_other_group=True)
        leading.dispatcher.drop_unrefreshed(set(), leading.now)
    assert set(leading.dispatcher.open_jobs) == {"bb", "cc"}
    leading.dispatcher.drop_unrefreshed({"h2"}, leading.now)
    assert set(leading.dispatcher.open_jobs) == {"cc"}


def test_jobs_go_to_other_groups_in_turn_where_nothing_may_start(leading: Leading):
    # Guards against refusing a whole zone's callers once the room last offered is used.
    other = RemoteLeader("h5", FENCE)
    for place in (PLACE, other):
        leading.dispatcher.update_offered_capacity(place, {}, leading.now)
    entries = [leading.entry(one, draining=True) for one in leading.upstreams]
    leading.dispatcher.set_upstreams(entries, leading.now)
    for number in range(4):
        leading.offer(f"b{number}", call=number)
    leading.advance(0.05)
    assert [one.remote_leader for one in passed_on(leading)].count(other) == 2
    assert len(passed_on(leading)) == 4
    assert not leading.answers


def test_a_job_repeated_no_more_is_dropped_though_zones_come_and_go(
    leading: Leading,
):
    # Guards against prolonging with each change of the group what is repeated no more.
    entries = [leading.entry(one) for one in leading.upstreams]
    leading.offer("aa", route=PATIENT, deadline=leading.now + 5.0)
    leading.settle()
    by_zone = False
    for step in range(round(HANDOVER_WAIT_S / STEP_S)):
        leading.advance(STEP_S)
        if step in (7, 15):
            by_zone = not by_zone
            leading.dispatcher.set_upstreams(entries, leading.now, entries, by_zone)
        leading.dispatcher.drop_unrefreshed({"h2"}, leading.now)
    leading.settle()
    assert not leading.running()
