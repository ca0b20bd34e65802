"""What an entry host writes to its log for the people on call."""

import logging

from jackdawspur.model import Answer, HostId

__all__ = ["log_answer", "log_drained", "log_draining", "log_started"]

log = logging.getLogger("jackdawspur.entry")


def log_started(host: HostId) -> None:
    """Note a start, and which run it is."""
    log.info("entry host started", extra={"host": str(host)})


def log_answer(answer: Answer) -> None:
    """Note an answer that is no result, and why."""
    if answer.code is None:
        return
    log.info(
        "job not completed",
        extra={
            "submission": str(answer.submission) if answer.submission else None,
            "state": str(answer.state),
            "code": str(answer.code),
            "not_run": answer.not_run,
            "reason": answer.message,
        },
    )


def log_draining(live_jobs: int) -> None:
    """Note that the host was told to stop, and how many jobs it still has."""
    log.info("draining", extra={"live_jobs": live_jobs})


def log_drained() -> None:
    """Note that every caller has its answer."""
    log.info("drained")
