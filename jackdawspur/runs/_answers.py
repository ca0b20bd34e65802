"""Answers given lately, for hosts that missed them."""

from dataclasses import dataclass

from jackdawspur.runs._effects import AnswerJob
from jackdawspur.runs._types import Offer

__all__ = ["Answers", "offer_key"]

# A host that missed an answer offers its job again well within this time.
KEPT_S = 2.0


@dataclass(frozen=True, slots=True)
class _Given:
    answer: AnswerJob
    at: float


def offer_key(offer: Offer | AnswerJob) -> tuple[str, int, int]:
    """Return what tells one offer of a job from another."""
    return (offer.host, offer.call, offer.handovers)


class Answers:
    """Keep the answers of the last seconds by job."""

    def __init__(self) -> None:
        self._given: dict[str, _Given] = {}

    def clear(self) -> None:
        """Forget all answers."""
        self._given.clear()

    def add(self, answer: AnswerJob, now: float) -> None:
        """Keep an answer."""
        self._given[answer.job] = _Given(answer, now)

    def find(self, offer: Offer) -> AnswerJob | None:
        """Return the answer that this very offer has had."""
        given = self._given.get(offer.request.id)
        if given is None or offer_key(given.answer) != offer_key(offer):
            return None
        return given.answer

    def forget_old(self, now: float) -> None:
        """Drop old answers, which are kept about in the order of their times."""
        while self._given:
            job_id, given = next(iter(self._given.items()))
            if now - given.at < KEPT_S:
                return
            del self._given[job_id]
