"""Recent answers, for hosts that missed them."""

from dataclasses import dataclass

from jackdawspur.runs._effects import AnswerJob
from jackdawspur.runs._types import Offer

__all__ = ["Answers", "offer_key"]

# A host that missed an answer offers its job again well within this time.
ANSWER_TTL_S = 2.0


@dataclass(frozen=True, slots=True)
class _SentAnswer:
    answer: AnswerJob
    at: float


def offer_key(offer: Offer | AnswerJob) -> tuple[str, int, int]:
    """Return the key that distinguishes one offer of a job from another."""
    return (offer.host, offer.call, offer.handovers)


class Answers:
    """Recent answers by job."""

    def __init__(self) -> None:
        self._sent: dict[str, _SentAnswer] = {}

    def clear(self) -> None:
        """Remove all answers."""
        self._sent.clear()

    def add(self, answer: AnswerJob, now: float) -> None:
        """Record an answer."""
        self._sent[answer.job] = _SentAnswer(answer, now)

    def find(self, offer: Offer) -> AnswerJob | None:
        """Return the answer to exactly this offer, None if there was none."""
        sent = self._sent.get(offer.request.id)
        if sent is None or offer_key(sent.answer) != offer_key(offer):
            return None
        return sent.answer

    def forget_old(self, now: float) -> None:
        """Remove old answers, which are stored roughly in order of time."""
        while self._sent:
            job_id, sent = next(iter(self._sent.items()))
            if now - sent.at < ANSWER_TTL_S:
                return
            del self._sent[job_id]
