"""Messages survive the codec; foreign and stale ones do no harm."""

import math
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from jackdawspur.links import (
    SCHEMA_VERSION,
    Envelope,
    LinkError,
    StaleFilter,
    UnknownSchema,
    UnreadableMessage,
    decode,
    encode,
)
from jackdawspur.messages import (
    Delegate,
    Forward,
    Heartbeat,
    Pulse,
    SlotGrant,
    UpstreamSlots,
)
from jackdawspur.model import (
    HostId,
    JobRequest,
    SubmissionId,
    TaskSpec,
    UpstreamId,
)

ONE = HostId("north", "e1", 5)
TWO = HostId("south", "e2", 9)
REQUEST = JobRequest("roster", "confirm", (TaskSpec("{}", 120.0),), 900.0, key="k")
ENDLESS = {"deadline_ms": math.inf}


@pytest.mark.parametrize(
    "message",
    [
        Heartbeat(ONE, 3, True, False, 17, 30, 0, 0.0, bad_upstreams=()),
        Delegate(SubmissionId(ONE, 4), REQUEST, 512.5),
        SlotGrant(1, 200.0, (UpstreamSlots(UpstreamId("north", "w1"), 2),)),
    ],
)
def test_message_round_trip(message):
    envelope = Envelope(ONE, TWO, 12.25, message)
    assert decode(encode(envelope)) == envelope


@pytest.mark.parametrize(
    "message",
    [
        Delegate(SubmissionId(ONE, 4), REQUEST, math.nan),
        Delegate(SubmissionId(ONE, 4), replace(REQUEST, tasks=()), 1.0),
        Forward(1, "roster", SubmissionId(ONE, 4), True, replace(REQUEST, **ENDLESS)),
        Pulse(1, 2, 3, math.nan),
    ],
)
def test_message_with_impossible_numbers_is_refused(message):
    """Callers of a host wait for ever after one message of a peer.

    A time in it is no number, and as a timer holds up all that come after it.
    """
    with pytest.raises(UnreadableMessage):
        decode(encode(Envelope(ONE, TWO, 12.25, message)))


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200))
def test_foreign_bytes_are_refused(data):
    with pytest.raises(LinkError):
        decode(data)


def test_newer_schema_is_told_apart():
    data = encode(Envelope(ONE, TWO, 0.0, Delegate(SubmissionId(ONE, 4), REQUEST, 1)))
    # The frame is an array whose first element is the version.
    newer = data[:1] + bytes([SCHEMA_VERSION + 1]) + data[2:]
    with pytest.raises(UnknownSchema):
        decode(newer)


def test_message_held_up_by_a_cut_is_stale():
    """A caller was told "outcome unknown"; 30 s later its job starts all the same.

    The owner delegates a job, the link is cut, the owner gives up. The link heals and
    delivers what its queue held. Cause: a queue outlives the reason for its content.
    """
    stale = StaleFilter()
    assert not stale.is_stale(ONE, sent_at=100.0, now=7.0)
    assert not stale.is_stale(ONE, sent_at=101.0, now=8.001)
    assert stale.is_stale(ONE, sent_at=102.0, now=39.0)
    assert not stale.is_stale(ONE, sent_at=132.0, now=39.002)
