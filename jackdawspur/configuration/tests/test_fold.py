"""The fold gives one state on every host, whatever stands in the log."""

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


def folded(records):
    fold = ConfigurationStateMachine()
    fold.apply_records(records)
    return fold


def zones(fold):
    return [zone.name for zone in fold.configuration.zones]


def test_repeat_after_a_lost_reply_is_folded_once():
    """A host appends a confirm, loses the reply and appends it again later.

    In between another operator's confirm won on top. The repeat is neither a second
    change nor a conflict.
    """
    first = confirm("a", -1, "one")
    fold = folded(log_of(first, confirm("b", 0, "two"), first, first))
    assert [e.plan for e in fold.history] == ["a", "b"]
    assert fold.version == 1
    assert not fold.voids


def newer(base, plan="n"):
    body = {"kind": "confirm", "schema_version": 99, "id": plan, "base": base}
    return json.dumps({**body, "unheard_of": {"x": [1]}})


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        ("{", SkipReason.UNREADABLE),
        ('{"kind": "confirm"}', SkipReason.UNREADABLE),
        ('{"kind":"gossip","schema_version":1,"id":"g"}', SkipReason.FOREIGN),
        (newer(77), SkipReason.NEWER_SCHEMA),
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
def test_foreign_records_change_nothing_and_are_reported(body, reason):
    """Somebody writes into the stream what this program can't fold.

    The last good version serves, changes after it go on, the operators are told.
    """
    fold = folded(log_of(confirm("a", -1), body, confirm("b", 0, "two")))
    assert zones(fold) == ["z", "two"]
    assert [(s.offset, s.reason) for s in fold.skipped] == [(1, reason)]


def test_newer_winner_is_followed_but_not_applied():
    """Half of the hosts run a newer program, and a change of its schema wins.

    An older host can't apply it. If it went on judging by its own version, it would
    let a later confirm win that is void on the newer hosts.
    """
    records = log_of(confirm("a", -1), newer(0), confirm("b", 0, "b"), confirm("c", 1))
    fold = folded(records)
    assert fold.version == 0 and fold.head == 3
    assert [void.plan for void in fold.voids] == ["b"]
    state = Configuration(
        operators=(OPERATOR,), zones=(ZoneEntry(name="q", region="r"),)
    )
    snapshot = Snapshot(id="s", version=3, through=3, at=0.0, configuration=state)
    fold.apply_records(log_of(snapshot, first=4))
    assert fold.version == 3 and zones(fold) == ["q"]


def test_change_that_breaks_references_is_void_everywhere():
    """A confirm reaches the log that no planner checked: it empties the operators."""
    bad = replace(confirm("b", 0), changes=confirm("x", -1).changes[:1])
    lockout = (
        encode_record(bad)
        .replace('"put_zone"', '"remove"')
        .replace(
            '"entry":{"name":"z","region":"r"}', '"section":"operators","name":"ann"'
        )
    )
    fold = folded(log_of(confirm("a", -1), lockout))
    assert fold.version == 0
    assert fold.skipped[0].reason is SkipReason.INVALID


def test_old_snapshots_never_take_a_version_back():
    """A host that lagged writes a snapshot of an old version at the log's end."""
    records = log_of(confirm("a", -1, "one"), confirm("b", 0, "two"))
    old = build_snapshot(folded(records[:1]), wall=0.0)
    fold = folded(records)
    fold.apply_records(log_of(old, first=2))
    assert fold.version == 1 and zones(fold) == ["one", "two"]


def test_gap_is_judged_only_after_a_snapshot_that_covers_it():
    """The log is trimmed while a snapshot of a lagging writer stands in it.

    That snapshot doesn't know of the trimmed confirm at offset 1: judging by it
    would void the confirm at 3, which won on all other hosts.
    """
    whole = log_of(confirm("a", -1, "one"), confirm("b", 0, "two"))
    lagging = build_snapshot(folded(whole[:1]), wall=0.0)
    kept = log_of(lagging, confirm("c", 1, "three"), first=2)
    fold = ConfigurationStateMachine()
    fold.skip_to(2)
    fold.apply_records(kept)
    assert fold.version == 0 and not fold.contiguous and not fold.voids
    covering = build_snapshot(folded(whole), wall=0.0)
    fold.apply_records(log_of(covering, first=4))
    assert fold.contiguous
    assert fold.version == 3 and zones(fold) == ["one", "two", "three"]


def test_state_of_a_peer_never_hides_a_record_or_goes_back():
    """A peer passes its whole state on while this host reads the log itself.

    The state arrives when this host has read up to the record before the state's
    last. Taken for a record, it would stand in the place of that confirm.
    """
    records = log_of(*(confirm(str(i), i - 1, f"z{i}") for i in range(6)))
    fold = folded(records[:3])
    assert not fold.take_state(build_snapshot(folded(records[:2]), wall=0.0))
    assert fold.version == 2 and fold.through == 2
    assert fold.take_state(build_snapshot(folded(records[:4]), wall=0.0))
    assert fold.version == 3 and fold.contiguous
    fold.apply_records(records)
    assert fold.version == 5 and fold.configuration == folded(records).configuration


@st.composite
def histories(draw):
    """Draw a log of racing confirms, repeats, plans, rubbish and snapshots."""
    records = []
    for index in range(draw(st.integers(3, 25))):
        kind = draw(st.sampled_from(["confirm", "repeat", "snapshot", "bad", "newer"]))
        bases = st.integers(-1, max(index - 1, -1))
        if kind == "repeat" and records:
            records.append(draw(st.sampled_from(records)))
        elif kind == "snapshot":
            until = draw(st.integers(0, index))
            records.append(
                encode_record(build_snapshot(folded(log_of(*records[:until])), 0))
            )
        elif kind == "bad":
            records.append("rubbish")
        elif kind == "newer":
            records.append(newer(draw(bases), f"n{index}"))
        else:
            base = folded(log_of(*records)).head if draw(st.booleans()) else draw(bases)
            records.append(encode_record(confirm(f"p{index}", base, f"z{index}")))
    return records


@settings(max_examples=150, deadline=None, derandomize=True)
@given(histories(), *[st.integers(0, 25)] * 4)
def test_late_readers_end_at_the_same_version(bodies, trimmed, cut, asked, lag):
    """One host reads every record as it comes; another reads a trimmed log.

    Once, the late one gets the state of a peer, which may lag. It may stay behind,
    but where it judges at all it judges alike; no step takes either of them back.
    """
    records = log_of(*bodies)
    whole = ConfigurationStateMachine()
    late = ConfigurationStateMachine()
    late.skip_to(min(trimmed, len(records)))
    for index, record in enumerate(records):
        before = whole.version, late.version
        whole.apply_records([record])
        if index >= cut:
            late.apply_records(records[: index + 1])
        if index == asked:
            peer = folded(records[: max(0, index + 1 - lag)])
            if peer.version >= 0:
                late.take_state(build_snapshot(peer, wall=0.0))
        assert whole.version >= before[0] and late.version >= before[1]
        caught_up = late.through == whole.through
        if caught_up and late.contiguous and late.head == late.version:
            assert late.head == whole.head
            if whole.version == whole.head:
                assert late.configuration == whole.configuration
