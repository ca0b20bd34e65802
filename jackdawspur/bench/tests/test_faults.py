"""Tests of the core under each fault of the platform, alone and in pairs.

The oracle is the invariant checker, which uses only what upstreams and callers
observe. Rerun one with
``python -m jackdawspur.bench --deployment=small --scenario=NAME``.
"""

import pytest

from jackdawspur.bench import PRODUCT_POLICY

FAULT_S = 6.5


@pytest.fixture
def broken(run):
    """Return a function that runs a scenario and returns the violated invariants."""

    def run_small(scenario):
        outcome = run(scenario, PRODUCT_POLICY, "small", load=0.5, seconds=FAULT_S)
        assert outcome.figures.complete > 0
        return outcome.broken

    return run_small


def test_burst(broken):
    """In a burst, some callers are refused immediately; the others get all outputs.

    The load is five times the usual for one second. Refusals say "not run", so no task
    of these requests may have been sent or be sent later from a queue.
    """
    assert broken("burst_x5") == {}


def test_wrong_declarations(broken):
    """Jobs whose run times differ widely from the declared ones still complete.

    Callers declare run times ten times too long or too short. Tasks would be stopped
    too early if leases or deadlines depended on estimates.
    """
    assert broken("wrong_declarations_x10") == {}


def test_stragglers(broken):
    """A job waits for its slowest task and gets one complete answer.

    One task in twenty takes four times as long. Starting it a second time on another
    upstream would be faster, but would run the task twice.
    """
    assert broken("stragglers") == {}


def test_worker_dies_and_comes_back(broken):
    """Jobs with a task on the dead upstream fail; the others are not affected.

    The upstream dies with its tasks and restarts without them, under a new
    incarnation. It knows nothing of the lost tasks, so a "never started" from it would
    not mean that they never ran.
    """
    assert broken("worker_dies") == {}


def test_cancellation_wave(broken):
    """A customer cancels all jobs of its burst; each call gets one answer.

    Cancellations reach hosts that don't own the job, and race with its starts and its
    answer. A job that was answered "not run" must not start afterwards.
    """
    assert broken("cancel_wave") == {}


def test_host_killed(broken):
    """Callers of the dead host are disconnected; its keyed jobs don't run again.

    The host dies with jobs running, waiting and delegated, and restarts a second later
    under a new incarnation. Callers resubmit keyed requests to the live hosts.
    """
    assert broken("host_killed") == {}


def test_worker_leaves_while_the_list_lags(broken):
    """Callers are not affected; the leaving upstream completes its running tasks.

    An upstream leaves, but the platform's list shows it only 10 s later. Hosts learn
    it earlier from the upstream's refusals and usage reports.
    """
    assert broken("worker_leaves_list_lags") == {}


def test_host_killed_while_replies_get_lost(broken):
    """Unconfirmed starts of the dead host stay unknown and are not repeated.

    A host dies while the outcome of some of its starts is unknown. Callers resubmit
    keyed requests whose claims may be in the log although the dead host got no reply.
    """
    assert broken("host_killed+lost_replies") == {}


def test_host_paused(broken):
    """Callers of a paused host wait, or resubmit their key to another host.

    The host is paused for 20 s and resumes with a full inbox, outdated free slots and
    outdated deadlines. Meanwhile other hosts have received its keyed requests.
    """
    assert broken("host_paused") == {}


def test_leases_lapse_while_their_holder_sleeps(broken):
    """Jobs of the paused host fail; none runs after its deadline.

    All deadlines and leases expire during the pause, and upstreams stop the tasks. The
    host resumes with a state in which they run and waiting jobs have time left.
    """
    assert broken("leases_lapse_in_pause") == {}


@pytest.mark.parametrize(
    "partition", ["zone_cut_from_zones", "zone_cut_from_platform", "zone_cut_off"]
)
def test_zone_cut(broken, partition):
    """Each zone continues to serve; keyed requests need the log.

    A zone is partitioned from the other zones, the platform, or both for 15 s.
    """
    assert broken(partition) == {}


def test_zone_replaced(broken):
    """Callers are not affected except by refusals, which are correct.

    All hosts of a zone are drained and replaced one after the other under load. A
    draining host answers all requests that it has accepted before it stops.
    """
    assert broken("zone_replaced") == {}


def test_list_of_hosts_down(broken):
    """Callers are not affected, since hosts don't depend on the list.

    The platform's list of hosts stops changing in the fourth second.
    """
    assert broken("list_down") == {}


def test_host_killed_beside_a_failing_worker(broken):
    """Some jobs fail and some callers are disconnected, but no task runs twice.

    A host dies at the moment when an upstream starts to fail all tasks. What the dead
    host had learned about the failing upstream is lost; its tasks continue.
    """
    assert broken("host_killed+worker_fails_all") == {}


def test_host_paused_while_its_zone_is_cut_off(broken):
    """Keyed requests resubmitted during a partition reach their owner once.

    A host is paused while another zone is partitioned from zones and platform. Neither
    side can distinguish a paused host from a dead one.
    """
    assert broken("host_paused+zone_cut_off") == {}


def test_zone_cut_off_with_lost_replies(broken):
    """Callers wait longer; each task runs at most once.

    Replies are lost after the call took effect, while status queries can't reach a
    partitioned zone.
    """
    assert broken("zone_cut_off+lost_replies") == {}


def test_burst_while_a_host_is_killed(broken):
    """Refusals stay correct although a host with a long queue dies.

    The host dies with jobs queued and delegated; callers resubmit keyed ones.
    """
    assert broken("burst_x5+host_killed") == {}


def test_cancellations_while_a_host_is_killed(broken):
    """Cancellations of the dead host's jobs get one answer each.

    Many jobs are cancelled after the death of a host that owns some of them.
    """
    assert broken("cancel_wave+host_killed") == {}


def test_stragglers_while_a_worker_dies(broken):
    """Slow tasks are distinguished from lost ones; lost ones fail their job.

    An upstream that runs stragglers dies and restarts without its tasks.
    """
    assert broken("stragglers+worker_dies") == {}


def test_wrong_declarations_beside_a_failing_worker(broken):
    """Jobs fail only on the failing upstream.

    Learned run times are far from the true ones while one upstream fails every task
    immediately.
    """
    assert broken("wrong_declarations_x10+worker_fails_all") == {}


def test_zone_replaced_with_lost_replies(broken):
    """Draining hosts answer all requests that they accepted.

    Replies are lost while hosts are drained, so the outcome of some starts is unknown
    when their host must stop.
    """
    assert broken("zone_replaced+lost_replies") == {}


def test_zone_replaced_while_cut_from_zones(broken):
    """Calls that wait for another zone get a clear answer before their host stops.

    A zone's hosts are drained while the zone is partitioned from the other zones.
    """
    assert broken("zone_replaced+zone_cut_from_zones") == {}


def test_worker_leaves_while_a_host_is_paused(broken):
    """The leaving upstream gets no new task, not even from the host that resumes.

    An upstream leaves while a host is paused and the platform's list lags by 10 s. The
    host resumes with free slots on that upstream in its state, and with waiting jobs.
    """
    assert broken("host_paused+worker_leaves_list_lags") == {}
