"""Collecting the reasons of decisions for the log."""

from jackdawspur.runs._effects import Decision, Effect, Note

__all__ = ["Notes"]


class Notes:
    """Add notes to the effects of a pass."""

    def __init__(self, effects: list[Effect]) -> None:
        self._effects = effects

    def add(
        self, decision: Decision, job: str, upstream: str, **inputs: str | int | float
    ) -> None:
        """Explain one decision."""
        note = Note(decision, job, upstream, tuple(inputs.items()))
        self._effects.append(note)
