"""Tests of dialling other hosts."""

import pytest

from jackdawspur.front import _mesh
from jackdawspur.front._mesh import DIALS_PER_PASS, Mesh
from jackdawspur.group import HostAddress


class FakeOutbox:
    """An outbox without a connection."""

    def __init__(self, *_: object) -> None:
        self.closed = False

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
