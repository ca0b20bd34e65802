"""The session fixture."""

import logging

import pytest

from jackdawspur.sessions.tests.session import Session, TranscriptHandler


@pytest.fixture
def session():
    """Return a session whose transcript includes the hosts' log lines.

    It has two zones with one entry host and one upstream each.
    """
    new_session = Session()
    handler = TranscriptHandler(new_session)
    logger = logging.getLogger("jackdawspur")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield new_session
    logger.removeHandler(handler)
    logger.setLevel(level)
