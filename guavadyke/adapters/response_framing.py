"""Heads of responses that say clearly where the body ends.

The base class skips what it cannot parse of a head. If that was the length of
the body, the end of the connection would pass for its end.
"""

from __future__ import annotations

import re
from email import errors
from http import client

_LENGTH = re.compile(r'\d+', re.ASCII)
# Defects of parts that a body has; a head has none.
_BODY_DEFECTS = (
    errors.InvalidMultipartContentTransferEncodingDefect,
    errors.MultipartInvariantViolationDefect,
    errors.NoBoundaryInMultipartDefect,
    errors.StartBoundaryNotFoundDefect,
)


def check_head(head: client.HTTPMessage) -> None:
    """Check that all lines of a head are headers, and the framing is known.

    Raises:
        HTTPException: the end of the body cannot be told.
    """
    if _has_unparsed_lines(head):
        raise client.HTTPException('the head has a line that is no header')
    lengths = set(head.get_all('content-length', ()))
    if len(lengths) > 1 or not all(map(_is_length, lengths)):
        raise client.HTTPException(f'the length is unclear: {lengths}')
    for coding in head.get_all('transfer-encoding', ()):
        if coding.lower() != 'chunked':
            raise client.HTTPException(f'unknown transfer coding {coding!r}')


def _has_unparsed_lines(head: client.HTTPMessage) -> bool:
    defects = (
        defect
        for defect in head.defects
        if not isinstance(defect, _BODY_DEFECTS)
    )
    return any(defects) or bool(not head.is_multipart() and head.get_payload())


def _is_length(text: str) -> bool:
    return _LENGTH.fullmatch(text.strip()) is not None
