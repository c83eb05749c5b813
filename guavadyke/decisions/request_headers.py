"""Which headers of callers reach backend servers, and which can be sent at all.

Callers choose the headers of their requests and of the items of their jobs.
Some of them say where a request ends on its connection. If a server gets such a
header beside those of the host, it may take a part of the body for another
request.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Iterator, Mapping

# Headers that concern one connection (RFC 9110, 7.6.1, and by its older name
# RFC 2616, 13.5.1), and the length of the body, which is stated anew on each
# connection.
CONNECTION_HEADERS = frozenset((
    'connection',
    'content-length',
    'expect',
    'http2-settings',
    'keep-alive',
    'proxy-authenticate',
    'proxy-authorization',
    'proxy-connection',
    'te',
    'trailer',
    'trailers',
    'transfer-encoding',
    'upgrade',
))
# Pattern of paths, and of ids that servers return as they got them.
VISIBLE_TEXT = r'[\x21-\x7e]+'
_TARGET = re.compile(VISIBLE_TEXT)
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# Visible characters, spaces and tabs of Latin-1, in which headers are sent.
_TEXT = re.compile(r'[\t\x20-\x7e\x80-\xff]*')


def header_key(name: str) -> str:
    """Return what is equal for names that a server may take for the same."""
    return name.strip().lower().replace('_', '-')


def without_headers(
    headers: Mapping[str, str], keys: Collection[str]
) -> dict[str, str]:
    """Return the headers but those with one of the keys.

    Args:
        headers: header names and values.
        keys: what ``header_key`` returns of the names that are left out.
    """
    return {
        name: text
        for name, text in headers.items()
        if header_key(name) not in keys
    }


def end_to_end_headers(
    headers: Mapping[str, str], always: Collection[str] = ()
) -> dict[str, str]:
    """Return the headers that do not concern one connection only.

    Left out are also the headers that ``Connection`` names. Of several names
    that a server may take for the same, the first one is returned.

    Args:
        headers: header names and values.
        always: keys of headers that servers get, whatever ``Connection`` names.
    """
    distinct: dict[str, tuple[str, str]] = {}
    for name, text in headers.items():
        distinct.setdefault(header_key(name), (name.strip(), text))
    _name, options = distinct.get('connection', ('', ''))
    named = set(map(header_key, options.split(',')))
    return without_headers(
        dict(distinct.values()), CONNECTION_HEADERS | named.difference(always)
    )


def is_token(text: str) -> bool:
    """Return whether a text may be a method or the name of a header."""
    return _TOKEN.fullmatch(text) is not None


def is_target(text: str) -> bool:
    """Return whether a text may be a path with a query."""
    return _TARGET.fullmatch(text) is not None


def header_defects(headers: Mapping[str, str]) -> Iterator[str]:
    """Yield why headers cannot be sent, nothing if they can.

    Spaces around names are of no account.
    """
    known: dict[str, str] = {}
    for name, text in headers.items():
        if not is_token(name.strip()):
            yield f'{name!r} is not the name of a header'
        if _TEXT.fullmatch(text) is None:
            yield f'the value of {name!r} has characters that cannot be sent'
        if known.setdefault(header_key(name), text) != text:
            yield f'{name!r} is there twice with different values'
