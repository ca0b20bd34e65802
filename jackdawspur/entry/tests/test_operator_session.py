"""A session of operators on the command line, compared with a golden file."""

import json
import re
import subprocess
import sys

from jackdawspur.entry._trial_settings import OPERATORS, VIEWER
from jackdawspur.entry.tests.helpers import quota_intent
from jackdawspur.entry.tests.session import Placeholders
from jackdawspur.entry.trial import wait_until

ANN, BEN = OPERATORS[:2]


class Terminal:
    """Runs commands against one host and records their output."""

    def __init__(self, host, folder) -> None:
        self._host = host
        self._folder = folder
        self._placeholders = Placeholders()
        self.transcript = ""

    def run(self, token: str, command: str, *rest: str) -> str:
        """Run a command as an operator; return its original output."""
        flags = [f"--host={self._host.address}", f"--token={token}"]
        line = [sys.executable, "-m", "jackdawspur", command, *flags, *rest]
        done = subprocess.run(line, capture_output=True, text=True, timeout=60)
        shown = " ".join((token, "$", "jackdawspur", command, *rest))
        shown = shown.replace(f"{self._folder}/", "")
        text = f"{shown}\n{done.stdout}{done.stderr}exit {done.returncode}\n\n"
        self.transcript += self._placeholders.normalise(text)
        return done.stdout

    def plan(self, token: str, name: str, intent: object) -> str:
        """Plan an intent from a file and return the plan's id."""
        path = self._folder / name
        path.write_text(json.dumps(intent))
        found = re.search(r"^plan (\S+) on", self.run(token, "plan", str(path)), re.M)
        return found[1] if found else ""


def _is_converged(deployment, version: int, through: int) -> bool:
    """Return whether all hosts see all hosts, and all zones at a version."""
    for host in deployment.hosts:
        status = host.status()
        if status["configuration"]["through"] != through:
            return False
        zones = {z["zone"]: z["version"] for z in status["configuration"]["zones"]}
        if len(status["host"]["live_hosts"]) < len(deployment.hosts) - 1:
            return False
        if set(zones.values()) != {version} or len(zones) < 2:
            return False
    return True


def test_session_of_operators(deployment, tmp_path, snapshot):
    """Run plan, confirm, status, a conflict, refusals and the history."""
    host = deployment.hosts[0]
    first = host.version()
    # The first host writes the first snapshot; no other host may write it again.
    wait_until(
        lambda: _is_converged(deployment, first, first + 1), "the first snapshot"
    )
    terminal = Terminal(host, tmp_path)
    terminal.run(VIEWER, "status")
    ann = terminal.plan(ANN, "ann.json", quota_intent(40, "more room for reports"))
    ben = terminal.plan(BEN, "ben.json", quota_intent(12, "less room for reports"))
    terminal.run(VIEWER, "confirm", ann)
    terminal.run(ANN, "confirm", ann)
    version = host.version()
    assert version > first
    wait_until(
        lambda: _is_converged(deployment, version, version), "the change in every zone"
    )
    terminal.run(ANN, "confirm", ann)
    terminal.run(BEN, "confirm", ben)
    terminal.run("nobody", "history")
    wrong = {"reason": "", "changes": [{"op": "remove", "section": "zones"}]}
    terminal.plan(BEN, "wrong.json", wrong)
    removal = [
        {"op": "remove", "section": "operators", "name": name} for name in OPERATORS[2:]
    ]
    terminal.plan(BEN, "gone.json", {"reason": "fewer", "changes": removal})
    terminal.run(VIEWER, "history")
    terminal.run(VIEWER, "status")
    assert terminal.transcript == snapshot
