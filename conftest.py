"""Pass over the tests listed in KNOWN-RED.txt, and print them."""

from pathlib import Path

import pytest

LISTED = Path(__file__).with_name("KNOWN-RED.txt")
MOST_LISTED = 3


def _known_red() -> dict[str, str]:
    """Return cause by test of the file's lines ``test | cause | issue``."""
    lines = [line for line in LISTED.read_text().splitlines() if line.strip()]
    entries = [tuple(part.strip() for part in line.split("|", 1)) for line in lines]
    return dict(entries)


def pytest_report_header(config):
    """Print what is known to be red."""
    return [f"known red: {test}: {cause}" for test, cause in _known_red().items()]


def pytest_collection_modifyitems(config, items):
    """Expect the listed tests, and only these, to fail."""
    known = _known_red()
    if len(known) > MOST_LISTED:
        raise pytest.UsageError(f"KNOWN-RED.txt lists more than {MOST_LISTED} tests")
    for item in items:
        cause = known.get(item.nodeid)
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
