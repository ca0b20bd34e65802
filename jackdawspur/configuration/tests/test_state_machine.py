"""The state machine gives every host the same state, whatever the log contains."""

import json
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from jackdawspur.configuration import (
    Configuration,
    ConfigurationStateMachine,
    Confirm,
    OperatorEntry,
    Right,
    SkipReason,
    Snapshot,
    ZoneEntry,
    encode_record,
)
from jackdawspur.configuration._changes import PutOperator, PutZone
from jackdawspur.configuration._tail import build_snapshot
from jackdawspur.external import LogRecord

OPERATOR = OperatorEntry(
    name="ann", token_sha256=("0" * 64,), rights=(Right.PLAN, Right.CONFIRM)
)


def confirm(plan, base, zone="z"):
    changes = [PutZone(entry=ZoneEntry(name=zone, region="r"))]
    if base == -1:
        changes.append(PutOperator(entry=OPERATOR))
    return Confirm(
        id=f"confirm-{plan}",
        plan=plan,
        base=base,
        operator="ann",
        reason="test",
        at=0.0,
        changes=tuple(changes),
    )


def log_of(*records, first=0):
    bodies = [r if isinstance(r, str) else encode_record(r) for r in records]
    return [LogRecord(first + i, body) for i, body in enumerate(bodies)]


def replay(records):
    state_machine = ConfigurationStateMachine()
    state_machine.apply_records(records)
    return state_machine


def zones(state_machine):
    return [zone.name for zone in state_machine.configuration.zones]


def test_repeat_after_a_lost_reply_is_applied_once():
    """A host appends a confirm, loses the reply and appends it again later.

    Meanwhile a confirm of another operator, based on the first, has won. The repeat is
    neither a second change nor a conflict.
    """
    first = confirm("a", -1, "one")
    state_machine = replay(log_of(first, confirm("b", 0, "two"), first, first))
    assert [e.plan for e in state_machine.history] == ["a", "b"]
    assert state_machine.version == 1
    assert not state_machine.void_confirms


def newer_schema_confirm(base, plan="n"):
    body = {"kind": "confirm", "schema_version": 99, "id": plan, "base": base}
    return json.dumps({**body, "unheard_of": {"x": [1]}})


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        ("{", SkipReason.UNREADABLE),
        ('{"kind": "confirm"}', SkipReason.UNREADABLE),
        ('{"kind":"gossip","schema_version":1,"id":"g"}', SkipReason.FOREIGN),
        (newer_schema_confirm(77), SkipReason.NEWER_SCHEMA),
        (
            encode_record(confirm("x", 0)).replace('"reason"', '"reasons"'),
            SkipReason.UNREADABLE,
        ),
        (
            encode_record(confirm("x", 0)).replace('"z"', '"UPPER"'),
            SkipReason.UNREADABLE,
        ),
    ],
)
def test_invalid_records_are_skipped_and_reported(body, reason):
    """The stream contains a record that this program can't apply.

    The last valid version stays in force, later changes are applied, and the record is
    reported to the operators.
    """
    state_machine = replay(log_of(confirm("a", -1), body, confirm("b", 0, "two")))
    assert zones(state_machine) == ["z", "two"]
    assert [(s.offset, s.reason) for s in state_machine.skipped] == [(1, reason)]


def test_confirm_of_a_newer_schema_advances_only_the_head():
    """Half of the hosts run a newer program, and a change of its schema wins.

    An older host can't apply it. If it decided on later confirms by its own version,
    it would accept one that is void on the newer hosts.
    """
    records = log_of(
        confirm("a", -1), newer_schema_confirm(0), confirm("b", 0, "b"), confirm("c", 1)
    )
    state_machine = replay(records)
    assert state_machine.version == 0 and state_machine.head == 3
    assert [void.plan for void in state_machine.void_confirms] == ["b"]
    state = Configuration(
        operators=(OPERATOR,), zones=(ZoneEntry(name="q", region="r"),)
    )
    snapshot = Snapshot(id="s", version=3, through=3, at=0.0, configuration=state)
    state_machine.apply_records(log_of(snapshot, first=4))
    assert state_machine.version == 3 and zones(state_machine) == ["q"]


def test_change_that_breaks_references_is_void_everywhere():
    """A confirm in the log that removes the only operator must not be applied.

    No planner checked it, so each host must reject it by its own validation.
    """
    bad = replace(confirm("b", 0), changes=confirm("x", -1).changes[:1])
    lockout = (
        encode_record(bad)
        .replace('"put_zone"', '"remove"')
        .replace(
            '"entry":{"name":"z","region":"r"}', '"section":"operators","name":"ann"'
        )
    )
    state_machine = replay(log_of(confirm("a", -1), lockout))
    assert state_machine.version == 0
    assert state_machine.skipped[0].reason is SkipReason.INVALID


