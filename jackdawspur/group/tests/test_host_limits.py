"""Tests of the number of upstreams that a host can lead within its limits."""

import pytest

from jackdawspur.group import HostLimits


@pytest.mark.parametrize(
    ("limits", "upstreams"),
    [
        (HostLimits(2.15, 100.0), 165),
        (HostLimits(0.516, 12.5), 39),
        (HostLimits(2.15, 2.0), 10),
        (HostLimits(0.12, 100.0), 9),
        (HostLimits(0.001, 0.001), 1),
    ],
)
def test_the_scarcer_limit_binds(limits: HostLimits, upstreams: int):
    assert limits.max_upstreams == upstreams


def test_limits_that_are_not_stated_are_logged_as_assumed():
    fields = HostLimits().log_fields()
    assert fields["assumed"] == ["processor", "link_mbps"]
    assert fields["carries_upstreams"] == HostLimits(1.0, 1000.0).max_upstreams
    assert HostLimits(0.5, 12.5).log_fields()["assumed"] == []
