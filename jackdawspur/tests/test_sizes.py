"""Files and functions stay short."""

import ast

from jackdawspur.tests.conftest import Source

LONGEST_FILE = 400
LONGEST_FUNCTION = 40


def test_files_are_short(sources: tuple[Source, ...]):
    lengths = {source.name: len(source.text.splitlines()) for source in sources}
    assert not {name: n for name, n in lengths.items() if n > LONGEST_FILE}


def test_functions_are_short(sources: tuple[Source, ...]):
    long = {
        f"{source.name}:{node.name}": node.end_lineno - node.lineno + 1
        for source in sources
        for node in ast.walk(source.tree)
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        and node.end_lineno - node.lineno + 1 > LONGEST_FUNCTION
    }
    assert not long
