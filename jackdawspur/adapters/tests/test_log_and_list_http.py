"""Tests of the log and the host list over HTTP, against their stand-ins."""

import pytest

from jackdawspur.adapters import HttpHostList, HttpLog
from jackdawspur.adapters.tests.conftest import ANY_PORT
from jackdawspur.external import (
    HostRole,
    LogRecord,
    LogTrimmed,
    OutcomeUnknown,
    Stream,
    Unavailable,
)
from jackdawspur.standins import (
    HostListFaults,
    HostListSettings,
    LogFaults,
    LogSettings,
    make_hostlist,
    make_log,
)
from jackdawspur.wire import HostBody, HostsBody

DELAY_S = 0.005
WAIT_MS = 1000.0


@pytest.fixture
def service(loop):
    service = make_log(LogSettings(ANY_PORT), loop.root, loop.timer_queue)
    loop.settle()
    return service


@pytest.fixture
def log(loop, service):
    return HttpLog(loop.client(service.address), loop.client(service.address))


@pytest.fixture
def inject_faults(loop, service):
    def post(**faults):
        loop.post(service.address, "/faults", LogFaults(**faults))

    return post


def append(loop, log, body):
    results = []
    log.append(Stream.CLAIMS, body, results.append)
    loop.settle()
    loop.advance(DELAY_S)
    loop.run_until(lambda: results)
    return results[0]


def read(loop, log, offset, wait_ms=0.0):
    return loop.call_and_wait(log.read, Stream.CLAIMS, offset, wait_ms)


def test_a_waiting_reader_gets_the_appended_record(loop, log):
    waiting = []
    log.read(Stream.CLAIMS, 0, WAIT_MS, waiting.append)
    loop.settle()
    assert append(loop, log, '{"ä": 1}').unwrap() == 0
    loop.run_until(lambda: waiting)
    assert waiting[0].unwrap() == (LogRecord(0, '{"ä": 1}'),)
    assert append(loop, log, "{}").unwrap() == 1
    assert read(loop, log, 1).unwrap() == (LogRecord(1, "{}"),)
    assert loop.call_and_wait(log.read, Stream.CONFIGURATION, 0, 0.0).unwrap() == ()


def test_append_with_a_lost_reply_is_in_the_log(loop, log, inject_faults):
    """An operator's confirm gets no answer although it takes effect on all hosts.

    The log appends the record, then its reply is lost; readers get the record.
    """
    inject_faults(lose_appends=1)
    assert isinstance(append(loop, log, "a").unwrap_err(), OutcomeUnknown)
    assert read(loop, log, 0).unwrap() == (LogRecord(0, "a"),)


def test_reads_of_trimmed_offsets_report_the_first_offset(loop, log, inject_faults):
    for body in "abcd":
        append(loop, log, body)
    inject_faults(records_kept=2)
    error = read(loop, log, 0).unwrap_err()
    assert isinstance(error, LogTrimmed) and error.first_offset == 2
    assert [record.body for record in read(loop, log, 2).unwrap()] == ["c", "d"]
    inject_faults(seconds_kept=60.0)
    loop.advance(61.0)
    assert read(loop, log, 2).unwrap_err().first_offset == 4


def test_nothing_is_appended_during_an_outage(loop, log, inject_faults):
    inject_faults(outage=True)
    assert isinstance(append(loop, log, "a").unwrap_err(), OutcomeUnknown)
    inject_faults(silent=True)
    unanswered = []
    log.append(Stream.CLAIMS, "b", unanswered.append)
    loop.settle()
    loop.advance(2.1)
    assert isinstance(unanswered[0].unwrap_err(), OutcomeUnknown)
    inject_faults()
    assert append(loop, log, "c").unwrap() == 0


def test_rate_limited_append_is_unavailable(loop, log, inject_faults):
    inject_faults(appends_per_s=2.0)
    outcomes = [append(loop, log, str(index)) for index in range(3)]
    assert [outcome.is_ok() for outcome in outcomes] == [True, True, False]
    assert isinstance(outcomes[2].unwrap_err(), Unavailable)
    loop.advance(1.0)
    assert append(loop, log, "3").unwrap() == 2


def test_list_shows_a_leaving_host_with_its_lag(loop):
    """A worker is leaving, but the list shows it as live for some more seconds."""
    live = HostBody("z1", "w1", HostRole.UPSTREAM)
    settings = HostListSettings(ANY_PORT, lag_ms=5000.0, hosts=(live,))
    service = make_hostlist(settings, loop.root, loop.timer_queue)
    loop.settle()
    hosts = HttpHostList(loop.client(service.address))
    leaving = HostBody("z1", "w1", HostRole.UPSTREAM, leaving=True)
    loop.post(service.address, "/v1/host", leaving)
    assert [host.leaving for host in loop.call_and_wait(hosts.fetch).unwrap()] == [
        False
    ]
    loop.advance(5.0)
    assert [host.leaving for host in loop.call_and_wait(hosts.fetch).unwrap()] == [True]
    loop.post(service.address, "/v1/hosts", HostsBody(()))
    loop.post(service.address, "/faults", HostListFaults(lag_ms=0.0, lose_replies=1))
    assert isinstance(loop.call_and_wait(hosts.fetch).unwrap_err(), OutcomeUnknown)
    assert loop.call_and_wait(hosts.fetch).unwrap() == ()
