"""Tests of dialling other hosts."""

import msgspec
import pytest

from jackdawspur.front import _mesh
from jackdawspur.front._mesh import DIALS_PER_PASS, Mesh
from jackdawspur.group import HostAddress, JobCancellation


class FakeOutbox:
    """An outbox without a connection."""

    sent: list[bytes] = []

    def __init__(self, *_: object) -> None:
        self.closed = False

    def send(self, data: bytes) -> bool:
        self.sent.append(data)
        return True

    def close(self) -> None:
        self.closed = True


class FakeInbox:
    """An inbox that receives nothing."""

    def __init__(self, *_: object) -> None:
        pass

    def register(self, _owner: object) -> None:
        pass


@pytest.fixture
def mesh(monkeypatch) -> Mesh:
    monkeypatch.setattr(_mesh, "Outbox", FakeOutbox)
    monkeypatch.setattr(_mesh, "Inbox", FakeInbox)
    return Mesh("127.0.0.1:1", None, lambda _message: None)


def hosts(count: int, started_ms: int = 1) -> tuple[HostAddress, ...]:
    return tuple(
        HostAddress(f"h{n}", "z1", f"127.0.0.1:{9000 + n}", started_ms)
        for n in range(count)
    )


def test_many_hosts_are_dialled_in_several_passes(mesh: Mesh):
    # Guards against a new leader that dials all others in one pass, and so blocks for
    # so long that it loses the leadership again.
    peers = hosts(3 * DIALS_PER_PASS)
    passes = [mesh.set_peers(peers) for _ in range(4)]
    assert [len(names) for names in passes] == [DIALS_PER_PASS] * 3 + [0]
    assert passes[0] == [host.name for host in peers[:DIALS_PER_PASS]]


def test_a_restarted_host_is_dialled_again(mesh: Mesh):
    mesh.set_peers(hosts(2))
    assert mesh.set_peers(hosts(2)) == []
    assert mesh.set_peers(hosts(2, started_ms=2)) == ["h0", "h1"]


@pytest.mark.parametrize("call", [1 << 64, -(1 << 64)])
def test_a_message_that_cannot_be_encoded_is_dropped(
    mesh: Mesh, monkeypatch, call: int
):
    # Guards against an exception in each tick, which would keep all later parts of the
    # tick, such as heartbeats, from being done.
    monkeypatch.setattr(FakeOutbox, "sent", [])
    mesh.set_peers(hosts(1))
    assert mesh.send("h0", JobCancellation("h1", "job", 1))
    assert not mesh.send("h0", JobCancellation("h1", "job", call))
    assert mesh.dropped_messages == 1
    assert len(FakeOutbox.sent) == 1


def test_a_nested_message_is_dropped(mesh: Mesh):
    # Guards against an error that ends the reading of the messages behind it.
    fields = {"type": "drop", "sender": "h1", "job": "job", "call": 1, "x": 0}
    data = msgspec.msgpack.encode(fields)[:-1] + b"\x91" * 100_000 + b"\x00"
    mesh._receive(data)
