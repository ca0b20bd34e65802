"""Each fault of the platform, alone and in pairs, through the real decisions.

The invariant checker, which sees only what upstreams and callers saw, is the judge.
Replay one with ``python -m jackdawspur.bench --deployment=small --scenario=NAME``.
"""

import pytest

from jackdawspur.bench import PRODUCT_POLICY

FAULT_S = 6.5


@pytest.fixture
def broken(run):
    """Run a scenario at the small sizes and return the broken invariants."""

    def outcome(scenario):
        ended = run(scenario, PRODUCT_POLICY, "small", load=0.5, seconds=FAULT_S)
        assert ended.figures.complete > 0
        return ended.broken

    return outcome


def test_burst(broken):
    """Some callers are refused at once, the others get whole answers.

    Five times the usual load comes for a second. Refusals say "not run", so nothing
    of those requests may have been sent, nor be sent from a queue later.
    """
    assert broken("burst_x5") == {}


def test_wrong_declarations(broken):
    """Jobs take far longer or shorter than declared, and still end whole.

    Callers declare run times ten times too long or too short. An estimate that
    decides a lease or a deadline would cut tasks off.
    """
    assert broken("wrong_declarations_x10") == {}


def test_stragglers(broken):
    """A job waits for its slowest task and gets one whole answer.

    One task in twenty takes four times its time. A second start of it elsewhere would
    be quicker, and would do its work twice.
    """
    assert broken("stragglers") == {}


def test_worker_dies_and_comes_back(broken):
    """Jobs with a task on the dead upstream fail, the others don't notice.

    The upstream dies with its tasks and returns empty under a new incarnation. It
    would call the lost tasks "never started", which proves nothing.
    """
    assert broken("worker_dies") == {}


def test_cancellation_wave(broken):
    """A customer cancels all jobs of its burst; each call gets one answer.

    Cancellations reach hosts that don't own the job, race with its starts and with
    its answer. A job that is told "not run" must not start afterwards.
    """
    assert broken("cancel_wave") == {}


def test_host_killed(broken):
    """Callers of the dead host lose their connection; its keyed jobs don't run again.

    The host dies with jobs running, waiting and delegated, and returns a second later
    as another run. Callers send keyed requests again to the hosts that live.
    """
    assert broken("host_killed") == {}


def test_worker_leaves_while_the_list_lags(broken):
    """Nobody notices; the leaving upstream ends what it runs.

    An upstream leaves, but the platform's list shows it only 10 s later. Its own
    refusals and its usage tell sooner.
    """
    assert broken("worker_leaves_list_lags") == {}


def test_host_killed_while_replies_get_lost(broken):
    """What the dead host was unsure of stays unknown, and is not run again.

    A host dies while some of its starts are in doubt, and callers send keyed requests
    again whose claims may stand in the log without the dead host's knowing.
    """
    assert broken("host_killed+lost_replies") == {}


def test_host_paused(broken):
    """Callers of a paused host wait or submit their key again elsewhere.

    The host sleeps for 20 s and wakes with a full inbox, old free slots and old
    deadlines. Other hosts have met its keyed requests meanwhile.
    """
    assert broken("host_paused") == {}


def test_leases_lapse_while_their_holder_sleeps(broken):
    """Jobs of the sleeping host fail; none runs after its deadline.

    All deadlines and leases lapse during the pause, and upstreams stop the tasks. The
    host wakes believing that they run and that waiting jobs have time left.
    """
    assert broken("leases_lapse_in_pause") == {}


@pytest.mark.parametrize(
    "cut", ["zone_cut_from_zones", "zone_cut_from_platform", "zone_cut_off"]
)
def test_zone_cut(broken, cut):
    """Each zone goes on serving; keyed requests need the log.

    A zone loses the other zones, the platform, or both for 15 s, then gets them back.
    """
    assert broken(cut) == {}


def test_zone_replaced(broken):
    """Callers notice nothing but refusals that are true.

    All hosts of a zone are drained and replaced one after the other under load. What
    a draining host has accepted is answered before it goes.
    """
    assert broken("zone_replaced") == {}


def test_list_of_hosts_down(broken):
    """Callers notice nothing: the list only helps.

    The platform's list of hosts stops changing in the fourth second.
    """
    assert broken("list_down") == {}


def test_host_killed_beside_a_failing_worker(broken):
    """Some jobs fail, some callers lose their connection; nothing runs twice.

    A host dies in the moment in which an upstream begins to fail all. What the dead
    host knew of the bad upstream is gone, its tasks go on.
    """
    assert broken("host_killed+worker_fails_all") == {}


def test_host_paused_while_its_zone_is_cut_off(broken):
    """Keyed requests are sent again across a cut and meet the owner once.

    A host sleeps while another zone is cut off from zones and platform. Neither side
    can tell a sleeping host from a lost one.
    """
    assert broken("host_paused+zone_cut_off") == {}


def test_zone_cut_off_with_lost_replies(broken):
    """Callers wait longer; each task runs at most once.

    Replies get lost after their effect while status queries can't reach a zone.
    """
    assert broken("zone_cut_off+lost_replies") == {}


def test_burst_while_a_host_is_killed(broken):
    """Refusals stay true though a host with a long queue is lost.

    The host dies with jobs queued and delegated; callers send keyed ones again.
    """
    assert broken("burst_x5+host_killed") == {}


def test_cancellations_while_a_host_is_killed(broken):
    """Cancels of jobs of the dead host get one answer each.

    A wave of cancellations follows the death of a host that owns some of the jobs.
    """
    assert broken("cancel_wave+host_killed") == {}


def test_stragglers_while_a_worker_dies(broken):
    """Slow tasks are told from lost ones; lost ones fail their job.

    An upstream with stragglers on it dies and returns empty.
    """
    assert broken("stragglers+worker_dies") == {}


def test_wrong_declarations_beside_a_failing_worker(broken):
    """Jobs fail only on the bad upstream.

    Learned run times are far off while one upstream ends every task at once.
    """
    assert broken("wrong_declarations_x10+worker_fails_all") == {}


def test_zone_replaced_with_lost_replies(broken):
    """Draining hosts answer all that they accepted.

    Replies get lost while hosts are drained, so some starts are still in doubt when
    their host is asked to stop.
    """
    assert broken("zone_replaced+lost_replies") == {}


def test_zone_replaced_while_cut_from_zones(broken):
    """Calls that wait for another zone get a clear answer before their host goes.

    A zone's hosts are drained while its links to the other zones are cut.
    """
    assert broken("zone_replaced+zone_cut_from_zones") == {}


def test_worker_leaves_while_a_host_is_paused(broken):
    """The leaving upstream gets nothing new, also from the host that wakes.

    An upstream leaves while a host sleeps and the platform's list lags by 10 s. The
    host wakes with free slots there and with jobs that wait.
    """
    assert broken("host_paused+worker_leaves_list_lags") == {}
