"""Tests of the text form of identifiers."""

import pytest

from jackdawspur.model import HostId, InvalidId, SubmissionId, TaskId, UpstreamId

# Numbers too large for a message to the owner: the host that forwards them would fail.
NUMBERS_TOO_LARGE = f"a.b.1.{2**64:x}/{2**64}"
OWNER = HostId("north", "e1", 0xBEEF)


def test_task_id_round_trip():
    task = TaskId(SubmissionId(OWNER, 31), 7)
    assert str(task) == "north.e1.beef.1f/7"
    assert TaskId.parse(str(task)) == task


def test_restarted_host_is_a_different_owner():
    restarted = HostId("north", "e1", 0xBEF0)
    assert restarted != OWNER
    assert restarted.same_host(OWNER)


@pytest.mark.parametrize("kind", [HostId, SubmissionId, TaskId, UpstreamId])
@pytest.mark.parametrize(
    "text", ["", "x", "a.b.zz.1/x", "....", "a.b.1.2.3.4/5/6", NUMBERS_TOO_LARGE]
)
def test_malformed_text_is_rejected(kind, text):
    with pytest.raises(InvalidId):
        kind.parse(text)
