"""Odd JSON of other writers, for tests of what reads the store.

Much of it is what no JSON encoder writes, so it is given as text.
"""

import json

# Levels of nesting: about the limit of recursion, and far above it.
LEVELS = (1_000, 100_000, 300_000)
# Numbers that are too large, as JSON.
NUMBERS = {
    "2**63": str(2**63),
    "2**64": str(2**64),
    "-2**64": str(-(2**64)),
    "1e400": "1e400",
    "-1e400": "-1e400",
    "400 digits": "9" * 400,
    "5000 digits": "9" * 5000,
    "1e(20 digits)": "1e" + "9" * 20,
    "NaN": "NaN",
    "Infinity": "Infinity",
}
DURATIONS = ("9e999s", "9" * 400 + "s", "1e5ms", "-1s", "infs", "")
VERSIONS = ("r" + "9" * 19, "r" + "9" * 400, "r" + "9" * 5000, "r-1", "r")
# Addresses with a port out of range or malformed, or without a host.
ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1:",
    "127.0.0.1",
    "127.0.0.1:http",
    "127.0.0.1:8_0",
    "127.0.0.1: 80",
    "127.0.0.1:\u0668\u0660",
    "127.0.0.1:\u00b2",
    "[::1]:80",
    "::1:80",
    ":80",
    "80",
    "",
)
_MARK = '"@odd@"'


def nested_lists(levels):
    """Returns the JSON of lists in lists."""
    return "[" * levels + "]" * levels


def nested_objects(levels):
    """Returns the JSON of objects in objects."""
    return '{"a":' * levels + "0" + "}" * levels


def nested_values():
    """Yields the description and the JSON of very deep values."""
    for levels in LEVELS:
        yield f"{levels} lists", nested_lists(levels)
        yield f"{levels} objects", nested_objects(levels)


def stored(name, spec, revision=7):
    """Returns an object of the store."""
    return {
        "metadata": {"name": name, "revision": revision},
        "spec": spec,
        "status": None,
    }


def with_value(document, path, value):
    """Returns the JSON of a document in which one value is replaced.

    Args:
        document: The document.
        path: Keys and indexes that lead to the value.
        value: JSON of the new value.
    """
    copy = inner = json.loads(json.dumps(document))
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = json.loads(_MARK)
    return json.dumps(copy).replace(_MARK, value)


def number_paths(document, path=()):
    """Yields the path of each number in a document."""
    items = ()
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    elif isinstance(document, int | float) and not isinstance(document, bool):
        yield path
    for key, value in items:
        yield from number_paths(value, (*path, key))
