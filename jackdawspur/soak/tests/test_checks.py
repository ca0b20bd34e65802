"""Each check of the soak reports a deliberate violation of its invariant."""

import pytest

from jackdawspur.soak._checks import SentJob, check
from jackdawspur.soak._deployment import Answer
from jackdawspur.standins import PlatformReport

NOTHING_STARTED = PlatformReport()
DONE = PlatformReport(started=["aa.0.0.0"], done=["aa.0.0.0"])
STARTED = PlatformReport(started=["aa.0.0.0"])
COMPLETE = Answer(200, {"state": "completed"})
FAILED = Answer(200, {"state": "failed"})
REFUSED = Answer(503, {}, "1")
BROKEN = Answer(0, {})


def sent_jobs(
    answer: Answer, fails: bool = False, killed: bool = False
) -> list[SentJob]:
    return [SentJob("aa", 1, fails, answer, killed)]


@pytest.mark.parametrize(
    ("jobs", "report"),
    [
        (sent_jobs(COMPLETE), DONE),
        (sent_jobs(FAILED, fails=True), STARTED),
        (sent_jobs(REFUSED), NOTHING_STARTED),
        (sent_jobs(Answer(504, {})), STARTED),
        (sent_jobs(BROKEN, killed=True), STARTED),
        (sent_jobs(Answer(0, {}, nobody_there=True)), NOTHING_STARTED),
        ([SentJob("aa", 1, False, BROKEN, False, not_logged=True)], NOTHING_STARTED),
    ],
)
def test_allowed_outcomes_are_not_reported(jobs: list[SentJob], report: PlatformReport):
    assert not check(jobs, report).wrong


@pytest.mark.parametrize(
    ("jobs", "report", "expected"),
    [
        ([], PlatformReport(two_at_once=1), "two_at_once: 1"),
        ([], PlatformReport(over_capacity=2), "over_capacity: 2"),
        (sent_jobs(COMPLETE), STARTED, "not all tasks are done"),
        (sent_jobs(FAILED), STARTED, "none of its tasks did"),
        (sent_jobs(REFUSED), STARTED, "but it started"),
        (sent_jobs(Answer(503, {})), NOTHING_STARTED, "without Retry-After"),
        (sent_jobs(BROKEN), STARTED, "status 0"),
        (sent_jobs(Answer(404, {})), NOTHING_STARTED, "status 404"),
    ],
)
def test_violations_are_reported(
    jobs: list[SentJob], report: PlatformReport, expected: str
):
    assert expected in "; ".join(check(jobs, report).wrong)
