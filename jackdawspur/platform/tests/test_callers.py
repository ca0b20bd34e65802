"""Tests that callers' requests are decoded, or refused with the field's name."""

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
def codec() -> PlatformCallerCodec:
    return PlatformCallerCodec()


@pytest.fixture
def routes(codec: PlatformCallerCodec) -> RouteTable:
    return codec.decode_configuration(json.dumps(CONFIGURATION).encode())


def call(method: str, path: str, body: object = None, host="a.example", **headers):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    all_headers = Headers([("Host", host), *headers.items()])
    return Call(1, method, path, "", all_headers, data, 0.0)


def test_job_is_decoded_with_its_route_and_timeout(codec, routes):
    request = codec.decode_call(
        call("POST", f"/p/{ID}", JOB, **{"X-Deadline-Ms": "700"}), routes
    )
    assert request.kind is RequestKind.SUBMIT
    assert request.caller_timeout_s == 0.7
    assert request.request.steps[0].resources.cpu_millis == 500
    assert request.request.route.margin_ms == 60


# Guards against a request that is never answered because its header is not a number.
@pytest.mark.parametrize("header", ["", "soon", "-5", "1.5", "\u00b2", "9" * 5000])
def test_invalid_timeout_header_is_ignored(codec, routes, header):
    headers = {"X-Deadline-Ms": header}
    request = codec.decode_call(call("POST", f"/p/{ID}", JOB, **headers), routes)
    assert request.caller_timeout_s is None


def test_the_longest_prefix_wins(codec, routes):
    request = codec.decode_call(call("GET", "/p/deep/"), routes)
    assert request.route.name == "r-2"


@pytest.mark.parametrize(
    ("body", "expected_text"),
    [
        (b"no json", "JSON"),
        ([], "object"),
        ({"best_effort": True}, "steps"),
        ({**JOB, "steps": []}, "steps"),
        ({**JOB, "steps": [{"count": "x"}]}, "count"),
        ({**JOB, "steps": [{"count": 0}]}, "count"),
        ({**JOB, "steps": [{"count": 1, "cpu": -1}]}, "negative"),
        ({**JOB, "steps": [{"count": 1, "cpu": 1 << 64}]}, "at most"),
        ({**JOB, "steps": [{"count": 1, "max_per_server": 1 << 64}]}, "at most"),
        ({**JOB, "steps": [{"count": 1, "after": [0]}]}, "after"),
        ({**JOB, "spec": "x" * 4001}, "spec"),
        ({**JOB, "steps": [{"count": 20_000}]}, "tasks"),
    ],
)
def test_invalid_job_is_refused_with_the_name_of_the_field(
    codec, routes, body, expected_text
):
    reply = codec.decode_call(call("POST", f"/p/{ID}", body), routes)
    assert isinstance(reply, HttpResponse)
    assert reply.status == 400
    assert expected_text in json.loads(reply.body)["error"]


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
def test_unknown_paths_and_methods_are_refused(
    codec, routes, method, path, host, status
):
    reply = codec.decode_call(call(method, path, JOB, host), routes)
    assert reply.status == status


def test_unsupported_kind_of_job_is_refused_as_not_run(codec, routes):
    for change in ({"best_effort": False}, {"repeat_count": 2}):
        reply = codec.decode_call(call("POST", f"/p/{ID}", {**JOB, **change}), routes)
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
def test_status_code_of_each_end(codec, outcome, status):
    reply = codec.encode_outcome(outcome)
    assert reply.status == status
    assert reply.retry_after_s == (2 if outcome.retry_after_s else 0)


@pytest.mark.parametrize("field", ["priority", "max_attempts"])
def test_a_configuration_with_a_number_too_large_raises_an_error(codec, field):
    # Guards against jobs that can't be offered to another host.
    route = {**CONFIGURATION["routes"][0], field: 1 << 64}
    for changes in ({"routes": [route]}, {"version": 1 << 64}):
        text = json.dumps(CONFIGURATION | changes).encode()
        with pytest.raises(ConfigurationDecodeError):
            codec.decode_configuration(text)


@pytest.mark.parametrize("text", [b"", b"[]", b'{"version":"x"}', b'{"routes":[]}'])
def test_malformed_configuration_raises_an_error(codec, text):
    with pytest.raises(ConfigurationDecodeError):
        codec.decode_configuration(text)


def test_the_limits_of_requests_are_read(codec, routes):
    assert (routes.max_body_bytes, routes.max_head_bytes) == (1000, 65_536)
    limits = {"max_body_bytes": 2000, "max_header_bytes": 300}
    document = json.dumps({**CONFIGURATION, "limits": limits}).encode()
    changed = codec.decode_configuration(document)
    assert (changed.max_body_bytes, changed.max_head_bytes) == (2000, 300)


def test_a_job_that_is_too_large_beside_others_is_refused_as_not_run(codec, routes):
    """Guards against bodies that take far more memory once they are decoded."""
    job = {**JOB, "steps": [{"count": 40}] * 3}
    request = call("POST", f"/p/{ID}", job)
    reply = codec.decode_call(request, routes, 122)
    assert (reply.status, reply.retry_after_s) == (503, 2)
    assert json.loads(reply.body)["not_run"]
    assert codec.decode_call(request, routes, 123).kind is RequestKind.SUBMIT
