"""Each invariant, broken on purpose, is caught."""

import pytest

from jackdawspur.bench import Invariant
from jackdawspur.model import Answer, JobState

FIRST, SECOND = "100.0 0 0", "100.0 0 1"
WHOLE = Answer(JobState.COMPLETE, outputs=(f"done {FIRST}", f"done {SECOND}"))
NOT_RUN = Answer(JobState.REFUSED, not_run=True)


def test_a_sound_run_breaks_nothing(checker, task):
    checker.start_received("z1.u1", None, 0.1)
    checker.task_started(FIRST, task(0), "z1.u1", 0.1)
    checker.task_started(SECOND, task(1), "z1.u2", 0.1)
    checker.call_answered(1, WHOLE, 0.3)
    checker.version_seen("z1.e1", 3, 0.3)
    checker.version_seen("z1.e1", -1, 0.4)
    checker.version_seen("z1.e1", 3, 0.5)
    checker.finish(1.0)
    assert checker.counts == {}


def test_double_start_is_caught(checker, task):
    checker.task_started(FIRST, task(0), "z1.u1", 0.1)
    checker.task_started(FIRST, task(0), "z1.u2", 0.2)
    assert checker.counts == {Invariant.STARTED_TWICE: 1}


def test_double_start_under_another_id_is_caught(checker, task):
    checker.task_started(FIRST, task(0), "z1.u1", 0.1)
    checker.task_started(SECOND, task(1, sequence=2), "z1.u2", 0.2)
    assert checker.counts == {Invariant.RAN_TWICE: 1}


@pytest.mark.parametrize(
    "outputs", [WHOLE.outputs[:1], (WHOLE.outputs[0], ""), (WHOLE.outputs[0],) * 2]
)
def test_partial_answer_is_caught(checker, outputs):
    checker.call_answered(1, Answer(JobState.COMPLETE, outputs=outputs), 0.3)
    assert checker.counts[Invariant.PARTIAL_ANSWER] == 1


@pytest.mark.parametrize(
    "outputs", [("done 9.0 7 0", "done 9.0 7 1"), WHOLE.outputs[::-1]]
)
def test_crossed_answer_is_caught(checker, outputs):
    checker.call_answered(1, Answer(JobState.COMPLETE, outputs=outputs), 0.3)
    assert checker.counts[Invariant.CROSSED_ANSWER] == 1


def test_false_not_run_after_a_start_is_caught(checker, task):
    checker.task_started(FIRST, task(0), "z1.u1", 0.1)
    checker.call_answered(1, NOT_RUN, 0.3)
    assert checker.counts == {Invariant.FALSE_NOT_RUN: 1}


def test_false_not_run_before_a_start_is_caught(checker, task):
    checker.call_answered(1, NOT_RUN, 0.1)
    checker.task_started(FIRST, task(0), "z1.u1", 0.3)
    assert checker.counts == {Invariant.FALSE_NOT_RUN: 1}


def test_two_answers_and_none_are_caught(checker):
    checker.control_call_sent(2)
    checker.call_answered(1, NOT_RUN, 0.1)
    checker.call_answered(1, NOT_RUN, 0.2)
    checker.finish(1.0)
    assert checker.counts == {
        Invariant.ANSWERED_TWICE: 1,
        Invariant.NEVER_ANSWERED: 1,
    }


def test_work_for_a_leaving_upstream_is_caught(checker):
    checker.start_received("z1.u1", 2.9, 2.9)
    checker.start_received("z1.u1", 3.1, 3.1)
    assert checker.counts == {Invariant.SENT_TO_LEAVING: 1}


def test_older_configuration_is_caught_over_a_restart(checker):
    checker.version_seen("z1.e1", 5, 0.1)
    checker.version_seen("z1.e1", -1, 0.2)
    checker.version_seen("z1.e1", 4, 0.3)
    assert checker.counts == {Invariant.CONFIG_WENT_BACK: 1}


def test_call_cut_by_a_shutdown_is_caught(checker):
    checker.call_disconnected(1, 0.2, draining=True)
    assert checker.counts == {Invariant.CUT_BY_SHUTDOWN: 1}
