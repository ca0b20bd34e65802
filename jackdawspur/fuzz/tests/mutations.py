"""Strategies that mutate valid input, and the settings of fuzz tests."""

import json
import os

from hypothesis import HealthCheck, settings, strategies as st

__all__ = [
    "FUZZ",
    "REQUESTED_EXAMPLES",
    "DEEPLY_NESTED",
    "mutated_bytes",
    "mutated_json",
]

# If set, the number of examples, generated randomly on each run:
# ``make fuzz FUZZ_EXAMPLES=20000``.
REQUESTED_EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))
FUZZ = settings(
    derandomize=not REQUESTED_EXAMPLES,
    max_examples=REQUESTED_EXAMPLES or 80,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.function_scoped_fixture],
)
NESTED_DEPTH = 100_000
# Deeper than a parser's stack allows; must be refused without aborting an iteration of
# the host's loop.
DEEPLY_NESTED = b"[" * NESTED_DEPTH
EDGE_CASE_NUMBERS = (0, -1, 2**31, 2**63, 2**64, -(2**70), 1e308, -0.0, 0.5)
EDGE_CASE_TEXTS = (
    "",
    " ",
    "\x00",
    "é",
    "\U0001f6a2",
    "NaN",
    "a" * 300,
    "../..",
    "1e999",
)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(EDGE_CASE_NUMBERS),
    st.sampled_from(EDGE_CASE_TEXTS),
    st.integers(),
    st.floats(),
    st.text(st.characters(exclude_categories=["Cs"]), max_size=20),
)
VALUES = st.recursive(
    SCALARS,
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(
            st.sampled_from(("name", "kind", "id", "x")), children, max_size=3
        )
    ),
    max_leaves=6,
)


def _paths(value, path=()):
    """Yield the paths of a JSON value and of all values within it."""
    yield path
    if isinstance(value, dict):
        for key, child in value.items():
            yield from _paths(child, (*path, key))
    elif isinstance(value, list):
        for index, child in enumerate(value):
            yield from _paths(child, (*path, index))


def _apply_at(value, path, mutate):
    if not path:
        return mutate(None, None, value)
    parent = value
    for key in path[:-1]:
        parent = parent[key]
    mutate(parent, path[-1], parent[path[-1]])
    return value


def _replace_with(replacement):
    def mutate(parent, key, _old):
        if parent is None:
            return replacement
        parent[key] = replacement
        return None

    return mutate


def _remove(parent, key, old):
    if parent is None:
        return {}
    del parent[key]
    return old


def _extend_with(extra):
    def mutate(_parent, _key, old):
        if isinstance(old, dict):
            old["unexpected"] = extra
        elif isinstance(old, list):
            old.extend(old[:1] * 3 + [extra])
        return old

    return mutate


@st.composite
def mutated_json(draw, document) -> bytes:
    """Generate a document's JSON with one to three mutations."""
    value = json.loads(json.dumps(document))
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(list(_paths(value))))
        mutate = draw(
            st.one_of(
                st.builds(_replace_with, VALUES),
                st.just(_remove),
                st.builds(_extend_with, VALUES),
            )
        )
        value = _apply_at(value, path, mutate)
    return json.dumps(value).encode()


@st.composite
def mutated_bytes(draw, data: bytes) -> bytes:
    """Generate a copy of `data` with some bytes changed, removed or inserted."""
    mutated = bytearray(data)
    for _ in range(draw(st.integers(1, 4))):
        index = draw(st.integers(0, max(0, len(mutated) - 1)))
        length = draw(st.integers(0, 4))
        mutated[index : index + length] = draw(st.binary(max_size=4))
    return bytes(mutated)
