"""Tests of the codec, and of the rejection of malformed and stale messages."""

import math
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from jackdawspur.links import (
    SCHEMA_VERSION,
    Envelope,
    LinkError,
    MessageDecodeError,
    StaleFilter,
    UnknownSchemaError,
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

SENDER = HostId("north", "e1", 5)
RECEIVER = HostId("south", "e2", 9)
REQUEST = JobRequest("roster", "confirm", (TaskSpec("{}", 120.0),), 900.0, key="k")
INFINITE_DEADLINE = {"deadline_ms": math.inf}


@pytest.mark.parametrize(
    "message",
    [
        Heartbeat(SENDER, 3, True, False, 17, 30, 0, 0.0, bad_upstreams=()),
        Delegate(SubmissionId(SENDER, 4), REQUEST, 512.5),
        SlotGrant(1, 200.0, (UpstreamSlots(UpstreamId("north", "w1"), 2),)),
    ],
)
def test_message_round_trip(message):
    envelope = Envelope(SENDER, RECEIVER, 12.25, message)
    assert decode(encode(envelope)) == envelope


@pytest.mark.parametrize(
    "message",
    [
        Delegate(SubmissionId(SENDER, 4), REQUEST, math.nan),
        Delegate(SubmissionId(SENDER, 4), replace(REQUEST, tasks=()), 1.0),
        Forward(
            1,
            "roster",
            SubmissionId(SENDER, 4),
            True,
            replace(REQUEST, **INFINITE_DEADLINE),
        ),
        Pulse(1, 2, 3, math.nan),
    ],
)
def test_message_with_invalid_numbers_is_rejected(message):
    """Callers of a host wait forever after it received one message from a peer.

    A time in the message is not a finite number, and as a timer it blocks all others.
    """
    with pytest.raises(MessageDecodeError):
        decode(encode(Envelope(SENDER, RECEIVER, 12.25, message)))


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200))
def test_malformed_bytes_are_rejected(data):
    with pytest.raises(LinkError):
        decode(data)


def test_newer_schema_raises_its_own_error():
    data = encode(
        Envelope(SENDER, RECEIVER, 0.0, Delegate(SubmissionId(SENDER, 4), REQUEST, 1))
    )
    # The frame is an array whose first element is the version.
    newer = data[:1] + bytes([SCHEMA_VERSION + 1]) + data[2:]
    with pytest.raises(UnknownSchemaError):
        decode(newer)


def test_message_delayed_by_a_partition_is_stale():
    """A job starts 30 s after its caller was answered "outcome unknown".

    The owner delegates the job, the link is partitioned and the owner gives up. When
    the partition ends, the link delivers the messages that were still in its queue.
    """
    stale_filter = StaleFilter()
    assert not stale_filter.is_stale(SENDER, sent_at=100.0, now=7.0)
    assert not stale_filter.is_stale(SENDER, sent_at=101.0, now=8.001)
    assert stale_filter.is_stale(SENDER, sent_at=102.0, now=39.0)
    assert not stale_filter.is_stale(SENDER, sent_at=132.0, now=39.002)
