"""Structured logging: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import logging as standard_logging

from absl import logging

from guavadyke.log_writer import LogWriter

_STANDARD_ERROR = 2
_UNQUOTED_CHARACTERS = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/+@',
)


def _format_value(value: object) -> str:
    text = str(value)
    if text and _UNQUOTED_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text, ensure_ascii=True)


def line(event: str, **fields: object) -> str:
    """Format one event.

    Args:
        event: name of the event, in lower case with underscores.
        fields: values by key; a value with special characters is quoted as
            a JSON string.

    Returns:
        One line of key=value pairs, the event first.
    """
    pairs = [f'event={_format_value(event)}']
    pairs.extend(
        f'{key}={_format_value(value)}' for key, value in fields.items()
    )
    return ' '.join(pairs)


class EventLogger:
    """Logs events, each with a set of common fields.

    Args:
        common: fields of every line, such as the entry host and its zone.
    """

    def __init__(self, **common: object) -> None:
        self._common = common

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""
        logging.info('%s', line(event, **self._common, **fields))

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that an operator may have to look at."""
        logging.warning('%s', line(event, **self._common, **fields))

    def error(self, event: str, **fields: object) -> None:
        """Log a failure."""
        logging.error('%s', line(event, **self._common, **fields))


def configure(verbosity: str) -> None:
    """Set up logging for this process, to standard error.

    Args:
        verbosity: lowest severity to log: ``debug``, ``info``, ``warning``
            or ``error``.
    """
    root = standard_logging.getLogger()
    for handler in tuple(root.handlers):
        root.removeHandler(handler)
    root.addHandler(LogWriter(_STANDARD_ERROR, logging.PythonFormatter()))
    logging.set_verbosity(verbosity)


def dropped_records() -> dict[str, int]:
    """Return how many records this process has dropped so far, by kind.

    Records are dropped while nobody reads the log.
    """
    writers = (
        handler
        for handler in standard_logging.getLogger().handlers
        if isinstance(handler, LogWriter)
    )
    return next((writer.dropped for writer in writers), {})
