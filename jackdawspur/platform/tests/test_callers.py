"""Clients' requests are understood or refused with the field's name."""

import json

import pytest
from circuits.web.headers import Headers

from jackdawspur.adapters import Call
from jackdawspur.callers import HttpResponse
from jackdawspur.front import ConfigurationDecodeError, RequestKind, RouteTable
from jackdawspur.platform import PlatformCallerCodec
from jackdawspur.runs import JobEnd, JobOutcome

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path_prefix": "/p/",
            "timeout_ms": 1500,
            "slo_ms": 60,
            "priority": 0,
            "service": "s",
            "max_attempts": 4,
            "stretch": 1.6,
        },
        {
            "name": "r-2",
            "host": "a.example",
            "path_prefix": "/p/deep/",
            "service": "s",
        },
    ],
    "limits": {"max_body_bytes": 1000},
}
JOB = {
    "spec": "text",
    "best_effort": True,
    "steps": [{"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900}],
}
ID = "5c0e7a21d94b36f8"


@pytest.fixture
def callers() -> PlatformCallerCodec:
    return PlatformCallerCodec()


@pytest.fixture
def routes(callers: PlatformCallerCodec) -> RouteTable:
    return callers.decode_configuration(json.dumps(CONFIGURATION).encode())


def call(method: str, path: str, body: object = None, host="a.example", **headers):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    every = Headers([("Host", host), *headers.items()])
    return Call(1, method, path, "", every, data)


def test_a_job_is_read_with_its_route_and_patience(callers, routes):
    asked = callers.decode_call(
        call("POST", f"/p/{ID}", JOB, **{"X-Deadline-Ms": "700"}), routes
    )
    assert asked.kind is RequestKind.SUBMIT
    assert asked.caller_timeout_s == 0.7
    assert asked.request.steps[0].resources.cpu_millis == 500
    assert asked.request.route.margin_ms == 60


# Guards against a request without any reply, for a header that is no number.
@pytest.mark.parametrize("stated", ["", "soon", "-5", "1.5", "\u00b2", "9" * 5000])
def test_an_unreadable_wait_counts_as_none_stated(callers, routes, stated):
    headers = {"X-Deadline-Ms": stated}
    asked = callers.decode_call(call("POST", f"/p/{ID}", JOB, **headers), routes)
    assert asked.caller_timeout_s is None


def test_the_longest_prefix_wins(callers, routes):
    asked = callers.decode_call(call("GET", "/p/deep/"), routes)
    assert asked.route.name == "r-2"


@pytest.mark.parametrize(
    ("body", "named"),
    [
        (b"no json", "JSON"),
        ([], "object"),
        ({"best_effort": True}, "steps"),
        ({**JOB, "steps": []}, "steps"),
        ({**JOB, "steps": [{"count": "x"}]}, "count"),
        ({**JOB, "steps": [{"count": 0}]}, "count"),
        ({**JOB, "steps": [{"count": 1, "cpu": -1}]}, "negative"),
        ({**JOB, "steps": [{"count": 1, "after": [0]}]}, "after"),
        ({**JOB, "spec": "x" * 4001}, "spec"),
        ({**JOB, "steps": [{"count": 20_000}]}, "tasks"),
    ],
)
def test_a_body_that_is_no_job_is_refused_by_name(callers, routes, body, named):
    reply = callers.decode_call(call("POST", f"/p/{ID}", body), routes)
    assert isinstance(reply, HttpResponse)
    assert reply.status == 400
    assert named in json.loads(reply.body)["error"]


@pytest.mark.parametrize(
    ("method", "path", "host", "status"),
    [
        ("POST", f"/none/{ID}", "a.example", 404),
        ("GET", "/p/", "b.example", 404),
        ("POST", "/p/short", "a.example", 400),
        ("PUT", f"/p/{ID}", "a.example", 405),
        ("POST", "/p/", "a.example", 405),
    ],
)
def test_what_does_not_exist_is_refused(callers, routes, method, path, host, status):
    reply = callers.decode_call(call(method, path, JOB, host), routes)
    assert reply.status == status


def test_a_kind_of_job_not_served_is_refused_as_not_run(callers, routes):
    for change in ({"best_effort": False}, {"repeat_count": 2}):
        reply = callers.decode_call(call("POST", f"/p/{ID}", {**JOB, **change}), routes)
        assert reply.status == 503
        assert json.loads(reply.body)["not_run"] is True


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (JobOutcome(JobEnd.COMPLETE, False), 200),
        (JobOutcome(JobEnd.FAILED, False), 200),
        (JobOutcome(JobEnd.REFUSED, True, 1.2, "full"), 429),
        (JobOutcome(JobEnd.OUT_OF_TIME, False), 504),
        (JobOutcome(JobEnd.OUT_OF_TIME, True), 503),
        (JobOutcome(JobEnd.LOST, False), 502),
    ],
)
def test_each_end_has_its_status(callers, outcome, status):
    reply = callers.encode_outcome(outcome)
    assert reply.status == status
    assert reply.retry_after_s == (2 if outcome.retry_after_s else 0)


@pytest.mark.parametrize("text", [b"", b"[]", b'{"version":"x"}', b'{"routes":[]}'])
def test_an_unreadable_configuration_is_an_error(callers, text):
    with pytest.raises(ConfigurationDecodeError):
        callers.decode_configuration(text)
