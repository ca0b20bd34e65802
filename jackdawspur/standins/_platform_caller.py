"""Requests of callers of the customers' platform."""

import json

__all__ = ["PLATFORM_HEADERS", "PLATFORM_ROUTE", "platform_job_body"]

# Route of the jobs below, as in the platform's configuration.
PLATFORM_ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "path_prefix": "/q/",
    "service": "roster",
    "timeout_ms": 1500,
    "slo_ms": 60,
    "stretch": 1.6,
    "max_attempts": 3,
}
# Callers wait longer than the timeout of the route, and send their own deadline.
PLATFORM_HEADERS = {"Host": PLATFORM_ROUTE["host"], "X-Deadline-Ms": "5000"}
# In thousandths of a core; two tasks fit into a worker of 32 cores.
TASK_CPU = 14_000
TASK_MEMORY_MB = 64


def platform_job_body(run_ms: float, tasks: int, fails: bool) -> dict:
    """Return the body of a one-step job for the workers of this stand-in."""
    step = {
        "count": tasks,
        "cpu": TASK_CPU,
        "mem_mb": TASK_MEMORY_MB,
        "estimate_ms": run_ms,
    }
    return {
        "spec": json.dumps({"run_ms": run_ms, "fails": fails}),
        "best_effort": True,
        "steps": [step],
    }
