"""Run seeds of the fault soak: ``python -m`` this module prints a line a seed.

Exits 1 when any seed shows something wrong; its folder with all logs is then kept.
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
flags.DEFINE_integer("seeds", 50, "how many seeds", flag_values=FLAGS)
flags.DEFINE_bool(
    "kept", False, "first run those that have shown a fault", flag_values=FLAGS
)
flags.DEFINE_float("seconds", 8.0, "seconds of load a seed", flag_values=FLAGS)


def main(arguments: list[str]) -> int:
    """Run the seeds one after the other."""
    FLAGS(arguments)
    # The processes of a deployment end with its seed, also when that is broken off.
    signal(SIGTERM, lambda _signo, _frame: sys.exit(1))
    drawn = range(FLAGS.first, FLAGS.first + FLAGS.seeds)
    seeds = [*(REGRESSION_SEEDS if FLAGS.kept else ()), *drawn]
    wrong = [seed for seed in seeds if not _run(seed, FLAGS.seconds)]
    print(f"{len(seeds)} seeds, wrong: {wrong or 'none'}")  # noqa: T201
    return 1 if wrong else 0


def _run(seed: int, seconds: float) -> bool:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    result = run_seed(seed, seconds, folder)
    print(_line(result), flush=True)  # noqa: T201
    if result.findings.wrong:
        print(f"logs of seed {seed}: {folder}", flush=True)  # noqa: T201
        return False
    shutil.rmtree(folder)
    return True


def _line(result: SoakResult) -> str:
    faults = [f"{f.at_s:.1f}s {f.kind.value} {f.target}" for f in result.faults]
    shown = {
        "seed": result.seed,
        "deployment": result.layout.name,
        **asdict(result.findings),
        "faults": faults,
    }
    return msgspec.json.encode(shown).decode()


if __name__ == "__main__":
    sys.exit(main(sys.argv))
