"""Tests that log output has a bounded rate and never blocks the process."""

import json
import logging
import os

import pytest

from jackdawspur.cli._bounded_output import MAX_LINES_PER_SECOND, BoundedOutput
from jackdawspur.cli._logs import json_formatter


class Clock:
    """Clock that returns the time set by a test."""

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
    test_logger = logging.Logger("test")
    test_logger.addHandler(output)
    return test_logger


def read(reader: int) -> bytes:
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return data


def test_lines_beyond_the_rate_are_counted_in_the_next_line(pipe, clock, logger):
    for number in range(MAX_LINES_PER_SECOND + 30):
        logger.info("line", extra={"number": number})
    assert len(read(pipe[0]).splitlines()) == MAX_LINES_PER_SECOND
    clock.now += 1.0
    logger.info("after")
    assert json.loads(read(pipe[0]))["left_out"] == 30


def test_lines_are_dropped_without_blocking_when_the_reader_stops(pipe, logger):
    # Guards against a host on which all requests hang: the reader of its log stopped,
    # and its only thread blocked in a write. A blocking write would hang this test.
    for _ in range(100):
        logger.error("x" * 4000)
    assert 0 < read(pipe[0]).count(b"\n") < 100


def test_a_line_truncated_by_a_full_pipe_is_completed_first(pipe, logger):
    for _ in range(40):
        logger.error("y" * 3001)
    before = read(pipe[0])
    logger.error("after")
    lines = (before + read(pipe[0])).decode().splitlines()
    assert json.loads(lines[-1])["message"] == "after"
    assert json.loads(lines[-1])["left_out"] > 0
    assert all(json.loads(line) for line in lines)
