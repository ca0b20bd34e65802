"""Tests that pictures use the right lines, and that equal lines give equal files."""

import pytest

from jackdawspur.pictures import (
    PictureError,
    draw_configuration,
    draw_tail,
    read_changes,
    read_steady,
)

LINES = [
    "experiment   jobs",
    '{"deployment":"ramdenee","scenario":"steady","policy":"own","load":0.7,'
    '"p50":1.0,"p99":1.2,"p999":2.0,"jobs":3}',
    '{"deployment":"ramdenee","scenario":"steady","policy":"random","load":0.7,'
    '"p50":1.0,"p99":1.5,"p999":2.5,"jobs":3}',
    '{"deployment":"ramdenee","scenario":"host_killed","policy":"own","load":0.7,'
    '"p50":1.0,"p99":9.0,"p999":9.0,"jobs":3}',
    '{"measure":"burst","changes":50,"p50_ms":80.0,"p99_ms":300.0}',
]


def test_lines_of_other_measurements_are_skipped():
    assert [line.policy for line in read_steady(LINES)] == ["own", "random"]
    assert [line.changes for line in read_changes(LINES)] == [50]


def test_equal_figures_give_identical_files(tmp_path):
    files = []
    for name in ("one.svg", "two.svg"):
        draw_tail(read_steady(LINES), tmp_path / name)
        files.append((tmp_path / name).read_bytes())
    draw_configuration(read_changes(LINES), tmp_path / "configuration.svg")
    assert files[0] == files[1]
    assert b"<svg" in files[0]


def test_drawing_no_lines_raises_an_error():
    with pytest.raises(PictureError):
        draw_tail((), None)
