"""Tests that the platform's settings file is translated to the product's settings."""

import pytest

from jackdawspur.platform import load_platform_settings
from jackdawspur.settings import SettingsError

VALID_SETTINGS = """node_name=front-a-1
zone=z-a
ip=127.0.0.1
listen.front=127.0.0.1:8161
listen.ready=127.0.0.1:8167
port_range=7720,7735
platform.address=127.0.0.7:8169
bounds.grace_s=6
unknown.field=whatever
"""


def write_settings(tmp_path, text: str) -> str:
    path = tmp_path / "boot.conf"
    path.write_text(text)
    return str(path)


def test_all_fields_are_read_and_unknown_ones_ignored(tmp_path):
    settings = load_platform_settings(write_settings(tmp_path, VALID_SETTINGS))
    assert settings.name == "front-a-1"
    assert settings.link == "127.0.0.1:7720"
    assert settings.grace_s == 6.0
    assert (settings.processor, settings.link_mbps) == (None, None)


def test_limits_of_the_host_are_read(tmp_path):
    limits = "limits.cpu_share=0.5\nlimits.cores=3\nlimits.link_mbps=12.5\n"
    settings = load_platform_settings(write_settings(tmp_path, VALID_SETTINGS + limits))
    assert (settings.processor, settings.link_mbps) == (1.5, 12.5)


def test_memory_and_descriptors_are_read_without_those_for_files(tmp_path):
    limits = "limits.memory_mb=300\nlimits.max_fds=4100\n"
    settings = load_platform_settings(write_settings(tmp_path, VALID_SETTINGS + limits))
    assert (settings.memory_mb, settings.max_descriptors) == (300.0, 3900)


def test_stated_remote_factor_is_read(tmp_path):
    # Guards against ignoring a stated factor: tasks outside their preferred rack were
    # taken to be safe with 2 although the platform states 3.
    stated = VALID_SETTINGS + "bounds.remote_factor=3\n"
    settings = load_platform_settings(write_settings(tmp_path, stated))
    assert settings.remote_factor == 3.0


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("zone=z-a\n", "", "zone"),
        ("listen.front=127.0.0.1:8161", "listen.front=nowhere", "listen.front"),
        ("bounds.grace_s=6", "bounds.grace_s=soon", "bounds.grace_s"),
        ("port_range=7720,7735", "port_range=", "port_range"),
        ("unknown.field", "limits.link_mbps", "limits.link_mbps"),
        ("unknown.field", "bounds.remote_factor", "bounds.remote_factor"),
        ("unknown.field", "limits.memory_mb", "limits.memory_mb"),
        ("unknown.field", "limits.max_fds", "limits.max_fds"),
        ("unknown.field", "limits.cpu_share", "limits.cpu_share or limits.cores"),
    ],
)
def test_invalid_value_is_reported_under_the_platforms_name(tmp_path, old, new, field):
    path = write_settings(tmp_path, VALID_SETTINGS.replace(old, new))
    with pytest.raises(SettingsError, match=field):
        load_platform_settings(path)


def test_all_invalid_values_are_reported_at_once(tmp_path):
    invalid_settings = VALID_SETTINGS.replace("zone=z-a\n", "").replace(
        "grace_s=6", "grace_s=soon"
    )
    with pytest.raises(SettingsError, match="zone.*bounds.grace_s"):
        load_platform_settings(write_settings(tmp_path, invalid_settings))


def test_missing_or_binary_file_raises_an_error(tmp_path):
    with pytest.raises(SettingsError):
        load_platform_settings(str(tmp_path / "none"))
    path = tmp_path / "bytes"
    path.write_bytes(b"\xff\xfe\x00")
    with pytest.raises(SettingsError):
        load_platform_settings(str(path))
