"""Hosts survive any message over a link and start no task twice."""

import random
from collections import Counter
from typing import get_args

import pytest
from hypothesis import given, strategies as st

from jackdawspur.dispatch import (
    AnswerCall,
    ClusterSpecUpdated,
    EntryCore,
    PeerMessageReceived,
    SendPeerMessage,
    SubmissionIdsRequested,
    Submitted,
    Tick,
)
from jackdawspur.dispatch.tests.conftest import (
    CLUSTER_SPEC,
    LOCAL_ID,
    ZONE_PEER,
    CoreHarness,
    make_request,
)
from jackdawspur.fuzz.tests.mutations import DEEPLY_NESTED, FUZZ, mutated_bytes
from jackdawspur.links import Envelope, LinkError, decode, encode
from jackdawspur.messages import Delegate, Forward, Heartbeat, Message
from jackdawspur.model import (
    HostId,
    JobRequest,
    SubmissionId,
    TaskSpec,
    UpstreamId,
)

SOUTH = HostId("south", "e1", 5)
HOSTS = st.sampled_from([LOCAL_ID, ZONE_PEER, SOUTH, HostId("", "", 0)])
SUBMISSIONS = st.builds(SubmissionId, HOSTS, st.integers(0, 4))
NAMES = st.sampled_from(["roster", "maps", "", "nobody"])
NUMBERS = st.floats() | st.floats(0.0, 9000.0)
COUNTS = st.integers(-2, 9) | st.sampled_from([2**31, 2**63 - 1, -(2**63)])
TASK_SPECS = st.builds(TaskSpec, st.just("x"), NUMBERS, COUNTS, COUNTS, COUNTS)
REQUESTS = st.builds(
    JobRequest,
    NAMES,
    NAMES,
    st.lists(TASK_SPECS | st.just(TaskSpec("y", 50.0)), max_size=3).map(tuple),
    NUMBERS,
    st.booleans(),
    st.none() | NAMES,
    st.none() | SUBMISSIONS,
)
st.register_type_strategy(HostId, HOSTS)
st.register_type_strategy(SubmissionId, SUBMISSIONS)
st.register_type_strategy(UpstreamId, st.builds(UpstreamId, NAMES, NAMES))
st.register_type_strategy(JobRequest, REQUESTS)
WELL_FORMED = st.builds(
    Delegate,
    st.builds(SubmissionId, st.just(ZONE_PEER), st.integers(0, 3)),
    st.builds(make_request, st.integers(1, 3)),
    st.floats(1.0, 4000.0),
)
MESSAGES = st.one_of(*(st.from_type(kind) for kind in get_args(Message))) | WELL_FORMED
HEARTBEAT_FRAME = encode(
    Envelope(
        ZONE_PEER, LOCAL_ID, 3.0, Heartbeat(ZONE_PEER, 1, True, True, 1, 2, 3, 4.0)
    )
)
FORWARD_FRAME = encode(
    Envelope(
        ZONE_PEER,
        LOCAL_ID,
        3.0,
        Forward(1, "roster", SubmissionId(LOCAL_ID, 1), True, make_request()),
    )
)


@FUZZ
@given(mutated_bytes(HEARTBEAT_FRAME) | mutated_bytes(FORWARD_FRAME))
def test_a_frame_is_decoded_or_refused(data):
    try:
        envelope = decode(data)
    except LinkError as error:
        assert str(error)
    else:
        assert isinstance(envelope.message, Message)


@pytest.mark.parametrize("start", range(0, len(FORWARD_FRAME), 7))
def test_a_deeply_nested_frame_is_refused(start):
    """Guards against a frame that stops the link's reader and all later messages."""
    with pytest.raises(LinkError):
        decode(FORWARD_FRAME[:start] + b"\x91" * len(DEEPLY_NESTED))


def carry_over_link(message) -> Message | None:
    """Return a message as decoded by the receiver, or None if it can't be encoded."""
    try:
        return decode(encode(Envelope(ZONE_PEER, LOCAL_ID, 0.0, message))).message
    except (LinkError, OverflowError, UnicodeEncodeError):
        return None


@FUZZ
@given(
    st.lists(st.tuples(HOSTS, MESSAGES), max_size=8),
    st.integers(0, 8),
    st.booleans(),
)
def test_no_message_stops_a_host_or_starts_a_task_twice(messages, submit_index, wait):
    """Guards against a message that aborts a loop iteration or stops ticks for good.

    A valid job is submitted in between; its tasks must start at most once, and its
    caller must get exactly one answer.
    """
    harness = CoreHarness(EntryCore(LOCAL_ID, random.Random(1), 0.0))
    harness.send_event(ClusterSpecUpdated(CLUSTER_SPEC))
    harness.send_event(SubmissionIdsRequested(1, "roster", 2))
    harness.wait(0.6)
    for index, (sender, message) in enumerate([*messages, (ZONE_PEER, None)]):
        if index == min(submit_index, len(messages)):
            harness.send_event(Submitted(7, make_request(2), wait))
        received = carry_over_link(message) if message is not None else None
        if received is not None:
            harness.send_event(PeerMessageReceived(sender, received))
        harness.send_event(Tick())
    harness.wait(7.0)
    counts = Counter(harness.started)
    assert not [task for task, count in counts.items() if count > 1]
    answered = Counter(e.call for e in harness.effects if isinstance(e, AnswerCall))
    assert answered[7] == 1
    for effect in harness.effects:
        if isinstance(effect, SendPeerMessage):
            encode(Envelope(LOCAL_ID, effect.to, 0.0, effect.message))
