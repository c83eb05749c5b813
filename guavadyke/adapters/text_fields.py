"""Checks text fields of messages between entry hosts."""

from __future__ import annotations

_MAX_TEXT_LENGTH = 8192


def checked_text(text: object) -> str:
    """Return a text field.

    Raises:
        ValueError: the text is missing or too long.
    """
    if isinstance(text, str) and len(text) <= _MAX_TEXT_LENGTH:
        return text
    raise ValueError('a text field is missing or too long')
