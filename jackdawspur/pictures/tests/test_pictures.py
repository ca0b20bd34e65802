"""Pictures are drawn from the lines that belong to them, the same each time."""

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


def test_lines_of_other_measurements_are_left_out():
    assert [line.policy for line in read_steady(LINES)] == ["own", "random"]
    assert [line.changes for line in read_changes(LINES)] == [50]


def test_same_figures_give_the_same_file(tmp_path):
    drawn = []
    for name in ("one.svg", "two.svg"):
        draw_tail(read_steady(LINES), tmp_path / name)
        drawn.append((tmp_path / name).read_bytes())
    draw_configuration(read_changes(LINES), tmp_path / "configuration.svg")
    assert drawn[0] == drawn[1]
    assert b"<svg" in drawn[0]


def test_nothing_to_draw_is_said():
    with pytest.raises(PictureError):
        draw_tail((), None)
