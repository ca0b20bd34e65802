"""Valid input with something wrong in it, and how much of it to try."""

import json
import os

from hypothesis import HealthCheck, settings, strategies as st

__all__ = ["FUZZ", "MORE", "NESTED", "mutated_bytes", "mutated_json"]

# More examples, drawn anew each time: ``make fuzz FUZZ_EXAMPLES=20000``.
MORE = int(os.environ.get("FUZZ_EXAMPLES", "0"))
FUZZ = settings(
    derandomize=not MORE,
    max_examples=MORE or 80,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.function_scoped_fixture],
)
NESTED_DEPTH = 100_000
# Deeper than a parser's stack: it must be refused, not end the host's pass.
NESTED = b"[" * NESTED_DEPTH
ODD_NUMBERS = (0, -1, 2**31, 2**63, 2**64, -(2**70), 1e308, -0.0, 0.5)
ODD_TEXTS = ("", " ", "\x00", "é", "\U0001f6a2", "NaN", "a" * 300, "../..", "1e999")
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(ODD_NUMBERS),
    st.sampled_from(ODD_TEXTS),
    st.integers(),
    st.floats(),
    st.text(st.characters(exclude_categories=["Cs"]), max_size=20),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(("name", "kind", "id", "x")), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def _places(value, path=()):
    """Yield the path of each part of a JSON value."""
    yield path
    if isinstance(value, dict):
        for key, part in value.items():
            yield from _places(part, (*path, key))
    elif isinstance(value, list):
        for index, part in enumerate(value):
            yield from _places(part, (*path, index))


def _change(value, path, act):
    if not path:
        return act(None, None, value)
    parent = value
    for step in path[:-1]:
        parent = parent[step]
    act(parent, path[-1], parent[path[-1]])
    return value


def _replaced(wanted):
    def act(parent, step, _old):
        if parent is None:
            return wanted
        parent[step] = wanted
        return None

    return act


def _removed(parent, step, old):
    if parent is None:
        return {}
    del parent[step]
    return old


def _grown(extra):
    def act(_parent, _step, old):
        if isinstance(old, dict):
            old["unexpected"] = extra
        elif isinstance(old, list):
            old.extend(old[:1] * 3 + [extra])
        return old

    return act


@st.composite
def mutated_json(draw, document) -> bytes:
    """Draw the JSON of a document in which one to three places are wrong."""
    value = json.loads(json.dumps(document))
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(list(_places(value))))
        act = draw(
            st.one_of(
                st.builds(_replaced, VALUES),
                st.just(_removed),
                st.builds(_grown, VALUES),
            )
        )
        value = _change(value, path, act)
    return json.dumps(value).encode()


@st.composite
def mutated_bytes(draw, data: bytes) -> bytes:
    """Draw bytes of which some were changed, cut out or put in."""
    mutated = bytearray(data)
    for _ in range(draw(st.integers(1, 4))):
        at = draw(st.integers(0, max(0, len(mutated) - 1)))
        length = draw(st.integers(0, 4))
        mutated[at : at + length] = draw(st.binary(max_size=4))
    return bytes(mutated)
