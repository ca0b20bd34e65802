"""The soak's checks find what must not be; each is broken on purpose."""

import pytest

from jackdawspur.soak._checks import Sent, check
from jackdawspur.soak._deployment import Answer
from jackdawspur.standins import PlatformReport

CLEAN = PlatformReport()
DONE = PlatformReport(started=["aa.0.0.0"], done=["aa.0.0.0"])
STARTED = PlatformReport(started=["aa.0.0.0"])
COMPLETE = Answer(200, {"state": "completed"})
FAILED = Answer(200, {"state": "failed"})
REFUSED = Answer(503, {}, "1")
BROKEN = Answer(0, {})


def sent(answer: Answer, fails: bool = False, killed: bool = False) -> list[Sent]:
    return [Sent("aa", 1, fails, answer, killed)]


@pytest.mark.parametrize(
    ("jobs", "report"),
    [
        (sent(COMPLETE), DONE),
        (sent(FAILED, fails=True), STARTED),
        (sent(REFUSED), CLEAN),
        (sent(Answer(504, {})), STARTED),
        (sent(BROKEN, killed=True), STARTED),
        (sent(Answer(0, {}, nobody_there=True)), CLEAN),
        ([Sent("aa", 1, False, BROKEN, False, unread=True)], CLEAN),
    ],
)
def test_what_may_happen_is_not_wrong(jobs: list[Sent], report: PlatformReport):
    assert not check(jobs, report).wrong


@pytest.mark.parametrize(
    ("jobs", "report", "said"),
    [
        ([], PlatformReport(two_at_once=1), "two_at_once: 1"),
        ([], PlatformReport(over_capacity=2), "over_capacity: 2"),
        (sent(COMPLETE), STARTED, "not all tasks are done"),
        (sent(FAILED), STARTED, "none of its tasks did"),
        (sent(REFUSED), STARTED, "but it started"),
        (sent(Answer(503, {})), CLEAN, "without Retry-After"),
        (sent(BROKEN), STARTED, "status 0"),
        (sent(Answer(404, {})), CLEAN, "status 404"),
    ],
)
def test_what_must_not_be_is_found(jobs: list[Sent], report: PlatformReport, said: str):
    assert said in "; ".join(check(jobs, report).wrong)
