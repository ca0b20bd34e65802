"""Print the number of lines of code by group of packages: ``python -m`` this module.

Exits with 1 if the group "decisions" (the core logic) has less than a quarter of all
lines, or the tests have more than a third.
"""

import sys
from collections import Counter
from pathlib import Path

__all__ = ["count_lines", "main"]

PACKAGE = Path(__file__).parent
MIN_CORE_SHARE = 0.25
MAX_TESTS_SHARE = 1 / 3
CORE = "decisions"
TESTS = "tests"
GROUP_OF_PACKAGE = {
    "ownership": CORE,
    "sharing": CORE,
    "scheduling": CORE,
    "limits": CORE,
    "health": CORE,
    "membership": CORE,
    "dispatch": CORE,
    "configuration": CORE,
    "group": CORE,
    "leases": CORE,
    "runs": CORE,
    "front": "adapters and processes",
    "platform": "adapters and processes",
    "adapters": "adapters and processes",
    "entry": "adapters and processes",
    "callers": "adapters and processes",
    "cli": "adapters and processes",
    "settings": "adapters and processes",
    "links": "model and messages",
    "messages": "model and messages",
    "model": "model and messages",
    "external": "model and messages",
    "wire": "model and messages",
    "metrics": "model and messages",
    "standins": "stand-ins",
    "bench": "bench and tools",
    "load": "bench and tools",
    "slopes": "bench and tools",
    "soak": "bench and tools",
}
OTHER = "other"
# These files of the configuration validate and format documents, and contain no
# decision or recovery logic.
GROUP_OF_FILE = {
    "configuration/slopes.py": "bench and tools",
    "configuration/_document.py": "model and messages",
    "configuration/_records.py": "model and messages",
    "configuration/_text.py": "adapters and processes",
    "configuration/_checks.py": "model and messages",
}


def group_of(path: Path) -> str:
    """Return the group to which a file of the package belongs."""
    parts = path.relative_to(PACKAGE).parts
    if "tests" in parts:
        return TESTS
    return GROUP_OF_FILE.get("/".join(parts)) or GROUP_OF_PACKAGE.get(parts[0], OTHER)


def count_lines() -> Counter[str]:
    """Return the number of lines by group, without blank lines and comments."""
    lines: Counter[str] = Counter()
    for path in PACKAGE.rglob("*.py"):
        code = [line.strip() for line in path.read_text().splitlines()]
        lines[group_of(path)] += sum(bool(c) and not c.startswith("#") for c in code)
    return lines


def main() -> int:
    """Print the lines and shares of all groups, and return the exit status."""
    lines = count_lines()
    total = sum(lines.values())
    for group, count in lines.most_common():
        sys.stdout.write(f"{group:24} {count:7} {count / total:6.1%}\n")
    core_share, tests_share = lines[CORE] / total, lines[TESTS] / total
    sys.stdout.write(f"{'all':24} {total:7}\n")
    sys.stdout.write(f"decisions {core_share:.1%}, at least {MIN_CORE_SHARE:.0%}\n")
    sys.stdout.write(f"tests {tests_share:.1%}, at most {MAX_TESTS_SHARE:.1%}\n")
    return 0 if core_share >= MIN_CORE_SHARE and tests_share <= MAX_TESTS_SHARE else 1


if __name__ == "__main__":
    sys.exit(main())
