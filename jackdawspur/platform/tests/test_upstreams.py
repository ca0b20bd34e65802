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
