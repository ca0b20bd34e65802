"""Any reply of an upstream is taken for a report, a refusal or none, and is usable."""

from hypothesis import given, strategies as st
from result import Ok

from jackdawspur.adapters import ClientResponse
from jackdawspur.fuzz.tests.mutations import DEEPLY_NESTED, FUZZ, mutated_json
from jackdawspur.leases import (
    CallOutcome,
    LeasedUpstream,
    PollReport,
    Resources,
    UpstreamEntry,
)
from jackdawspur.model import UpstreamId
from jackdawspur.platform._upstreams import (
    ReportDecodeError,
    _call_outcome,
    _decode_poll_report,
)

REPORT = {
    "clock_ms": 482_113,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00000bb87a21d94b", 41]],
    "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
    "born": 1_764_748_800_000,
}
REFUSAL = {"clock_ms": 482_113, "reason": "fence"}
ENTRY = UpstreamEntry(
    UpstreamId("z1", "u1"), "s", "127.0.0.1:1", Resources(), (), False
)
BODIES = (
    mutated_json(REPORT)
    | mutated_json(REFUSAL)
    | st.binary(max_size=60)
    | st.just(b'{"clock_ms":1,"x":' + DEEPLY_NESTED)
)
MAX_INTEGER = 1 << 53


@FUZZ
@given(body=BODIES)
def test_a_report_can_be_recorded_or_is_rejected(body: bytes):
    try:
        report = _decode_poll_report(ClientResponse(200, body))
    except ReportDecodeError:
        return
    check_bounds(report)
    upstream = LeasedUpstream(ENTRY, 1, 1, 10.0)
    upstream.record_report(upstream.register_poll(11.0), report, 10.0)
    assert upstream.extend_lease(10.1) >= report.clock_ms
    assert not upstream.leases_expired(10.2)
    assert upstream.leases_expired(20.0)


def check_bounds(report: PollReport) -> None:
    """Check that all numbers of a report are in their bounds."""
    numbers = [report.clock_ms, report.incarnation]
    for running in report.running:
        numbers += [running.run.number, running.percent]
    for ended in report.ended:
        numbers += [ended.number, ended.run.number]
    assert all(0 <= number <= MAX_INTEGER for number in numbers)


@FUZZ
@given(status=st.integers(100, 599), body=BODIES)
def test_a_reply_has_an_outcome(status: int, body: bytes):
    outcome = _call_outcome(Ok(ClientResponse(status, body)))
    assert isinstance(outcome, CallOutcome)
