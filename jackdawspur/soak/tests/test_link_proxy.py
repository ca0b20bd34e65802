"""A link proxy holds back the messages of blocked hosts and forwards them later."""

import socket
from collections.abc import Iterator

import pytest

from jackdawspur.group import HostAddress, HostHeartbeat, encode_message
from jackdawspur.soak._link_proxy import GREETING, LinkProxy

SHORT_TIMEOUT_S = 0.2
LONG_TIMEOUT_S = 5.0


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server_socket:
        server_socket.settimeout(LONG_TIMEOUT_S)
        yield server_socket


@pytest.fixture
def proxy(listener: socket.socket) -> Iterator[LinkProxy]:
    link_proxy = LinkProxy(0, listener.getsockname()[1])
    yield link_proxy
    link_proxy.close()


def heartbeat(name: str) -> bytes:
    known_hosts = (HostAddress("h9", "z1", "127.0.0.1:9", 1),)
    host = HostAddress(name, "z1", "127.0.0.1:1", 1)
    return encode_message(
        HostHeartbeat(host, 0.0, False, 0, True, False, False, 1, 0.0, known_hosts)
    )


def connect(
    proxy: LinkProxy, listener: socket.socket
) -> tuple[socket.socket, socket.socket]:
    """Return both ends of a link through which the greeting was forwarded."""
    client = socket.create_connection(("127.0.0.1", proxy.port), timeout=LONG_TIMEOUT_S)
    client.sendall(GREETING)
    server, _address = listener.accept()
    assert read_bytes(server, len(GREETING), LONG_TIMEOUT_S) == GREETING
    return client, server


def read_bytes(end: socket.socket, count: int, seconds: float) -> bytes:
    end.settimeout(seconds)
    data = b""
    try:
        while len(data) < count and (chunk := end.recv(count - len(data))):
            data += chunk
    except TimeoutError:
        pass
    return data


def test_only_the_blocked_host_is_held_back_until_unblocked(proxy, listener):
    links = {name: connect(proxy, listener) for name in ("h1", "h2")}
    proxy.blocked_senders = frozenset({"h1"})
    for name, (client, _server) in links.items():
        client.sendall(heartbeat(name))
    size = len(heartbeat("h1"))
    assert read_bytes(links["h2"][1], size, LONG_TIMEOUT_S) == heartbeat("h2")
    assert read_bytes(links["h1"][1], size, SHORT_TIMEOUT_S) == b""
    links["h1"][0].sendall(b"later")
    proxy.blocked_senders = frozenset()
    assert (
        read_bytes(links["h1"][1], size + 5, LONG_TIMEOUT_S)
        == heartbeat("h1") + b"later"
    )


def test_a_host_identified_before_it_is_blocked_is_held_back(proxy, listener):
    client, server = connect(proxy, listener)
    client.sendall(heartbeat("h1"))
    assert read_bytes(server, len(heartbeat("h1")), LONG_TIMEOUT_S) == heartbeat("h1")
    proxy.blocked_senders = frozenset({"h1"})
    client.sendall(b"more")
    assert read_bytes(server, 4, SHORT_TIMEOUT_S) == b""
    client.close()
    proxy.blocked_senders = frozenset()
    assert read_bytes(server, 5, LONG_TIMEOUT_S) == b"more"


def test_an_unidentified_sender_is_held_back_while_any_host_is_blocked(proxy, listener):
    proxy.blocked_senders = frozenset({"h1"})
    client, server = connect(proxy, listener)
    client.sendall(b"unknown")
    assert read_bytes(server, 7, SHORT_TIMEOUT_S) == b""
    client.sendall(heartbeat("h2"))
    size = 7 + len(heartbeat("h2"))
    assert read_bytes(server, size, LONG_TIMEOUT_S) == b"unknown" + heartbeat("h2")
