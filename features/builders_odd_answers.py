"""Generated answers of a store in which other writers have left entries."""

from __future__ import annotations

import json
import types

from hypothesis import strategies as st

from features import builders_users_platform as users
from guavadyke.adapters.platform_calls import PlatformCall, PlatformReply

_ADDRESS = '127.0.0.1:8000'
_STATUS = 200
# The escaped first half of a surrogate pair.
_HALF_PAIR = b'"%cud83d"' % ord('\\')
# Texts that some parser refuses, and bytes that are no JSON at all.
_LEAVES = (
    b'null',
    b'1e999',
    b'-1e999',
    b'9' * 5000,
    _HALF_PAIR,
    _HALF_PAIR.replace(b'd83d', b'dc00'),
    b'"\xff\xfe"',
    b'"\xc3"',
    rb'"a:b,c]}\""',
    b'NaN',
    b'tru',
    b'01',
    b'"x" "y"',
    b'"\x01"',
    b'""',
)
_KEYS = (b'"Service"', b'"a:b"', _HALF_PAIR, b'"Metadata"', b'"{"', b'5')
_DEPTHS = (150, 250, 900, 3000)
_LONG_TEXT = b'"%b"' % (b'x' * 20_000)


def _list(parts: list[bytes]) -> bytes:
    return b'[%b]' % b','.join(parts)


def _object(pairs: list[tuple[bytes, bytes]]) -> bytes:
    return b'{%b}' % b','.join(b'%b:%b' % pair for pair in pairs)


def _texts() -> st.SearchStrategy[bytes]:
    """Return values of any shape, most of them refused by a parser."""
    nested = st.sampled_from(_DEPTHS).map(
        lambda deep: b'[' * deep + b']' * deep
    )
    leaves = st.one_of(st.sampled_from(_LEAVES), nested, st.just(_LONG_TEXT))
    return st.recursive(
        leaves,
        lambda inner: st.one_of(
            st.lists(inner, max_size=3).map(_list),
            st.lists(st.tuples(st.sampled_from(_KEYS), inner), max_size=3).map(
                _object
            ),
        ),
        max_leaves=4,
    )


def _element(name: bytes, spec: bytes) -> bytes:
    return b'{"Metadata":{"Name":%b,"Rev":2},"Spec":%b,"Status":null}' % (
        name,
        spec,
    )


def sound_element(name: str) -> bytes:
    """Return the element of an engine that can be used."""
    spec = json.dumps(users.engine_entry(_ADDRESS)).encode()
    return _element(json.dumps(name).encode(), spec)


def odd_elements() -> st.SearchStrategy[bytes]:
    """Return elements of which none names an engine to use."""
    names = st.sampled_from((
        b'"a-odd"',
        _HALF_PAIR,
        b'7',
        b'null',
        b'"\xff"',
    ))
    return st.one_of(st.builds(_element, names, _texts()), _texts())


def listing(elements: list[bytes]) -> bytes:
    """Return an answer to a list."""
    return b'{"Items":%b,"HasMore":false,"AsOf":9}' % _list(elements)


def changes(elements: list[bytes]) -> bytes:
    """Return an answer to a watch."""
    events = [b'{"Deleted":false,"Object":%b}' % one for one in elements]
    return b'{"AsOf":9,"events":%b}' % _list(events)


def fixed_calls(body: bytes) -> types.SimpleNamespace:
    """Return calls to a platform that always answers with this body."""

    def answer(_call: PlatformCall, *_wait_s: float) -> PlatformReply:
        return PlatformReply(_STATUS, 1, body)

    return types.SimpleNamespace(read=answer, watch=answer)
