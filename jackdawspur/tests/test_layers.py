"""Tests that the core logic uses no adapter, socket or clock."""

import ast
from collections.abc import Iterator

import pytest

from jackdawspur.tests.conftest import Source

CORE_PACKAGES = {
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
# Packages that the core may import; the same rules apply to them.
SHARED_PACKAGES = {"exceptions", "external", "links", "metrics"}
FORBIDDEN_MODULES = {"circuits", "pynng", "socket", "select", "threading", "asyncio"}
CLOCKS = {"time", "monotonic", "perf_counter", "sleep", "time_ns", "monotonic_ns"}
GLOBAL_RANDOM_FUNCTIONS = {
    "random",
    "randint",
    "choice",
    "shuffle",
    "sample",
    "uniform",
}
# A measuring tool; it is not part of the core, and the core doesn't import it.
MEASURING_TOOL = "jackdawspur/configuration/slopes.py"
# The command that connects the platform adapter to the product.
FRONT_COMMAND = "jackdawspur/cli/_front.py"
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
    """Yield the full name of each import, such as ``time.monotonic``."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def attributes_in(tree: ast.AST) -> Iterator[str]:
    """Yield each use of an attribute of a name, such as ``time.monotonic``."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            yield f"{node.value.id}.{node.attr}"


def forbidden_uses(tree: ast.AST) -> list[str]:
    """Return the names that a module uses although the core must not use them."""
    used = [*imports_in(tree), *attributes_in(tree)]
    return [name for name in used if _is_forbidden(name)]


def _is_forbidden(name: str) -> bool:
    first, _, rest = name.partition(".")
    if first == "jackdawspur":
        package = rest.partition(".")[0]
        return bool(package) and package not in CORE_PACKAGES | SHARED_PACKAGES
    if first in FORBIDDEN_MODULES:
        return True
    if first == "random":
        return rest in GLOBAL_RANDOM_FUNCTIONS
    return first == "time" and rest in CLOCKS


def test_core_uses_no_adapter_or_clock(sources: tuple[Source, ...]):
    checked = [s for s in sources if not s.is_test and s.name != MEASURING_TOOL]
    checked = [
        s for s in checked if s.path.parent.name in CORE_PACKAGES | SHARED_PACKAGES
    ]
    assert {s.path.parent.name for s in checked} >= CORE_PACKAGES
    uses = [f"{s.name}: {use}" for s in checked for use in forbidden_uses(s.tree)]
    assert not uses


@pytest.mark.parametrize(
    "source",
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
def test_forbidden_uses_are_detected(source: str):
    assert forbidden_uses(ast.parse(source))


def test_only_the_front_command_imports_the_platform_adapter(
    sources: tuple[Source, ...],
):
    # Guards against platform names outside the adapter: if another module of the
    # product used them directly, a new platform would require a change there too.
    importers = {
        source.name
        for source in sources
        if not source.is_test and "jackdawspur/platform/" not in source.name
        for name in imports_in(source.tree)
        if name.startswith("jackdawspur.platform")
    }
    assert importers == {FRONT_COMMAND}


def test_platform_names_are_used_only_in_the_platform_package(
    sources: tuple[Source, ...],
):
    outside = [
        source
        for source in sources
        if "jackdawspur/platform/" not in source.name
        and "jackdawspur/standins/" not in source.name
        and not source.is_test
    ]
    found = {s.name: name for s in outside for name in PLATFORM_NAMES if name in s.text}
    assert not found
