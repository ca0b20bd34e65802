"""Access to the repository's source files and documents."""

import ast
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "jackdawspur"


@dataclass(frozen=True, slots=True)
class Source:
    """One Python file and its syntax tree."""

    path: Path
    text: str
    tree: ast.Module

    @property
    def name(self) -> str:
        """Return the path of the file, relative to the repository's root."""
        return self.path.relative_to(ROOT).as_posix()

    @property
    def is_test(self) -> bool:
        """Return whether the file is in a tests folder."""
        return "tests" in self.path.parts


def read_sources() -> tuple[Source, ...]:
    """Return all Python files of the package."""
    paths = sorted(PACKAGE.rglob("*.py"))
    texts = [path.read_text() for path in paths]
    return tuple(
        Source(path, text, ast.parse(text))
        for path, text in zip(paths, texts, strict=True)
    )


def read_documents() -> tuple[Path, ...]:
    """Return all Markdown documents, including those in the repository's root."""
    return (*sorted(ROOT.glob("*.md")), *sorted((ROOT / "docs").rglob("*.md")))


@pytest.fixture(scope="session")
def sources() -> tuple[Source, ...]:
    """Return all Python files."""
    return read_sources()
