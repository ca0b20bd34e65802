"""Fixtures that run real processes and end them after the tests."""

import pytest

from jackdawspur.entry._trial_settings import Sizes
from jackdawspur.entry.trial import Deployment, wait_until


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """Return a running deployment of two zones with two entry hosts each."""
    running = Deployment(tmp_path_factory.mktemp("deployment"), Sizes())
    try:
        running.start()
        yield running
    finally:
        running.close()


@pytest.fixture
def restored(deployment):
    """Return the deployment; after the test, restart hosts and remove faults."""
    yield deployment
    deployment.set_log_faults()
    for host in deployment.hosts:
        if not host.running:
            host.start()
    deployment.wait_ready()
    deployment.wait_log_read()
    newest = max(host.version() for host in deployment.hosts)
    deployment.wait_version(newest)
    wait_until(lambda: _all_see_all(deployment), "every host seen by every host")


def _all_see_all(deployment) -> bool:
    seen = [len(h.status()["host"]["live_hosts"]) for h in deployment.hosts]
    return min(seen) >= len(deployment.hosts) - 1
