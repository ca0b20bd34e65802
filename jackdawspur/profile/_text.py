"""A profile as text tables."""

from collections.abc import Sequence

from tabulate import tabulate

from jackdawspur.profile._report import PERCENTILE_LABELS, Profile, Quantiles

__all__ = ["format_profile"]


def format_profile(profile: Profile) -> str:
    """Return the tables of a profile; times are in milliseconds."""
    stages = [[row.route, row.stage, *_cells(row.took)] for row in profile.stages]
    sections = [_table(["route", "stage", "jobs", *PERCENTILE_LABELS], stages)]
    for name, rows in profile.groups.items():
        cells = [
            [row.value, row.requests, row.unserved, row.redirected, *_cells(row.took)]
            for row in rows
        ]
        headers = [name, "jobs", "unserved", "redirected", "served", *PERCENTILE_LABELS]
        sections.append(_table(headers, cells))
    losses = [
        [row.cause, row.priority, row.requests, row.ample, *row.waited.values]
        for row in profile.losses
    ]
    headers = ["cause", "priority", "unserved", "with ample time", *PERCENTILE_LABELS]
    sections.append(_table(headers, losses))
    sections.append(
        f"{profile.damaged_lines} damaged lines, "
        f"{profile.dropped_lines} lines that hosts did not write"
    )
    return "\n\n".join(sections) + "\n"


def _table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    # Names are left as they are, also those that look like numbers.
    text_columns = [0] if rows else True
    return tabulate(
        rows, headers=headers, disable_numparse=text_columns, missingval="-"
    )


def _cells(took: Quantiles) -> list[object]:
    return [took.count, *took.values]
