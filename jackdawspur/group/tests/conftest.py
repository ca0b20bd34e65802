"""Fixtures of the tests of groups."""

import pytest

from jackdawspur.group._vacancy import INITIAL_VACANCY_S
from jackdawspur.group.tests.hosts import Hosts


@pytest.fixture
def hosts() -> Hosts:
    cluster = Hosts("a", "b", "c")
    cluster.advance(INITIAL_VACANCY_S + 1.0)
    return cluster