def test_old_snapshots_never_set_the_version_back():
    """A lagging host's snapshot of an old version must not set the version back.

    The snapshot is at the end of the log, after newer confirms.
    """
    records = log_of(confirm("a", -1, "one"), confirm("b", 0, "two"))
    old = build_snapshot(replay(records[:1]), wall=0.0)
    state_machine = replay(records)
    state_machine.apply_records(log_of(old, first=2))
    assert state_machine.version == 1 and zones(state_machine) == ["one", "two"]


def test_no_confirm_is_decided_until_a_snapshot_covers_the_gap():
    """The log is trimmed and still holds a snapshot of a lagging writer.

    The snapshot lacks the trimmed confirm at offset 1. Deciding by this snapshot would
    void the confirm at offset 3, which won on all other hosts.
    """
    whole = log_of(confirm("a", -1, "one"), confirm("b", 0, "two"))
    lagging = build_snapshot(replay(whole[:1]), wall=0.0)
    retained = log_of(lagging, confirm("c", 1, "three"), first=2)
    state_machine = ConfigurationStateMachine()
    state_machine.skip_to(2)
    state_machine.apply_records(retained)
    assert (
        state_machine.version == 0
        and not state_machine.contiguous
        and not state_machine.void_confirms
    )
    covering = build_snapshot(replay(whole), wall=0.0)
    state_machine.apply_records(log_of(covering, first=4))
    assert state_machine.contiguous
    assert state_machine.version == 3 and zones(state_machine) == [
        "one",
        "two",
        "three",
    ]


def test_state_of_a_peer_never_hides_a_record_or_sets_the_version_back():
    """A peer sends its full state while this host reads the log itself.

    The state arrives when this host has read all records that it covers but the last.
    Handled as a record, it would replace the confirm at that offset.
    """
    records = log_of(*(confirm(str(i), i - 1, f"z{i}") for i in range(6)))
    state_machine = replay(records[:3])
    assert not state_machine.install_state(
        build_snapshot(replay(records[:2]), wall=0.0)
    )
    assert state_machine.version == 2 and state_machine.through == 2
    assert state_machine.install_state(build_snapshot(replay(records[:4]), wall=0.0))
    assert state_machine.version == 3 and state_machine.contiguous
    state_machine.apply_records(records)
    assert (
        state_machine.version == 5
        and state_machine.configuration == replay(records).configuration
    )


@st.composite
def histories(draw):
    """Generate a log of competing and repeated confirms, invalid records, snapshots."""
    records = []
    for index in range(draw(st.integers(3, 25))):
        kind = draw(st.sampled_from(["confirm", "repeat", "snapshot", "bad", "newer"]))
        bases = st.integers(-1, max(index - 1, -1))
        if kind == "repeat" and records:
            records.append(draw(st.sampled_from(records)))
        elif kind == "snapshot":
            until = draw(st.integers(0, index))
            records.append(
                encode_record(build_snapshot(replay(log_of(*records[:until])), 0))
            )
        elif kind == "bad":
            records.append("rubbish")
        elif kind == "newer":
            records.append(newer_schema_confirm(draw(bases), f"n{index}"))
        else:
            base = replay(log_of(*records)).head if draw(st.booleans()) else draw(bases)
            records.append(encode_record(confirm(f"p{index}", base, f"z{index}")))
    return records


@settings(max_examples=150, deadline=None, derandomize=True)
@given(histories(), *[st.integers(0, 25)] * 4)
def test_late_readers_end_at_the_same_version(bodies, trimmed, joins_at, state_at, lag):
    """One host reads every record at once; another starts late with a trimmed log.

    The late host receives the state of a peer once; that peer may lag. The late host
    may stay behind, but whenever it decides on confirms, it decides like the first.
    The version never decreases on either host.
    """
    records = log_of(*bodies)
    whole = ConfigurationStateMachine()
    late = ConfigurationStateMachine()
    late.skip_to(min(trimmed, len(records)))
    for index, record in enumerate(records):
        before = whole.version, late.version
        whole.apply_records([record])
        if index >= joins_at:
            late.apply_records(records[: index + 1])
        if index == state_at:
            peer = replay(records[: max(0, index + 1 - lag)])
            if peer.version >= 0:
                late.install_state(build_snapshot(peer, wall=0.0))
        assert whole.version >= before[0] and late.version >= before[1]
        caught_up = late.through == whole.through
        if caught_up and late.contiguous and late.head == late.version:
            assert late.head == whole.head
            if whole.version == whole.head:
                assert late.configuration == whole.configuration
