"""Reads answers of the store that hold an object that cannot be parsed.

Parsers refuse a whole answer for one value that is nested too deeply or a
number that is too large. Such an object is returned without its contents.
"""

from __future__ import annotations

import json
import re

_TOKENS = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_OPENING = frozenset('[{')
_CLOSING = frozenset(']}')


def without_contents(body: bytes, list_name: str) -> bytes:
    """Return an answer in which unreadable objects have no contents.

    Args:
        body: a JSON object with a list of objects.
        list_name: the member that holds the list. Its elements are objects
            themselves, or members named ``Object`` of theirs.
    """
    members = _members(body.decode(errors='replace'))
    elements = map(_readable, _split(members.get(list_name, '[]')))
    members[list_name] = f'[{",".join(elements)}]'
    return _join(members)


def _readable(element: str) -> str:
    """Return an element, without contents if it cannot be read."""
    if _is_readable(element):
        return element
    members = _members(element)
    changed = members.get('Object')
    if changed is None:
        return _metadata_only(element)
    return _join({**members, 'Object': _metadata_only(changed)}).decode()


def _metadata_only(element: str) -> str:
    metadata = _members(element).get('Metadata', '{}')
    return json.dumps({'Metadata': json.loads(metadata), 'Spec': ''})


def _is_readable(element: str) -> bool:
    try:
        json.dumps(json.loads(element), allow_nan=False)
    except (ValueError, RecursionError):
        return False
    return True


def _join(members: dict[str, str]) -> bytes:
    pairs = (f'{json.dumps(name)}:{text}' for name, text in members.items())
    return f'{{{",".join(pairs)}}}'.encode()


def _members(text: str) -> dict[str, str]:
    """Return the members of a JSON object as JSON texts."""
    pairs = (part.partition(':') for part in _split(text))
    return {json.loads(name): member for name, _colon, member in pairs}


def _split(text: str) -> list[str]:
    """Return the parts of a JSON list or object, whatever their depth."""
    depth = 0
    start = 0
    parts = []
    for token in _TOKENS.finditer(text):
        if token[0] in _OPENING:
            depth += 1
            start = token.end() if depth == 1 else start
        elif token[0] in _CLOSING:
            depth -= 1
        if depth == (token[0] not in _CLOSING) and token[0] in ',]}':
            parts.append(text[start : token.start()].strip())
            start = token.end()
    return [part for part in parts if part]
