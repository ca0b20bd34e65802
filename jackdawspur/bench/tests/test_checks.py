"""Tests that the checker detects a deliberate violation of each invariant."""

import pytest

from jackdawspur.bench import Invariant
from jackdawspur.model import Answer, JobState

FIRST, SECOND = "100.0 0 0", "100.0 0 1"
COMPLETE_ANSWER = Answer(JobState.COMPLETE, outputs=(f"done {FIRST}", f"done {SECOND}"))
NOT_RUN = Answer(JobState.REFUSED, not_run=True)


def test_a_correct_run_violates_no_invariant(checker, task):
    checker.start_received("z1.u1", None, 0.1)
    checker.task_started(FIRST, task(0), "z1.u1", 0.1)
    checker.task_started(SECOND, task(1), "z1.u2", 0.1)
    checker.call_answered(1, COMPLETE_ANSWER, 0.3)
    checker.version_seen("z1.e1", 3, 0.3)
    checker.version_seen("z1.e1", -1, 0.4)
    checker.version_seen("z1.e1", 3, 0.5)
    checker.finish(1.0)
    assert checker.counts == {}


def test_double_start_is_detected(checker, task):
    checker.task_started(FIRST, task(0), "z1.u1", 0.1)
    checker.task_started(FIRST, task(0), "z1.u2", 0.2)
    assert checker.counts == {Invariant.STARTED_TWICE: 1}


def test_start_under_two_submission_ids_is_detected(checker, task):
    checker.task_started(FIRST, task(0), "z1.u1", 0.1)
    checker.task_started(SECOND, task(1, sequence=2), "z1.u2", 0.2)
    assert checker.counts == {Invariant.RAN_TWICE: 1}


@pytest.mark.parametrize(
    "outputs",
    [
        COMPLETE_ANSWER.outputs[:1],
        (COMPLETE_ANSWER.outputs[0], ""),
        (COMPLETE_ANSWER.outputs[0],) * 2,
    ],
)
def test_partial_answer_is_detected(checker, outputs):
    checker.call_answered(1, Answer(JobState.COMPLETE, outputs=outputs), 0.3)
    assert checker.counts[Invariant.PARTIAL_ANSWER] == 1


@pytest.mark.parametrize(
    "outputs", [("done 9.0 7 0", "done 9.0 7 1"), COMPLETE_ANSWER.outputs[::-1]]
)
def test_answer_with_outputs_of_another_request_or_order_is_detected(checker, outputs):
    checker.call_answered(1, Answer(JobState.COMPLETE, outputs=outputs), 0.3)
    assert checker.counts[Invariant.CROSSED_ANSWER] == 1


def test_not_run_answer_after_a_start_is_detected(checker, task):
    checker.task_started(FIRST, task(0), "z1.u1", 0.1)
    checker.call_answered(1, NOT_RUN, 0.3)
    assert checker.counts == {Invariant.FALSE_NOT_RUN: 1}


def test_start_after_a_not_run_answer_is_detected(checker, task):
    checker.call_answered(1, NOT_RUN, 0.1)
    checker.task_started(FIRST, task(0), "z1.u1", 0.3)
    assert checker.counts == {Invariant.FALSE_NOT_RUN: 1}


def test_second_answer_and_missing_answer_are_detected(checker):
    checker.control_call_sent(2)
    checker.call_answered(1, NOT_RUN, 0.1)
    checker.call_answered(1, NOT_RUN, 0.2)
    checker.finish(1.0)
    assert checker.counts == {
        Invariant.ANSWERED_TWICE: 1,
        Invariant.NEVER_ANSWERED: 1,
    }


def test_start_on_a_leaving_upstream_is_detected(checker):
    checker.start_received("z1.u1", 2.9, 2.9)
    checker.start_received("z1.u1", 3.1, 3.1)
    assert checker.counts == {Invariant.SENT_TO_LEAVING: 1}


def test_older_configuration_after_a_restart_is_detected(checker):
    checker.version_seen("z1.e1", 5, 0.1)
    checker.version_seen("z1.e1", -1, 0.2)
    checker.version_seen("z1.e1", 4, 0.3)
    assert checker.counts == {Invariant.CONFIG_WENT_BACK: 1}


def test_call_disconnected_by_a_shutdown_is_detected(checker):
    checker.call_disconnected(1, 0.2, draining=True)
    assert checker.counts == {Invariant.CUT_BY_SHUTDOWN: 1}
