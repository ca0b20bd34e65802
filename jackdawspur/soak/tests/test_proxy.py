"""A proxy forwards, stalls or closes connections according to its mode."""

import socket
from collections.abc import Iterator
from threading import Thread

import pytest

from jackdawspur.soak import Proxy, ProxyMode
from jackdawspur.soak._ports import PortBlock

SHORT_TIMEOUT_S = 0.3


def _echo(listener: socket.socket) -> None:
    while True:
        try:
            peer, _address = listener.accept()
        except OSError:
            # The fixture has closed the listener.
            return
        with peer:
            while data := peer.recv(100):
                peer.sendall(data)


@pytest.fixture
def proxy() -> Iterator[Proxy]:
    listener = socket.create_server(("127.0.0.1", 0))
    Thread(target=_echo, args=(listener,), daemon=True).start()
    running_proxy = Proxy(0, listener.getsockname()[1])
    yield running_proxy
    running_proxy.close()
    listener.close()


def _connect(proxy: Proxy) -> socket.socket:
    return socket.create_connection(("127.0.0.1", proxy.port), timeout=5.0)


def test_an_open_proxy_forwards_bytes_both_ways(proxy: Proxy):
    with _connect(proxy) as caller:
        caller.sendall(b"hello")
        assert caller.recv(100) == b"hello"


def test_a_silent_proxy_forwards_once_it_is_open_again(proxy: Proxy):
    with _connect(proxy) as caller:
        proxy.mode = ProxyMode.SILENT
        caller.settimeout(SHORT_TIMEOUT_S)
        caller.sendall(b"hello")
        with pytest.raises(TimeoutError):
            caller.recv(100)
        proxy.mode = ProxyMode.OPEN
        caller.settimeout(5.0)
        assert caller.recv(100) == b"hello"


def test_a_resetting_proxy_closes_connections(proxy: Proxy):
    with _connect(proxy) as caller:
        caller.sendall(b"hello")
        assert caller.recv(100) == b"hello"
        proxy.mode = ProxyMode.RESET
        assert caller.recv(100) == b""


def test_two_deployments_never_share_a_port():
    # Guards against hosts that fail to start beside another test run, because that run
    # takes a port after it was chosen and before the process listens on it.
    first, second = PortBlock(), PortBlock()
    assert not set(first.allocate(60)) & set(second.allocate(60))
    first.close()
    second.close()
