"""Tests that replies of upstreams are decoded even if optional fields are missing."""

import pytest
from result import Ok

from jackdawspur.adapters import ClientResponse
from jackdawspur.leases import CallOutcome, PollReport
from jackdawspur.model import UpstreamId
from jackdawspur.platform import _upstreams
from jackdawspur.platform._upstreams import PlatformUpstreamClient
from jackdawspur.runs import PollUpstream

POLL = PollUpstream(UpstreamId("z1", "u1"), "127.0.0.1:1", 1, 7, 0, None, 0, 0, 0.1)


class AnsweringClient:
    """Answers each request with the same body."""

    body = b""

    def __init__(self, *_) -> None:
        pass

    def register(self, _owner) -> "AnsweringClient":
        return self

    def request(self, _method, _path, _body, _limit_s, done, _headers) -> None:
        done(Ok(ClientResponse(200, self.body)))


@pytest.fixture
def poll(monkeypatch):
    """Return a function that polls an upstream which answers with the given body."""
    monkeypatch.setattr(_upstreams, "HttpClient", AnsweringClient)

    def poll_once(body: bytes) -> PollReport | CallOutcome:
        monkeypatch.setattr(AnsweringClient, "body", body)
        reports = []
        PlatformUpstreamClient(None, None).poll_runs(POLL, reports.append)
        return reports[0]

    return poll_once


def test_report_contains_the_incarnation(poll):
    assert poll(b'{"clock_ms":5,"born":1764748800000}').incarnation == 1764748800000


def test_incarnation_may_be_missing_in_a_report(poll):
    assert poll(b'{"clock_ms":5}') == PollReport(5, (), ())


@pytest.mark.parametrize("born", [b'"now"', b"1.5", b"null"])
def test_report_with_an_invalid_incarnation_is_rejected(poll, born: bytes):
    assert poll(b'{"clock_ms":5,"born":' + born + b"}") is CallOutcome.UNKNOWN


@pytest.mark.parametrize(
    "body",
    [
        b'{"clock_ms":' + b"9" * 400 + b"}",
        b'{"clock_ms":18446744073709551616}',
        b'{"clock_ms":-1}',
        b'{"clock_ms":5,"born":18446744073709551616}',
        b'{"clock_ms":5,"running":[["t",18446744073709551616,"",1]]}',
        b'{"clock_ms":5,"running":[["t","inf","",1]]}',
        b'{"clock_ms":5,"running":[["t",1,"","nan"]]}',
        b'{"clock_ms":5,"running":[["t",1,"",-1]]}',
        b'{"clock_ms":5,"ended":[[1e300,"t",1,"done",""]]}',
        b'{"clock_ms":5,"ended":[[1,"t",1e300,"done",""]]}',
        b'{"clock_ms":5,"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    ],
)
def test_report_with_a_number_too_large_or_nested_is_rejected(poll, body: bytes):
    # Guards against leases that never expire, and arithmetic that raises in each tick.
    assert poll(body) is CallOutcome.UNKNOWN


def test_malformed_replies_are_logged_once(monkeypatch, caplog):
    # Guards against a log that a single upstream fills, ten lines a second.
    monkeypatch.setattr(_upstreams, "HttpClient", AnsweringClient)
    client = PlatformUpstreamClient(None, None)
    for body in (b"[]", b"[]", b'{"clock_ms":5}', b"[]"):
        monkeypatch.setattr(AnsweringClient, "body", body)
        client.poll_runs(POLL, lambda report: None)
    lines = [r for r in caplog.records if r.message == "upstream answered nonsense"]
    assert [line.upstream for line in lines] == ["z1.u1", "z1.u1"]
