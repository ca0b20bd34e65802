"""Tests that docs/faults.md names an existing test for each fault and enough pairs."""

import ast
import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2]
PAGE = (PACKAGE.parent / "docs" / "faults.md").read_text()
SINGLE, PAIRS, ON_PLATFORM = PAGE.split("\n## ")[1:]
NAMED_TEST = re.compile(r"`([\w/]+\.py)::(\w+)`")
MIN_PAIRS = 8
# Words from the users' list of faults, in its order.
FAULTS = (
    "a worker dies",
    "a process of ours dies",
    "stragglers",
    "bursts",
    "declared sizes and run times",
    "never run",
    "cancellations come in waves",
    "a worker fails everything",
    "the log is down",
    "the log is slow",
    "lost after the effect",
    "a lease lapses while its holder is paused",
    "operators act at once",
)


def rows(section: str) -> list[str]:
    lines = [line for line in section.splitlines() if line.startswith("| ")]
    return lines[1:]


def names_defined_in(path: str) -> set[str]:
    """Return the tests of a file: functions, and classes created by assignment."""
    body = ast.parse((PACKAGE / path).read_text()).body
    functions = {item.name for item in body if isinstance(item, ast.FunctionDef)}
    assigned = [item.targets[0] for item in body if isinstance(item, ast.Assign)]
    return functions | {item.id for item in assigned if isinstance(item, ast.Name)}


@pytest.mark.parametrize(("path", "name"), sorted(set(NAMED_TEST.findall(PAGE))))
def test_named_test_exists(path, name):
    assert name in names_defined_in(path)


def test_every_fault_and_enough_pairs_have_a_test():
    all_rows = rows(SINGLE) + rows(PAIRS) + rows(ON_PLATFORM)
    assert all(NAMED_TEST.search(row) for row in all_rows)
    faults = " ".join(row.split("|")[1] for row in rows(SINGLE))
    assert not [fault for fault in FAULTS if fault not in faults]
    assert len(rows(PAIRS)) >= MIN_PAIRS
