"""A picture of a profile."""

from pathlib import Path

from jackdawspur.pictures import pyplot, save_figure
from jackdawspur.profile._report import PERCENTILE_LABELS, Profile

__all__ = ["draw_profile"]


def draw_profile(profile: Profile, path: Path) -> None:
    """Draw the requests and the unserved ones by time, and the times by route."""
    figure, (load, times) = pyplot.subplots(2, 1, figsize=(9, 8))
    spans = profile.groups["seconds"]
    starts = [float(row.value) for row in spans]
    load.plot(starts, [row.requests for row in spans], label="jobs")
    load.plot(starts, [row.unserved for row in spans], label="unserved")
    load.set_xlabel("time, s")
    load.legend(fontsize="small")
    for row in profile.groups["route"]:
        times.plot(PERCENTILE_LABELS, row.took.values, marker="o", label=row.value)
    times.set_ylabel("time of served jobs, ms")
    times.set_yscale("log")
    times.legend(fontsize="small")
    save_figure(figure, path)
