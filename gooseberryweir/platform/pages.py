"""Splits lists of the store into their objects.

Other programs write to the store too. JSON allows more than a strict decoder
accepts, such as escapes of lone surrogates or very deep nesting. What one
object holds must not make the others unreadable.
"""

from collections.abc import Iterator
import itertools
import json
import re

import eventlet
import msgspec

# Strings, and runs of brackets that open or close; all other bytes don't matter
# for the structure.
_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{]++|[\]}]++', re.DOTALL)
_OPENING = b"[{"
_CLOSING = b"]}"
_ITEMS_START = re.compile(rb"\s*:\s*\[")
_ITEMS_KEY = b'"items"'
_METADATA_START = re.compile(rb"\s*:\s*\{")
_METADATA_KEY = b'"metadata"'
_NAME_START = re.compile(rb'\s*:\s*(?=")')
_NAME_KEY = b'"name"'
# Number of tokens after which other tasks may run, a few milliseconds of work.
_TOKENS_PER_TURN = 10_000


class _Metadata(msgspec.Struct):
    name: str


class _Named(msgspec.Struct):
    """An object of the store, of which only the name is decoded."""

    metadata: _Metadata


def _tokens(body: bytes, start: int = 0) -> Iterator[re.Match[bytes]]:
    """Yields the tokens from a position on; lets other tasks run meanwhile."""
    return itertools.chain.from_iterable(
        _turns(_TOKEN.finditer(body, start), len(body))
    )


def _turns(
    tokens: Iterator[re.Match[bytes]], max_tokens: int
) -> Iterator[Iterator[re.Match[bytes]]]:
    """Yields parts of the tokens; lets other tasks run after each."""
    for _ in range(0, max_tokens, _TOKENS_PER_TURN):
        yield itertools.islice(tokens, _TOKENS_PER_TURN)
        eventlet.sleep(0)


def split(body: bytes) -> tuple[bytes, list[msgspec.Raw]]:
    """Splits a list without decoding its objects.

    Args:
        body: JSON of the list, an object with the field `items`.

    Returns:
        The JSON with an empty `items`, and the JSON of each object.

    Raises:
        ValueError: The list has no field `items`, or it does not end.
    """
    start = _find_items(body)
    items: list[msgspec.Raw] = []
    depth = 0
    item_start = start
    for token in _tokens(body, start):
        size = len(token[0])
        if token[0][0] in _OPENING:
            if depth == 0:
                item_start = token.start()
            depth += size
        elif token[0][0] in _CLOSING:
            item_end = token.start() + depth
            if 0 < depth <= size:
                items.append(msgspec.Raw(body[item_start:item_end]))
            if size > depth:
                return body[:start] + body[item_end:], items
            depth -= size
    raise ValueError("the list does not end")


def _find_items(body: bytes) -> int:
    """Returns the position after the bracket that opens the field `items`.

    Raises:
        ValueError: There is no such field.
    """
    depth = 0
    for token in _tokens(body):
        if token[0][0] in _OPENING:
            depth += len(token[0])
        elif token[0][0] in _CLOSING:
            depth -= len(token[0])
        elif depth == 1 and token[0] == _ITEMS_KEY:
            opening = _ITEMS_START.match(body, token.end())
            if opening is not None:
                return opening.end()
    raise ValueError("the list has no items")


def object_name(item: msgspec.Raw) -> str | None:
    """Returns the name of an object, also if the rest of it is unreadable.

    Returns:
        The name; None if it can't be read either.
    """
    try:
        return msgspec.json.decode(item, type=_Named).metadata.name
    except (ValueError, RecursionError):
        return _find_name(bytes(item))


def _find_name(item: bytes) -> str | None:
    """Returns the name of an object that a strict decoder refuses, or None."""
    depth = 0
    in_metadata = False
    for token in _tokens(item):
        if token[0][0] in _OPENING:
            depth += len(token[0])
        elif token[0][0] in _CLOSING:
            depth -= len(token[0])
        elif depth == 1:
            in_metadata = (
                token[0] == _METADATA_KEY
                and _METADATA_START.match(item, token.end()) is not None
            )
        elif depth == 2 and in_metadata and token[0] == _NAME_KEY:
            start = _NAME_START.match(item, token.end())
            value = start and _TOKEN.match(item, start.end())
            return _decode_name(value[0]) if value else None
    return None


def _decode_name(value: bytes) -> str | None:
    """Decodes a string; returns None if it is empty or no text."""
    try:
        name = str(json.loads(value.decode("utf-8", "replace"), strict=False))
        # A lone surrogate has no UTF-8 encoding.
        return name if name.encode("utf-8") else None
    except ValueError:
        # The callers log what they skip.
        return None
