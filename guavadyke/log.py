"""Logging: one line of key=value pairs for each event."""

from __future__ import annotations

import json

from absl import logging

_PLAIN = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/+@',
)


def _text(value: object) -> str:
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text, ensure_ascii=True)


def line(event: str, **fields: object) -> str:
    """Format one event.

    Args:
        event: name of the event, lower case with underscores.
        fields: key and value pairs; values are quoted where needed.

    Returns:
        One line of key=value pairs, the event first.
    """
    pairs = [f'event={_text(event)}']
    pairs.extend(f'{key}={_text(value)}' for key, value in fields.items())
    return ' '.join(pairs)


class EventLogger:
    """Logs events with fields that every line of this host carries.

    Args:
        common: fields for each line, such as entry host and zone.
    """

    def __init__(self, **common: object) -> None:
        self._common = common

    def info(self, event: str, **fields: object) -> None:
        """Log an ordinary event."""
        logging.info('%s', line(event, **self._common, **fields))

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that an operator may have to look at."""
        logging.warning('%s', line(event, **self._common, **fields))

    def error(self, event: str, **fields: object) -> None:
        """Log a failure."""
        logging.error('%s', line(event, **self._common, **fields))


def configure(verbosity: str) -> None:
    """Set up logging of this process.

    Args:
        verbosity: one of ``debug``, ``info``, ``warning``, ``error``.
    """
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
