"""Decision logic reaches no adapter, socket or clock."""

import ast
from collections.abc import Iterator

import pytest

from jackdawspur.tests.conftest import Source

DECISIONS = {
    "model",
    "messages",
    "ownership",
    "sharing",
    "scheduling",
    "limits",
    "health",
    "membership",
    "dispatch",
    "configuration",
    "group",
    "leases",
    "runs",
}
# What decisions may use besides each other; these are held to the same rules.
BELOW = {"exceptions", "external", "links", "metrics"}
FORBIDDEN_MODULES = {"circuits", "pynng", "socket", "select", "threading", "asyncio"}
CLOCKS = {"time", "monotonic", "perf_counter", "sleep", "time_ns", "monotonic_ns"}
GLOBAL_DRAWS = {"random", "randint", "choice", "shuffle", "sample", "uniform"}
# A tool that measures; it decides nothing and no decision imports it.
TOOL = "jackdawspur/configuration/slopes.py"
# The command that fits the adapter to the product.
BUILDER = "jackdawspur/cli/_front.py"
PLATFORM_NAMES = (
    "fencing_token",
    "run-start",
    "run-stop",
    "log-append",
    "log-read",
    "log-newest",
    "keyed.",
    "best_effort",
    "max_per_server",
    "mem_mb",
    "saves_progress",
    "X-Expect-Instance",
)


def imports_in(tree: ast.AST) -> Iterator[str]:
    """Yield each imported name in full, as in ``time.monotonic``."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def calls_in(tree: ast.AST) -> Iterator[str]:
    """Yield each call of a module's function, as in ``time.monotonic``."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            yield f"{node.value.id}.{node.attr}"


def faults_of(tree: ast.AST) -> list[str]:
    """Return what a module of the decisions must not reach."""
    used = [*imports_in(tree), *calls_in(tree)]
    return [name for name in used if _is_forbidden(name)]


def _is_forbidden(name: str) -> bool:
    first, _, rest = name.partition(".")
    if first == "jackdawspur":
        package = rest.partition(".")[0]
        return bool(package) and package not in DECISIONS | BELOW
    if first in FORBIDDEN_MODULES:
        return True
    if first == "random":
        return rest in GLOBAL_DRAWS
    return first == "time" and rest in CLOCKS


def test_decisions_are_layered(sources: tuple[Source, ...]):
    held = [s for s in sources if not s.is_test and s.name != TOOL]
    held = [s for s in held if s.path.parent.name in DECISIONS | BELOW]
    assert {s.path.parent.name for s in held} >= DECISIONS
    faults = [f"{s.name}: {fault}" for s in held for fault in faults_of(s.tree)]
    assert not faults


@pytest.mark.parametrize(
    "planted",
    [
        "import circuits",
        "from circuits.net import sockets",
        "from jackdawspur.adapters import Links",
        "import jackdawspur.entry",
        "from time import monotonic",
        "import time\ntime.time()",
        "import random\nrandom.random()",
    ],
)
def test_planted_faults_are_found(planted: str):
    assert faults_of(ast.parse(planted))


def test_only_the_program_that_builds_it_up_imports_the_adapter(
    sources: tuple[Source, ...],
):
    # The platform's names leak: a module of the product reads them directly, and the
    # next platform needs a change there too.
    importers = {
        source.name
        for source in sources
        if not source.is_test and "jackdawspur/platform/" not in source.name
        for name in imports_in(source.tree)
        if name.startswith("jackdawspur.platform")
    }
    assert importers == {BUILDER}


def test_the_platforms_names_stay_in_its_folder(sources: tuple[Source, ...]):
    outside = [
        source
        for source in sources
        if "jackdawspur/platform/" not in source.name
        and "jackdawspur/standins/" not in source.name
        and not source.is_test
    ]
    found = {s.name: name for s in outside for name in PLATFORM_NAMES if name in s.text}
    assert not found
