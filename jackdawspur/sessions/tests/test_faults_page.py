"""The page of faults names tests that exist, for every fault and enough pairs."""

import ast
import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2]
PAGE = (PACKAGE.parent / "docs" / "faults.md").read_text()
SINGLE, PAIRS, ON_PLATFORM = PAGE.split("\n## ")[1:]
NAMED = re.compile(r"`([\w/]+\.py)::(\w+)`")
FEWEST_PAIRS = 8
# The words of the users' list, in its order.
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


def defined(path: str) -> set[str]:
    """Return the tests of a file; a class may be made by an assignment."""
    body = ast.parse((PACKAGE / path).read_text()).body
    functions = {item.name for item in body if isinstance(item, ast.FunctionDef)}
    assigned = [item.targets[0] for item in body if isinstance(item, ast.Assign)]
    return functions | {item.id for item in assigned if isinstance(item, ast.Name)}


@pytest.mark.parametrize(("path", "name"), sorted(set(NAMED.findall(PAGE))))
def test_named_test_exists(path, name):
    assert name in defined(path)


def test_every_fault_and_enough_pairs_have_a_test():
    every = rows(SINGLE) + rows(PAIRS) + rows(ON_PLATFORM)
    assert all(NAMED.search(row) for row in every)
    faults = " ".join(row.split("|")[1] for row in rows(SINGLE))
    assert not [fault for fault in FAULTS if fault not in faults]
    assert len(rows(PAIRS)) >= FEWEST_PAIRS
