"""A session whose log lines are written down with its replies."""

import logging

import pytest

from jackdawspur.sessions.tests.session import Journal, Session


@pytest.fixture
def session():
    """Play a session of two zones with one entry host and one upstream each."""
    played = Session()
    journal = Journal(played)
    logger = logging.getLogger("jackdawspur")
    level = logger.level
    logger.addHandler(journal)
    logger.setLevel(logging.INFO)
    yield played
    logger.removeHandler(journal)
    logger.setLevel(level)
