"""Property test: random faults in random order, checked by the invariant checker."""

from hypothesis import given, settings, strategies as st

from jackdawspur.bench import (
    POLICIES,
    PRODUCT_POLICY,
    SMALL,
    Simulation,
    Workload,
    generate_jobs,
)

EXAMPLES = 25
SECONDS = 4.0
DEADLINE_S = 2.5
GRACE_S = 6.0
HOSTS = st.integers(0, 2)
UPSTREAMS = st.integers(0, 3)
ZONES = st.sampled_from(["z1", "z2"])
TIMES = st.floats(0.2, SECONDS, allow_nan=False)


def kill(index):
    return lambda simulation: simulation.kill(_host(simulation, index), 0.3)


def pause(index, seconds):
    return lambda simulation: simulation.pause(_host(simulation, index), seconds)


def restart_upstream(index):
    return lambda simulation: _upstream(simulation, index).restart()


def partition(zone, zones, platform):
    return lambda simulation: simulation.links.partition_zone(zone, zones, platform)


def heal(zone):
    return lambda simulation: simulation.links.end_partitions(zone)


def fail_all(index):
    def act(simulation):
        _upstream(simulation, index).faults.fails_all = True

    return act


def set_log_down(down):
    def act(simulation):
        simulation.log.down = down

    return act


FAULTS = st.one_of(
    st.builds(kill, HOSTS),
    st.builds(pause, HOSTS, st.floats(0.1, 4.0)),
    st.builds(restart_upstream, UPSTREAMS),
    st.builds(partition, ZONES, st.booleans(), st.booleans()),
    st.builds(heal, ZONES),
    st.builds(fail_all, UPSTREAMS),
    st.builds(set_log_down, st.booleans()),
)


@settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    faults=st.lists(st.tuples(TIMES, FAULTS), max_size=6),
    lost_reply_share=st.sampled_from([0.0, 0.02, 0.2]),
    jitter_s=st.sampled_from([0.0, 0.01, 0.1]),
    peer_loss=st.sampled_from([0.0, 0.1]),
)
def test_disorder_breaks_no_invariant(
    seed, faults, lost_reply_share, jitter_s, peer_loss
):
    """Callers get complete answers or clear failures under any sequence of faults.

    Replies are lost after the call took effect, results arrive twice and late, hosts
    die, pause and return, upstreams restart, zones are partitioned. Meanwhile callers
    resubmit requests that have a key or an id issued in advance.
    """
    make = POLICIES[PRODUCT_POLICY].make
    simulation = Simulation(SMALL, make, seed, resubmits=True)
    simulation.clients.requests_ids_in_advance = True
    simulation.links.jitter_s = jitter_s
    simulation.links.peer_loss = peer_loss
    simulation.log.lost_reply_share = lost_reply_share
    for upstream in simulation.upstreams.values():
        upstream.faults.lost_reply_share = lost_reply_share
    for when, fault in faults:
        simulation.loop.at(when, lambda fault=fault: fault(simulation))
    deadline_ms = DEADLINE_S * 1000
    workload = Workload(load=0.7, seconds=SECONDS, deadline_ms=deadline_ms)
    simulation.run(generate_jobs(SMALL, workload, seed), SECONDS, GRACE_S)
    assert simulation.checker.counts == {}, simulation.checker.violations


def _host(simulation, index):
    return list(simulation.hosts.values())[index]


def _upstream(simulation, index):
    return list(simulation.upstreams.values())[index]
