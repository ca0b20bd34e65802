"""Jobs that would wait are redirected to a group with capacity for all their tasks."""

from jackdawspur.runs import RedirectJob, RemoteLeader, SpareCapacity, split_round_robin
from jackdawspur.runs._placer import HANDOVER_WAIT_S
from jackdawspur.runs.tests.conftest import FENCE, LONG_TIMEOUT, Leader

REMOTE_LEADER = RemoteLeader("far", FENCE * 2)
STEP_S = 0.05


def redirects(leader: Leader) -> list[RedirectJob]:
    return leader.redirects


def use_all_capacity(leader: Leader) -> None:
    leader.offer("aa", tasks=4)
    leader.settle()
    assert len(leader.running()) == 4


def test_a_job_without_capacity_is_redirected_where_all_its_tasks_fit(leader: Leader):
    # Callers of one zone were refused while upstreams of the next zone were idle: the
    # hosts of each zone ran only the jobs of their own callers.
    use_all_capacity(leader)
    capacity = {"roster": SpareCapacity((14_000, 28_000, 10_000))}
    leader.dispatcher.update_offered_capacity(REMOTE_LEADER, capacity, leader.now)
    leader.offer("bb", tasks=3, route=LONG_TIMEOUT, call=7, attempt=2)
    leader.offer("cc", tasks=1, route=LONG_TIMEOUT, call=8)
    leader.advance(0.05)
    (effect,) = redirects(leader)
    assert (effect.job, effect.host, effect.call, effect.remote_leader) == (
        "bb",
        "h2",
        7,
        REMOTE_LEADER,
    )
    assert effect.attempt == 2
    assert {job.id for job in leader.dispatcher.open_jobs.values()} == {"aa", "cc"}


def test_a_job_stays_while_capacity_is_free_or_offers_are_old(leader: Leader):
    leader.dispatcher.update_offered_capacity(
        REMOTE_LEADER, {"roster": SpareCapacity((32_000,))}, leader.now
    )
    use_all_capacity(leader)
    leader.now += 0.6
    leader.offer("bb", route=LONG_TIMEOUT, call=7)
    leader.dispatcher.update_offered_capacity(
        REMOTE_LEADER, {"other": SpareCapacity((32_000,))}, leader.now
    )
    leader.now += 0.05
    leader.dispatcher.tick(leader.now)
    leader.collect()
    assert not redirects(leader)


def test_handed_over_and_redirected_jobs_stay(leader: Leader):
    # A task ran twice: a job that an earlier leader could still be running was
    # redirected to another group, whose upstreams had no record of the first run.
    use_all_capacity(leader)
    leader.dispatcher.update_offered_capacity(
        REMOTE_LEADER, {"roster": SpareCapacity((32_000,))}, leader.now
    )
    leader.offer("bb", route=LONG_TIMEOUT, call=7, handovers=1)
    leader.offer("cc", route=LONG_TIMEOUT, call=8, from_other_group=True)
    leader.advance(0.05)
    assert not redirects(leader)


def test_capacity_is_offered_only_while_no_job_waits(leader: Leader):
    spare = leader.dispatcher.spare_capacity(leader.now)
    assert spare == {"roster": SpareCapacity([32_000, 32_000], [])}
    leader.offer("aa", tasks=5)
    leader.settle()
    assert leader.dispatcher.spare_capacity(leader.now) == {}


def test_capacity_is_split_without_overlap():
    shares = split_round_robin([5, 1, 4, 2, 3], ["a", "b"])
    assert shares == {"a": (5, 3, 1), "b": (4, 2)}
    assert split_round_robin([5], []) == {}


def test_a_job_is_redirected_instead_of_refused(leader: Leader):
    # A caller was refused at once although another zone was idle: the work ahead of its
    # job was checked before the job had waited long enough to be redirected.
    use_all_capacity(leader)
    capacity = {"roster": SpareCapacity((28_000, 28_000))}
    leader.dispatcher.update_offered_capacity(REMOTE_LEADER, capacity, leader.now)
    for number in range(10):
        leader.offer(f"b{number}", tasks=4, call=number)
    leader.dispatcher.tick(leader.now)
    leader.collect()
    (effect,) = redirects(leader)
    refused = {answer.job for answer in leader.answers}
    assert refused
    assert effect.job not in refused


def test_an_unrefreshed_job_of_another_group_is_dropped(
    leader: Leader,
):
    # A task ran twice at the same time: the host of another group had handed the job to
    # its own leader, or its caller had left and retried, and the message was lost.
    # Other jobs of that host continue.
    leader.offer("aa", call=7, from_other_group=True)
    leader.offer("bb", call=8)
    leader.offer("cc", call=9, from_other_group=True)
    leader.settle()
    for _ in range(6):
        leader.now += 0.1
        leader.offer("cc", call=9, from_other_group=True)
        leader.dispatcher.drop_unrefreshed(set(), leader.now)
    assert set(leader.dispatcher.open_jobs) == {"bb", "cc"}
    leader.dispatcher.drop_unrefreshed({"h2"}, leader.now)
    assert set(leader.dispatcher.open_jobs) == {"cc"}


def test_jobs_are_redirected_in_turn_while_all_upstreams_drain(leader: Leader):
    # Guards against refusing all callers of a zone once the last offered capacity is
    # used.
    other_leader = RemoteLeader("h5", FENCE)
    for remote_leader in (REMOTE_LEADER, other_leader):
        leader.dispatcher.update_offered_capacity(remote_leader, {}, leader.now)
    entries = [leader.entry(u, draining=True) for u in leader.upstreams]
    leader.dispatcher.set_upstreams(entries, leader.now)
    for number in range(4):
        leader.offer(f"b{number}", call=number)
    leader.advance(0.05)
    assert [effect.remote_leader for effect in redirects(leader)].count(
        other_leader
    ) == 2
    assert len(redirects(leader)) == 4
    assert not leader.answers


def test_an_unrefreshed_job_is_dropped_while_the_group_changes(
    leader: Leader,
):
    # Guards against extending an unrefreshed job's time with each change of the group.
    entries = [leader.entry(u) for u in leader.upstreams]
    leader.offer("aa", route=LONG_TIMEOUT, deadline=leader.now + 5.0)
    leader.settle()
    by_zone = False
    for step in range(round(HANDOVER_WAIT_S / STEP_S)):
        leader.advance(STEP_S)
        if step in (7, 15):
            by_zone = not by_zone
            leader.dispatcher.set_upstreams(entries, leader.now, entries, by_zone)
        leader.dispatcher.drop_unrefreshed({"h2"}, leader.now)
    leader.settle()
    assert not leader.running()
