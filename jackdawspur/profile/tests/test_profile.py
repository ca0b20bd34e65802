"""Tests of profiles of requests from the logs of hosts."""

import json
from pathlib import Path

import pytest

from jackdawspur.cli import main
from jackdawspur.profile import LogError, build_profile, format_profile, read_logs

TIME = "2026-12-04 20:00:0{second},000"


def log_line(message: str, second: int = 0, **fields: object) -> str:
    """Return a log line of the host h1."""
    time = TIME.format(second=second)
    return json.dumps({"time": time, "host_name": "h1", "message": message, **fields})


def ended(job: str, second: int, end: str = "complete", **fields: object) -> str:
    """Return the log line of an answer; the job waited for 3 ms for its first start."""
    defaults = {
        "route": "check",
        "priority": 1,
        "took_ms": 100.0,
        "leader": "h2",
        "reached_ms": 2,
        "first_start_ms": 5,
        "last_start_ms": 9,
        "ended_ms": 98,
    }
    return log_line("job ended", second, job=job, end=end, **(defaults | fields))


def refused(job: str, left_ms: int, needs_ms: int) -> str:
    """Return the log line of a leader's refusal."""
    inputs = {"cause": "refused_by_cost", "left_ms": left_ms, "needs_ms": needs_ms}
    return log_line("job refused", job=job, inputs=inputs)


@pytest.fixture
def log_path(tmp_path: Path) -> Path:
    """Return the path of a log with two served requests and two refused ones."""
    lines = [
        log_line("host started", host="h1", zone="z1"),
        ended("aa", 0),
        ended("bb", 3, took_ms=300.0, ended_ms=296),
        log_line("job passed on to another group", job="bb"),
        refused("cc", left_ms=900, needs_ms=100),
        ended("cc", 3, end="refused", took_ms=20.0, first_start_ms=None),
        refused("dd", left_ms=200, needs_ms=100),
        ended("dd", 3, end="refused", took_ms=10.0, first_start_ms=None),
    ]
    path = tmp_path / "h1.log"
    path.write_text("\n".join(lines) + "\n")
    return path


def test_requests_are_grouped_and_their_stages_measured(log_path: Path):
    profile = build_profile(read_logs([log_path]), span_s=2.0)
    took = {row.stage: row.took.p50 for row in profile.stages}
    assert took["until the first start"] == 3.0
    assert took["until the last start"] == 4.0
    assert took["until the answer"] == 2.0
    (zone,) = profile.groups["zone"]
    assert (zone.value, zone.requests, zone.unserved) == ("z1", 4, 2)
    assert zone.redirected == 1
    assert [row.requests for row in profile.groups["seconds"]] == [1, 3]


def test_unserved_requests_are_counted_by_the_decision_that_cost_them(log_path: Path):
    # Guards against refusals of callers who could have waited going unnoticed.
    (loss,) = build_profile(read_logs([log_path]), span_s=2.0).losses
    assert (loss.cause, loss.requests, loss.ample) == ("refused_by_cost", 2, 1)
    assert loss.waited.p99 == 20.0


def test_a_log_that_is_cut_off_anywhere_is_read(log_path: Path):
    # Guards against losing a whole log for the line that a killed host did not finish.
    text = log_path.read_text()
    for length in range(len(text.splitlines()[0]) + 1, len(text), 7):
        log_path.write_text(text[:length])
        records = read_logs([log_path])
        assert records.damaged_lines <= 1
        assert format_profile(build_profile(records, span_s=2.0))


def test_prefixes_of_collectors_and_dropped_lines_are_read(log_path: Path):
    log_path.write_text("  0.5 h1 " + ended("aa", 0, left_out=7))
    records = read_logs([log_path])
    assert len(records.requests) == 1
    assert records.dropped_lines == 7


def test_all_files_that_are_no_logs_are_named(log_path: Path, tmp_path: Path, capsys):
    text_path, missing_path = tmp_path / "notes.txt", tmp_path / "missing.log"
    text_path.write_text("no log\n")
    with pytest.raises(LogError) as error:
        read_logs([text_path, log_path, missing_path])
    assert str(text_path) in str(error.value)
    assert str(missing_path) in str(error.value)
    assert main(["jackdawspur", "profile", str(missing_path)]) == 2
    assert str(missing_path) in capsys.readouterr().err


@pytest.mark.parametrize("output", ["text", "json"])
def test_the_command_prints_a_profile_and_draws_it(
    output: str, log_path: Path, tmp_path: Path, capsys
):
    picture = tmp_path / "profile.svg"
    flags = [f"--format={output}", f"--picture={picture}"]
    assert main(["jackdawspur", "profile", *flags, str(log_path)]) == 0
    assert "refused_by_cost" in capsys.readouterr().out
    assert picture.read_text().count("</svg>") == 1
