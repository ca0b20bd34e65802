"""Tests that files and functions are short."""

import ast

from jackdawspur.tests.conftest import Source

MAX_FILE_LINES = 400
MAX_FUNCTION_LINES = 40


def test_files_are_short(sources: tuple[Source, ...]):
    lengths = {source.name: len(source.text.splitlines()) for source in sources}
    assert not {name: n for name, n in lengths.items() if n > MAX_FILE_LINES}


def test_functions_are_short(sources: tuple[Source, ...]):
    long = {
        f"{source.name}:{node.name}": node.end_lineno - node.lineno + 1
        for source in sources
        for node in ast.walk(source.tree)
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        and node.end_lineno - node.lineno + 1 > MAX_FUNCTION_LINES
    }
    assert not long
