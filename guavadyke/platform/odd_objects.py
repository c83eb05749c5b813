"""Reads answers of the store that hold an object that cannot be parsed.

Parsers refuse a whole answer for one value: half of a surrogate pair, bytes
that are no UTF-8, a number or a nesting beyond what they bear. Such an object
is returned without its contents, so that only its own name is affected.
"""

from __future__ import annotations

import dataclasses
import json
import operator
import re
from collections.abc import Callable

# Structure consists of ASCII characters, which no part of a longer character
# looks like; so bytes are split as they are, one character for each.
_BYTES = 'latin-1'
_TOKENS = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_MEMBER = re.compile(
    r'(?P<name>"(?:[^"\\]|\\.)*")\s*:\s*(?P<member>.*)', re.DOTALL
)
_OPENING = frozenset('[{')
_CLOSING = frozenset(']}')


@dataclasses.dataclass(frozen=True)
class ReadableAnswer:
    """An answer of which every part can be read.

    ``emptied`` is the number of objects without contents, ``left_out`` that
    of objects that are missing since not even their names can be read.
    """

    body: bytes
    emptied: int
    left_out: int


class AnswerRepair:
    """Makes one answer readable.

    Args:
        list_name: the member of the answer that holds the list. Its elements
            are objects themselves, or members named ``Object`` of theirs.
        is_readable: whether the parser of the answer reads an element.
    """

    def __init__(
        self, list_name: str, is_readable: Callable[[bytes], bool]
    ) -> None:
        self._list_name = list_name
        self._is_readable = is_readable

    def __call__(self, body: bytes) -> ReadableAnswer:
        """Return the answer with readable objects only.

        Raises:
            ValueError: the body is no JSON object.
            RecursionError: a name is nested too deeply.
        """
        members = _members(body.decode(_BYTES))
        elements = _split(members.get(self._list_name, '[]'))
        readable = [self._readable(element) for element in elements]
        kept = [element for element in readable if element]
        members[self._list_name] = f'[{",".join(kept)}]'
        changed = sum(map(operator.ne, elements, readable))
        left_out = len(elements) - len(kept)
        return ReadableAnswer(
            _join(members).encode(_BYTES), changed - left_out, left_out
        )

    def _readable(self, element: str) -> str:
        """Return an element, without contents if it cannot be read.

        It is empty if its name cannot be read either.
        """
        if self._reads(element):
            return element
        name_only = _name_only(element)
        return name_only if self._reads(name_only) else ''

    def _reads(self, element: str) -> bool:
        return self._is_readable(element.encode(_BYTES))


def _name_only(element: str) -> str:
    """Return an element whose object has no contents, empty if it has none."""
    try:
        members = _members(element)
    except (ValueError, RecursionError):
        return ''
    changed = members.get('Object')
    if changed is None:
        metadata = members.get('Metadata', '{}')
        return _join({'Metadata': metadata, 'Spec': '""'})
    return _join({**members, 'Object': _name_only(changed) or '{}'})


def _join(members: dict[str, str]) -> str:
    pairs = (f'{json.dumps(name)}:{text}' for name, text in members.items())
    return f'{{{",".join(pairs)}}}'


def _members(text: str) -> dict[str, str]:
    """Return the members of a JSON object as JSON texts.

    Raises:
        ValueError: it is no JSON object.
    """
    named = [_MEMBER.fullmatch(part) for part in _split(text)]
    if not all(named):
        raise ValueError('a member has no name')
    return {
        json.loads(found['name']): found['member'] for found in named if found
    }


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
