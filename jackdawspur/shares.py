"""Print the lines of code by group: ``python -m`` this module.

Exits 1 when decisions are under a quarter of all lines, or tests over a third.
"""

import sys
from collections import Counter
from pathlib import Path

__all__ = ["count_lines", "main"]

PACKAGE = Path(__file__).parent
LEAST_DECISIONS = 0.25
MOST_TESTS = 1 / 3
DECISIONS = "decisions"
TESTS = "tests"
GROUP_OF = {
    "ownership": DECISIONS,
    "sharing": DECISIONS,
    "scheduling": DECISIONS,
    "limits": DECISIONS,
    "health": DECISIONS,
    "membership": DECISIONS,
    "dispatch": DECISIONS,
    "configuration": DECISIONS,
    "group": DECISIONS,
    "leases": DECISIONS,
    "runs": DECISIONS,
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
# Of the configuration, these check and show documents rather than decide or recover.
TOOLS = {
    "configuration/slopes.py": "bench and tools",
    "configuration/_document.py": "model and messages",
    "configuration/_records.py": "model and messages",
    "configuration/_text.py": "adapters and processes",
    "configuration/_checks.py": "model and messages",
}


def group_of(path: Path) -> str:
    """Return the group of a file of the package."""
    parts = path.relative_to(PACKAGE).parts
    if "tests" in parts:
        return TESTS
    return TOOLS.get("/".join(parts)) or GROUP_OF.get(parts[0], OTHER)


def count_lines() -> Counter[str]:
    """Return the lines that are neither blank nor a comment, by group."""
    lines: Counter[str] = Counter()
    for path in PACKAGE.rglob("*.py"):
        code = [line.strip() for line in path.read_text().splitlines()]
        lines[group_of(path)] += sum(bool(c) and not c.startswith("#") for c in code)
    return lines


def main() -> int:
    """Print the shares and return the exit status."""
    lines = count_lines()
    total = sum(lines.values())
    for group, count in lines.most_common():
        sys.stdout.write(f"{group:24} {count:7} {count / total:6.1%}\n")
    decisions, tests = lines[DECISIONS] / total, lines[TESTS] / total
    sys.stdout.write(f"{'all':24} {total:7}\n")
    sys.stdout.write(f"decisions {decisions:.1%}, at least {LEAST_DECISIONS:.0%}\n")
    sys.stdout.write(f"tests {tests:.1%}, at most {MOST_TESTS:.1%}\n")
    return 0 if decisions >= LEAST_DECISIONS and tests <= MOST_TESTS else 1


if __name__ == "__main__":
    sys.exit(main())
