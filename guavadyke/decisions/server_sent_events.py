"""Server-sent events in a stream of bytes: whole events and their order."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

_FIELD_ID = b'id'
_FIELD_DATA = b'data'
_SEPARATORS = (b'\n\n', b'\r\n\r\n')


class EventOrderError(Exception):
    """An event does not follow the one before it."""


@dataclasses.dataclass(frozen=True)
class StreamEvent:
    """One event: its bytes as they came, its id (None without) and data."""

    raw: bytes
    event_id: int | None
    data: bytes


class EventParser:
    """Cuts a stream into whole events and checks that their ids rise by 1.

    Args:
        last_id: id of the last event that the reader has; 0 for none.
    """

    def __init__(self, last_id: int = 0) -> None:
        self._last_id = last_id
        self._rest = b''

    @property
    def last_id(self) -> int:
        """Id of the last whole event."""
        return self._last_id

    @property
    def partial(self) -> bool:
        """Whether the stream stands in the middle of an event."""
        return bool(self._rest.strip())

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Yield the events that the piece completes.

        Raises:
            EventOrderError: an event is missing or comes twice.
        """
        self._rest += piece
        while True:
            end = _end_of_event(self._rest)
            if end < 0:
                return
            event = parse_event(self._rest[:end])
            self._rest = self._rest[end:]
            self._check(event)
            yield event

    def _check(self, event: StreamEvent) -> None:
        if event.event_id is None:
            return
        if event.event_id != self._last_id + 1:
            raise EventOrderError(
                f'event {event.event_id} follows event {self._last_id}',
            )
        self._last_id = event.event_id


def parse_event(raw: bytes) -> StreamEvent:
    """Return the event whose bytes these are."""
    event_id: int | None = None
    data = []
    for line in raw.splitlines():
        field, _colon, text = line.partition(b':')
        text = text.removeprefix(b' ')
        if field == _FIELD_DATA:
            data.append(text)
        elif field == _FIELD_ID and text.isdigit():
            event_id = int(text)
    return StreamEvent(raw, event_id, b'\n'.join(data))


def _end_of_event(text: bytes) -> int:
    """Return where the first event ends, -1 where none is whole."""
    ends = [
        found + len(separator)
        for separator in _SEPARATORS
        if (found := text.find(separator)) >= 0
    ]
    return min(ends, default=-1)
