"""What upstreams answer is read once, whatever of it is missing."""

import pytest
from result import Ok

from jackdawspur.adapters import ClientResponse
from jackdawspur.leases import CallOutcome, PollReport
from jackdawspur.model import UpstreamId
from jackdawspur.platform import _upstreams
from jackdawspur.platform._upstreams import PlatformUpstreamClient
from jackdawspur.runs import PollUpstream

LOOK = PollUpstream(UpstreamId("z1", "u1"), "127.0.0.1:1", 1, 7, 0, None, 0, 0, 0.1)


class AnsweringClient:
    """Answer each request with the same body."""

    body = b""

    def __init__(self, *_) -> None:
        pass

    def register(self, _owner) -> "AnsweringClient":
        return self

    def request(self, _method, _path, _body, _limit_s, done, _headers) -> None:
        done(Ok(ClientResponse(200, self.body)))


@pytest.fixture
def look(monkeypatch):
    """Return what a look at an upstream that answers a body tells."""
    monkeypatch.setattr(_upstreams, "HttpClient", AnsweringClient)

    def ask(body: bytes) -> PollReport | CallOutcome:
        monkeypatch.setattr(AnsweringClient, "body", body)
        told = []
        PlatformUpstreamClient(None, None).poll_runs(LOOK, told.append)
        return told[0]

    return ask


def test_a_report_names_the_boot_that_sent_it(look):
    assert look(b'{"clock_ms":5,"born":1764748800000}').incarnation == 1764748800000


def test_a_report_may_name_no_boot(look):
    assert look(b'{"clock_ms":5}') == PollReport(5, (), ())


@pytest.mark.parametrize("born", [b'"now"', b"1.5", b"null"])
def test_a_report_with_another_type_is_no_answer(look, born: bytes):
    assert look(b'{"clock_ms":5,"born":' + born + b"}") is CallOutcome.UNKNOWN
