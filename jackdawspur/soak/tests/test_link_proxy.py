"""A link's proxy keeps back what single hosts send, and passes it on later."""

import socket
from collections.abc import Iterator

import pytest

from jackdawspur.group import HostAddress, HostHeartbeat, encode_message
from jackdawspur.soak._link_proxy import GREETING, LinkProxy

SHORT_S = 0.2
LONG_S = 5.0


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as one:
        one.settimeout(LONG_S)
        yield one


@pytest.fixture
def proxy(listener: socket.socket) -> Iterator[LinkProxy]:
    one = LinkProxy(0, listener.getsockname()[1])
    yield one
    one.close()


def beat(name: str) -> bytes:
    known = (HostAddress("h9", "z1", "127.0.0.1:9", 1),)
    host = HostAddress(name, "z1", "127.0.0.1:1", 1)
    return encode_message(
        HostHeartbeat(host, 0.0, False, 0, True, False, False, 1, 0.0, known)
    )


def connect(
    proxy: LinkProxy, listener: socket.socket
) -> tuple[socket.socket, socket.socket]:
    """Return both ends of a link whose greeting has passed."""
    near = socket.create_connection(("127.0.0.1", proxy.port), timeout=LONG_S)
    near.sendall(GREETING)
    far, _address = listener.accept()
    assert read(far, len(GREETING), LONG_S) == GREETING
    return near, far


def read(end: socket.socket, count: int, seconds: float) -> bytes:
    end.settimeout(seconds)
    data = b""
    try:
        while len(data) < count and (more := end.recv(count - len(data))):
            data += more
    except TimeoutError:
        pass
    return data


def test_only_the_cut_host_is_kept_back_until_the_cut_ends(proxy, listener):
    links = {name: connect(proxy, listener) for name in ("h1", "h2")}
    proxy.blocked_senders = frozenset({"h1"})
    for name, (near, _far) in links.items():
        near.sendall(beat(name))
    size = len(beat("h1"))
    assert read(links["h2"][1], size, LONG_S) == beat("h2")
    assert read(links["h1"][1], size, SHORT_S) == b""
    links["h1"][0].sendall(b"later")
    proxy.blocked_senders = frozenset()
    assert read(links["h1"][1], size + 5, LONG_S) == beat("h1") + b"later"


def test_a_host_known_before_the_cut_is_kept_back(proxy, listener):
    near, far = connect(proxy, listener)
    near.sendall(beat("h1"))
    assert read(far, len(beat("h1")), LONG_S) == beat("h1")
    proxy.blocked_senders = frozenset({"h1"})
    near.sendall(b"more")
    assert read(far, 4, SHORT_S) == b""
    near.close()
    proxy.blocked_senders = frozenset()
    assert read(far, 5, LONG_S) == b"more"


def test_a_link_on_which_nobody_was_named_waits_while_any_is_cut(proxy, listener):
    proxy.blocked_senders = frozenset({"h1"})
    near, far = connect(proxy, listener)
    near.sendall(b"unknown")
    assert read(far, 7, SHORT_S) == b""
    near.sendall(beat("h2"))
    size = 7 + len(beat("h2"))
    assert read(far, size, LONG_S) == b"unknown" + beat("h2")
