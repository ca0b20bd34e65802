"""Tests that each request is sent at most once and gets its own reply or an error."""

import socket

import pytest

from jackdawspur.external import OutcomeUnknown, Unavailable

OK_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nA1"
EMPTY_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def get(client, timeout_s=1.0):
    results = []
    client.request("GET", "/", b"", timeout_s, results.append)
    return results


def address(peer):
    return peer.host, peer.port


def test_refused_connect_is_unavailable(loop):
    """The process of an upstream is gone, and its host resets the connection.

    No byte was sent, so the dispatcher may place the task on another upstream. It is
    notified at once: the clock of this test does not advance.
    """
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        client = loop.client(unused.getsockname())
    results = get(client)
    loop.run_until(lambda: results)
    assert isinstance(results[0].unwrap_err(), Unavailable)
    assert client.waiting == client.in_flight == 0


def test_connect_that_gets_no_answer_is_unavailable(loop):
    """The host of an upstream is down, so the connection attempt gets no answer."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # A listener that never accepts drops connections beyond its backlog.
        clients = [
            loop.client(listener.getsockname(), connect_timeout_s=0.5) for _ in range(4)
        ]
        results = [get(client, 9.0) for client in clients]
        loop.settle()
        loop.advance(0.6)
        failed = [result[0] for result in results if result]
        assert failed and all(
            isinstance(result.unwrap_err(), Unavailable) for result in failed
        )


def test_late_reply_reaches_no_other_request(loop, peer):
    """A slow upstream replies to a request after its timeout on the entry host.

    The next request to this upstream must not get the late reply, or a caller would
    get the output of another job. So the connection is closed at the timeout.
    """
    client = loop.client(address(peer), max_connections=1)
    first, second = [], []

    def send_second(result):
        first.append(result)
        client.request("GET", "/", b"", 1.0, second.append)

    client.request("GET", "/", b"", 1.0, send_second)
    loop.run_until(lambda: peer.requests)
    peer.socks[0].send(OK_REPLY)
    loop.advance(1.1)
    assert isinstance(first[0].unwrap_err(), OutcomeUnknown)
    loop.run_until(lambda: len(peer.requests) == 2)
    assert not second
    peer.send_bytes(peer.socks[1], OK_REPLY.replace(b"A1", b"B2"))
    loop.run_until(lambda: second)
    assert second[0].unwrap().body == b"B2"
    assert len(first) == 1


def test_connection_with_an_unrequested_reply_is_not_reused(loop, peer):
    """An upstream sends a reply twice; the copy would answer the next request."""
    peer.replies = [[EMPTY_REPLY], [OK_REPLY.replace(b"A1", b"B2")]]
    client = loop.client(address(peer), max_connections=1)
    first = get(client)
    loop.run_until(lambda: first)
    peer.send_bytes(peer.socks[0], OK_REPLY)
    loop.settle()
    second = get(client)
    loop.run_until(lambda: second)
    assert second[0].unwrap().body == b"B2"
    assert peer.socks[0] is not peer.socks[1]


def test_connection_closed_while_idle_is_replaced(loop, peer):
    peer.replies = [[OK_REPLY], [OK_REPLY]]
    client = loop.client(address(peer), max_connections=1)
    first = get(client)
    loop.run_until(lambda: first)
    peer.hang_up(peer.socks[0])
    loop.settle()
    second = get(client)
    loop.run_until(lambda: second)
    assert second[0].is_ok()
    assert len(peer.requests) == 2


def test_request_that_crosses_a_close_is_not_sent_again(loop, peer):
    """Guards against a task that runs twice after a close by the upstream.

    The upstream closes a persistent connection while a start is written to it. If the
    client assumed that the start wasn't sent, it would send it again. The kernel had
    accepted the bytes, so the outcome is unknown.
    """
    peer.replies = [[OK_REPLY]]
    client = loop.client(address(peer), max_connections=1)
    first = get(client)
    loop.run_until(lambda: first)
    peer.socks[0].shutdown(socket.SHUT_RDWR)
    second = get(client)
    loop.run_until(lambda: second)
    loop.settle()
    assert isinstance(second[0].unwrap_err(), OutcomeUnknown)
    assert len(peer.requests) == 1


def test_request_that_waits_too_long_is_unavailable_and_never_sent(loop, peer):
    client = loop.client(address(peer), max_connections=1, max_pending_requests=2)
    results = [get(client, 5.0)]
    loop.run_until(lambda: peer.requests)
    results += [get(client, timeout_s) for timeout_s in (1.0, 5.0, 5.0)]
    loop.settle()
    overflow = results[3]
    assert isinstance(overflow[0].unwrap_err(), Unavailable)
    loop.advance(1.1)
    assert isinstance(results[1][0].unwrap_err(), Unavailable)
    peer.replies = [[OK_REPLY]]
    peer.send_bytes(peer.socks[0], OK_REPLY)
    loop.run_until(lambda: results[2])
    assert results[0][0].is_ok() and results[2][0].is_ok()
    assert len(peer.requests) == 2


@pytest.mark.parametrize(
    "last",
    [
        OK_REPLY.replace(b"OK", b"OK\r\nConnection: close"),
        OK_REPLY.replace(b"1.1", b"1.0"),
    ],
)
def test_reply_that_closes_its_connection_is_accepted(loop, peer, last):
    peer.replies = [[last], [OK_REPLY]]
    client = loop.client(address(peer), max_connections=1)
    both = [get(client), get(client)]
    loop.run_until(lambda: all(both))
    assert [results[0].unwrap().body for results in both] == [b"A1", b"A1"]
    assert peer.socks[0] is not peer.socks[1]


def test_reply_in_single_bytes_is_read_completely(loop, peer):
    peer.replies = [[OK_REPLY[index : index + 1] for index in range(len(OK_REPLY))]]
    results = get(loop.client(address(peer)))
    loop.run_until(lambda: results)
    assert results[0].unwrap().body == b"A1"


def test_large_request_is_sent_in_parts(loop, peer):
    """The kernel accepts a part of a large request; circuits would drop the rest."""
    results = []
    client = loop.client(address(peer))
    client.request("POST", "/", b"x" * 4_000_000, 5.0, results.append)
    loop.run_until(lambda: sum(map(len, peer.requests)) > 4_000_000)
    peer.send_bytes(peer.socks[0], OK_REPLY)
    loop.run_until(lambda: results)
    assert results[0].unwrap().body == b"A1"


@pytest.mark.parametrize(
    "malformed",
    [
        b"SSH-2.0-OpenSSH\r\n\r\n",
        b"HTTP/1.1 abc OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\nA1",
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nA1",
        b"HTTP/1.1 200 OK\r\nbad header\r\n\r\nA1",
        b"HTTP/1.1 200 \\xZZ\r\nContent-Length: 2\r\n\r\nA1",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nA1",
        OK_REPLY + OK_REPLY,
    ],
)
def test_malformed_reply_ends_in_outcome_unknown(loop, peer, malformed):
    peer.replies = [[malformed]]
    client = loop.client(address(peer), max_connections=1)
    results = get(client)
    loop.run_until(lambda: results)
    assert isinstance(results[0].unwrap_err(), OutcomeUnknown)
    peer.replies = [[OK_REPLY]]
    after = get(client)
    loop.run_until(lambda: after)
    assert after[0].unwrap().body == b"A1"


def test_reply_beyond_the_size_limit_is_aborted(loop, peer):
    peer.replies = [[b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"]]
    results = get(loop.client(address(peer)))
    loop.run_until(lambda: peer.socks)
    for _ in range(10):
        peer.send_bytes(peer.socks[0], b"x" * 1024 * 1024)
    loop.run_until(lambda: results)
    assert isinstance(results[0].unwrap_err(), OutcomeUnknown)


def test_close_ends_every_request(loop, peer):
    client = loop.client(address(peer), max_connections=1)
    results = [get(client), get(client)]
    loop.run_until(lambda: peer.requests)
    client.close()
    assert isinstance(results[0][0].unwrap_err(), OutcomeUnknown)
    assert isinstance(results[1][0].unwrap_err(), Unavailable)


def count_components(component) -> int:
    return sum(1 + count_components(child) for child in component.components)


def test_a_new_connection_keeps_the_handler_table_of_the_loop(loop, peer):
    # Guards against callers waiting while a host takes over the upstreams of a zone:
    # each connection was a component, so circuits discarded its handler table with each
    # new one and walked all components again for each event of each connection.
    client = loop.client(address(peer), max_connections=4)
    get(client)
    loop.run_until(lambda: peer.requests)
    before = count_components(loop.root)
    client.connect_all()
    loop.run_until(
        lambda: all(connection.connected for connection in client._connections)
    )
    assert len(client._connections) == 4
    assert count_components(loop.root) == before
