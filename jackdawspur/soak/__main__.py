"""Run seeds of the soak test; ``python -m jackdawspur.soak`` prints one line per seed.

Exits with 1 if a check of any seed fails; the folder with its logs is then kept.
"""

import shutil
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path
from signal import SIGTERM, signal

import msgspec
from absl import flags

from jackdawspur.soak._plan import REGRESSION_SEEDS
from jackdawspur.soak._soak import SoakResult, run_seed

__all__ = ["main"]

FLAGS = flags.FlagValues()
flags.DEFINE_integer("first", 1, "the first seed", flag_values=FLAGS)
flags.DEFINE_integer("seeds", 50, "number of seeds", flag_values=FLAGS)
flags.DEFINE_bool(
    "kept", False, "first run the seeds that once exposed a bug", flag_values=FLAGS
)
flags.DEFINE_float("seconds", 8.0, "seconds of load per seed", flag_values=FLAGS)


def main(arguments: list[str]) -> int:
    """Run the seeds in sequence and return the exit status."""
    FLAGS(arguments)
    # Exit through SystemExit, so that the processes of a deployment are also ended
    # when a seed is interrupted.
    signal(SIGTERM, lambda _signo, _frame: sys.exit(1))
    requested = range(FLAGS.first, FLAGS.first + FLAGS.seeds)
    seeds = [*(REGRESSION_SEEDS if FLAGS.kept else ()), *requested]
    failed = [seed for seed in seeds if not _run_seed(seed, FLAGS.seconds)]
    print(f"{len(seeds)} seeds, wrong: {failed or 'none'}")  # noqa: T201
    return 1 if failed else 0


def _run_seed(seed: int, seconds: float) -> bool:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    result = run_seed(seed, seconds, folder)
    print(_format_result(result), flush=True)  # noqa: T201
    if result.findings.wrong:
        print(f"logs of seed {seed}: {folder}", flush=True)  # noqa: T201
        return False
    shutil.rmtree(folder)
    return True


def _format_result(result: SoakResult) -> str:
    faults = [f"{f.at_s:.1f}s {f.kind.value} {f.target}" for f in result.faults]
    record = {
        "seed": result.seed,
        "deployment": result.layout.name,
        **asdict(result.findings),
        "shed": result.shed,
        "redirected": result.redirected,
        "faults": faults,
    }
    return msgspec.json.encode(record).decode()


if __name__ == "__main__":
    sys.exit(main(sys.argv))
