"""Print every slope: ``make slopes``."""

import os
import sys
import time

from jackdawspur.slopes._configuration import configuration_lines
from jackdawspur.slopes._core import core_slopes
from jackdawspur.slopes._fit import text_of
from jackdawspur.slopes._http import http_slopes
from jackdawspur.slopes._memory import memory_slopes
from jackdawspur.slopes._messages import message_slopes, pace_lines
from jackdawspur.standins import measure_start_costs

__all__ = ["main"]

START_TASKS = 64
START_REQUESTS = 300
GROUPS = (message_slopes, core_slopes, memory_slopes, http_slopes)


def main(arguments: list[str]) -> None:
    """Print one line a slope; an argument is the address of a worker stand-in.

    The line reads: figure at size zero, what one more adds to it with its range over
    the repeats, and the medians at the sizes that were measured.
    """
    begun = time.monotonic()
    load = "/".join(f"{part:.1f}" for part in os.getloadavg())
    _print(f"load averages at the start: {load}")
    for group in GROUPS:
        for slope in group():
            _print(text_of(slope))
    for line in (*pace_lines(), *configuration_lines()):
        _print(line)
    if arguments:
        _print(_start_line(arguments[0]))
    _print(f"took {time.monotonic() - begun:.0f} s")


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def _start_line(address: str) -> str:
    cost = measure_start_costs(address, START_TASKS, START_REQUESTS)
    return (
        f"http: a start request: client {cost.client_request_us:.4g} us + "
        f"{cost.client_task_us:.4g} a task; worker stand-in "
        f"{cost.worker_request_us:.4g} us + {cost.worker_task_us:.4g} a task "
        f"({START_REQUESTS} requests each of 1 and {START_TASKS} tasks)"
    )


if __name__ == "__main__":
    main(sys.argv[1:])
