"""Make a session's texts comparable: names for what real time and chance choose."""

import re

RUN = re.compile(r"\b([a-z]+\.e\d+)\.([0-9a-f]{6,})\b")
PLAN = re.compile(r"\b[0-9a-f]{16}\b")
CHANGE = re.compile(
    r"^(?P<head>(?:version \d+|-) (?P<state>\w+) plan (?P<plan><plan \d+>)\n    )"
    r"(?P<time>\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\+00:00)",
    re.MULTILINE,
)
# How far a change is when its confirm is answered depends on how soon zones report.
REACHED = re.compile(
    r"(?P<head>200 ok: confirmed\nversion \d+) (?:confirmed|in_force|accepted) "
    r"plan (?P<plan><plan \d+>)(?P<rest>[^\n]*\n[^\n]*\n)"
    r"(?:    (?:in force|not yet) in [^\n]*\n)+"
)
PROPOSED = ("planned", "void")


class Names:
    """Give each plan, run and time a name that is the same in every session.

    A name stands for one value only: a plan or a time that changes between two
    commands gets another name, so the comparison shows it.
    """

    def __init__(self) -> None:
        self._plans: dict[str, str] = {}
        self._runs: dict[str, list[str]] = {}
        self._times: dict[str, list[str]] = {}
        self._reached: set[str] = set()

    def normalise(self, text: str) -> str:
        """Return the text with names in the place of values."""
        text = PLAN.sub(lambda m: self._plan(m[0]), text)
        text = RUN.sub(lambda m: f"{m[1]}.<run {self._run(m[1], m[2])}>", text)
        text = CHANGE.sub(self._change, text)
        return REACHED.sub(self._reach, text)

    def _plan(self, plan: str) -> str:
        return self._plans.setdefault(plan, f"<plan {len(self._plans) + 1}>")

    def _run(self, host: str, run: str) -> int:
        return _place(self._runs.setdefault(host, []), run)

    def _reach(self, match: re.Match[str]) -> str:
        if match["plan"] in self._reached:
            return match[0]
        self._reached.add(match["plan"])
        return f"{match['head']} <just confirmed> plan {match['plan']}{match['rest']}"

    def _change(self, match: re.Match[str]) -> str:
        what = "proposed" if match["state"] in PROPOSED else "confirmed"
        of = f"{match['plan']} {what}"
        place = _place(self._times.setdefault(of, []), match["time"])
        return f"{match['head']}<time {place} of {of}>"


def _place(known: list[str], value: str) -> int:
    if value not in known:
        known.append(value)
    return known.index(value) + 1
