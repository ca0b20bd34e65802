"""A picture of a profile."""

from pathlib import Path

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "jackdawspur"

from matplotlib import pyplot  # noqa: E402

from jackdawspur.profile._report import Profile  # noqa: E402

__all__ = ["draw_profile"]

# No date, so that the file changes only if the figures change.
METADATA = {"Date": None}


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
        took = [row.took.p10, row.took.p50, row.took.p90, row.took.p99]
        times.plot(["10 %", "50 %", "90 %", "99 %"], took, marker="o", label=row.value)
    times.set_ylabel("time of served jobs, ms")
    times.set_yscale("log")
    times.legend(fontsize="small")
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path, format="svg", metadata=METADATA)
    pyplot.close(figure)
