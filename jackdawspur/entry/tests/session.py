"""Replaces values that differ between sessions, such as times, by placeholders."""

import re

INCARNATION = re.compile(r"\b([a-z]+\.e\d+)\.([0-9a-f]{6,})\b")
PLAN = re.compile(r"\b[0-9a-f]{16}\b")
CHANGE = re.compile(
    r"^(?P<head>(?:version \d+|-) (?P<state>\w+) plan (?P<plan><plan \d+>)\n    )"
    r"(?P<time>\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\+00:00)",
    re.MULTILINE,
)
# The state of a change in the reply to its confirm depends on when zones report.
CONFIRM_REPLY = re.compile(
    r"(?P<head>200 ok: confirmed\nversion \d+) (?:confirmed|in_force|accepted) "
    r"plan (?P<plan><plan \d+>)(?P<rest>[^\n]*\n[^\n]*\n)"
    r"(?:    (?:in force|not yet) in [^\n]*\n)+"
)
PROPOSED = ("planned", "void")


class Placeholders:
    """Placeholders for plans, incarnations and times, the same in every session.

    Each placeholder represents one value: a plan or a time that changes between two
    commands gets another placeholder, so a comparison shows the change.
    """

    def __init__(self) -> None:
        self._plans: dict[str, str] = {}
        self._incarnations: dict[str, list[str]] = {}
        self._times: dict[str, list[str]] = {}
        self._seen_confirms: set[str] = set()

    def normalise(self, text: str) -> str:
        """Return the text with placeholders instead of values."""
        text = PLAN.sub(lambda m: self._plan_placeholder(m[0]), text)
        text = INCARNATION.sub(
            lambda m: f"{m[1]}.<run {self._incarnation_number(m[1], m[2])}>", text
        )
        text = CHANGE.sub(self._replace_change, text)
        return CONFIRM_REPLY.sub(self._replace_confirm_reply, text)

    def _plan_placeholder(self, plan: str) -> str:
        return self._plans.setdefault(plan, f"<plan {len(self._plans) + 1}>")

    def _incarnation_number(self, host: str, incarnation: str) -> int:
        return _index(self._incarnations.setdefault(host, []), incarnation)

    def _replace_confirm_reply(self, match: re.Match[str]) -> str:
        if match["plan"] in self._seen_confirms:
            return match[0]
        self._seen_confirms.add(match["plan"])
        return f"{match['head']} <just confirmed> plan {match['plan']}{match['rest']}"

    def _replace_change(self, match: re.Match[str]) -> str:
        kind = "proposed" if match["state"] in PROPOSED else "confirmed"
        subject = f"{match['plan']} {kind}"
        index = _index(self._times.setdefault(subject, []), match["time"])
        return f"{match['head']}<time {index} of {subject}>"


def _index(known: list[str], value: str) -> int:
    if value not in known:
        known.append(value)
    return known.index(value) + 1
