"""Print all slopes; run by ``make slopes``."""

import os
import sys
import time

from jackdawspur.slopes._configuration import configuration_lines
from jackdawspur.slopes._core import core_slopes
from jackdawspur.slopes._fit import format_slope
from jackdawspur.slopes._http import http_slopes
from jackdawspur.slopes._memory import memory_slopes
from jackdawspur.slopes._messages import heartbeat_lines, message_slopes
from jackdawspur.standins import measure_start_costs

__all__ = ["main"]

START_TASKS = 64
START_REQUESTS = 300
SLOPE_GROUPS = (message_slopes, core_slopes, memory_slopes, http_slopes)


def main(arguments: list[str]) -> None:
    """Print one line per slope; an argument is the address of a worker stand-in.

    A line holds the value at size zero, the increase per unit of size with its range
    over the repeats, and the medians at the measured sizes.
    """
    started = time.monotonic()
    load_averages = "/".join(f"{average:.1f}" for average in os.getloadavg())
    _print(f"load averages at the start: {load_averages}")
    for group in SLOPE_GROUPS:
        for slope in group():
            _print(format_slope(slope))
    for line in (*heartbeat_lines(), *configuration_lines()):
        _print(line)
    if arguments:
        _print(_format_start_costs(arguments[0]))
    _print(f"took {time.monotonic() - started:.0f} s")


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def _format_start_costs(address: str) -> str:
    cost = measure_start_costs(address, START_TASKS, START_REQUESTS)
    return (
        f"http: start request: client {cost.client_request_us:.4g} us + "
        f"{cost.client_task_us:.4g} per task; worker stand-in "
        f"{cost.worker_request_us:.4g} us + {cost.worker_task_us:.4g} per task "
        f"({START_REQUESTS} requests each of 1 and {START_TASKS} tasks)"
    )


if __name__ == "__main__":
    main(sys.argv[1:])
