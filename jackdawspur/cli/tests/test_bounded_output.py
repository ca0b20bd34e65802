"""Log lines are bounded and never stop the process."""

import json
import logging
import os

import pytest

from jackdawspur.cli._bounded_output import LINES_A_SECOND, BoundedOutput
from jackdawspur.cli._logs import json_formatter


class Clock:
    """Show the time that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def logger(pipe, clock) -> logging.Logger:
    output = BoundedOutput(pipe[1], clock)
    output.setFormatter(json_formatter("h1"))
    one = logging.Logger("test")
    one.addHandler(output)
    return one


def read(reader: int) -> bytes:
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return data


def test_lines_beyond_the_rate_are_counted_in_the_next_one(pipe, clock, logger):
    for number in range(LINES_A_SECOND + 30):
        logger.info("line", extra={"number": number})
    assert len(read(pipe[0]).splitlines()) == LINES_A_SECOND
    clock.now += 1.0
    logger.info("after")
    assert json.loads(read(pipe[0]))["left_out"] == 30


def test_a_reader_that_stops_costs_lines_and_never_waits(pipe, logger):
    # All requests of a host hang: whatever read its log had stopped, and the one thread
    # that there is waited in a write. (A write that waits would hang this test.)
    for _ in range(100):
        logger.error("x" * 4000)
    assert 0 < read(pipe[0]).count(b"\n") < 100


def test_a_line_cut_by_a_full_pipe_is_completed_first(pipe, logger):
    for _ in range(40):
        logger.error("y" * 3001)
    before = read(pipe[0])
    logger.error("after")
    lines = (before + read(pipe[0])).decode().splitlines()
    assert json.loads(lines[-1])["message"] == "after"
    assert json.loads(lines[-1])["left_out"] > 0
    assert all(json.loads(line) for line in lines)
