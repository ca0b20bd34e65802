"""Tests that the links, pages and commands in the documents exist."""

import importlib.util
import re
import shlex
from pathlib import Path

import pytest
from absl import flags

from jackdawspur.callers._replies import DOC_PAGE_BY_CODE
from jackdawspur.cli._main import COMMANDS
from jackdawspur.configuration import OperatorReplyCode
from jackdawspur.model import FailureCode
from jackdawspur.tests.conftest import ROOT, read_documents

DOCUMENTS = read_documents()
LINK = re.compile(r"\]\(([^)\s]+)\)")
MAKE = re.compile(r"(?:^ {4}|`)(?:\w+=\S+ )*make ([a-z-]+)([^`\n]*)", re.MULTILINE)
COMMAND = re.compile(r"(?:^ {4}|`)(?:python -m )?jackdawspur ([^`\n]*)", re.MULTILINE)
MODULE = re.compile(r"python -m (jackdawspur[\w.]*)")
STANDINS = {"worker", "log", "hostlist", "platform"}


def anchors_of(page: Path) -> set[str]:
    """Return the anchors of a page's headings, as code hosting sites form them."""
    headings = re.findall(r"^#+ (.+)$", page.read_text(), re.MULTILINE)
    plain = (re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings)
    return {heading.strip().replace(" ", "-") for heading in plain}


@pytest.mark.parametrize("page", DOCUMENTS, ids=lambda page: page.name)
def test_links_resolve(page: Path):
    links = [link for link in LINK.findall(page.read_text()) if "://" not in link]
    for link in links:
        path, _, anchor = link.partition("#")
        target = (page.parent / path).resolve() if path else page
        assert target.exists(), link
        assert not anchor or anchor in anchors_of(target), link


def test_every_failure_code_has_a_page():
    assert set(DOC_PAGE_BY_CODE) == set(FailureCode)
    for code, name in DOC_PAGE_BY_CODE.items():
        page = ROOT / "docs" / "operators" / f"{name}.md"
        assert page.exists(), page
        words = page.read_text().lower()
        assert code.value in words or code.value.replace("_", " ") in words, code


def test_every_operator_reply_code_has_a_section():
    anchors = anchors_of(ROOT / "docs" / "operators" / "configuration.md")
    codes = {
        code.replace("_", "-")
        for code in OperatorReplyCode
        if code is not OperatorReplyCode.OK
    }
    assert codes <= anchors


def test_make_targets_exist():
    rules = (ROOT / "Makefile").read_text()
    targets = set(re.findall(r"^([a-z-]+):", rules, re.MULTILINE))
    named = {m[0] for page in DOCUMENTS for m in MAKE.findall(page.read_text())}
    assert named
    assert named <= targets


def test_named_modules_exist():
    named = {n for page in DOCUMENTS for n in MODULE.findall(page.read_text())}
    missing = {n for n in named if importlib.util.find_spec(n.rstrip(".")) is None}
    assert named
    assert not missing


def test_command_lines_parse():
    lines = [c for page in DOCUMENTS for c in COMMAND.findall(page.read_text())]
    lines += [example for command in COMMANDS for example in command.examples]
    assert lines
    for line in lines:
        parse(line)


def parse(line: str) -> None:
    """Parse a command line without the program's name; raise on an unknown flag."""
    name, *words = shlex.split(line)
    if name in ("COMMAND", "--help", "--version"):
        return
    command = next(c for c in COMMANDS if c.name == name)
    values = flags.FlagValues()
    command.define(values)
    wanted = [word for word in words if word != "--help"]
    if len(wanted) < len(words):
        return
    rest = values([name, *wanted])[1:]
    assert name != "standin" or set(rest) <= STANDINS, line


def test_an_unknown_flag_is_detected():
    with pytest.raises(flags.UnrecognizedFlagError):
        parse("submit --hots=127.0.0.1:1 job.json")


def test_the_readme_uses_a_host_and_a_token_of_the_demo():
    """Guards against a curl line that gets "unauthorized" or no answer."""
    text = (ROOT / "README.md").read_text()
    hosts = set(re.findall(r"http://([\d.:]+)/", text))
    settings = [p.read_text() for p in (ROOT / "examples/ramdenee").glob("*.json")]
    assert hosts
    assert all(any(f'"http": "{host}"' in s for s in settings) for host in hosts)
    tokens = set(re.findall(r"Bearer ([\w-]+)'", text))
    assert tokens
    assert tokens <= set(re.findall(r"`([\w-]+-token)`", _tokens_page()))


def _tokens_page() -> str:
    return (ROOT / "docs" / "configuration.md").read_text()
