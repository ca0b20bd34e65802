"""Log lines of an entry host for operators on call."""

import logging

from jackdawspur.model import Answer, HostId

__all__ = ["log_answer", "log_drained", "log_draining", "log_started"]

log = logging.getLogger("jackdawspur.entry")


def log_started(host: HostId) -> None:
    """Log the start of a host, with its incarnation."""
    log.info("entry host started", extra={"host": str(host)})


def log_answer(answer: Answer) -> None:
    """Log an answer that carries no result, with its failure code and reason."""
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
    """Log that the host starts to drain, and how many jobs are left."""
    log.info("draining", extra={"live_jobs": live_jobs})


def log_drained() -> None:
    """Log that all callers were answered."""
    log.info("drained")
