"""Parser of server-sent events that checks the order of their ids."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

_FIELD_ID = b'id'
_FIELD_DATA = b'data'
# Bytes without the end of an event beyond this are no event.
_MAX_SHOWN_BYTES = 40
_MAX_EVENT_BYTES = 1_048_576
_SEPARATORS = (b'\n\n', b'\r\n\r\n')


class EventOrderError(Exception):
    """An event does not follow the previous one, or does not end."""


@dataclasses.dataclass(frozen=True)
class StreamEvent:
    """One server-sent event.

    ``raw`` is the event as received, with its separator. ``event_id`` is
    None if the event has no numeric id; ``data`` joins its data lines.
    """

    raw: bytes
    event_id: int | None
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it has no fields, as the blocks that keep a stream open."""
        return all(
            not line or line.startswith(b':') for line in self.raw.splitlines()
        )


class EventParser:
    """Splits a byte stream into events and checks that ids rise by 1.

    A stream that goes on has to do so with a numbered event; anything else is
    not part of it, such as the text of an error.

    Args:
        last_id: id of the last event already received; 0 for none.
    """

    def __init__(self, last_id: int = 0) -> None:
        self._last_id = last_id
        self._goes_on = last_id > 0
        self._buffer = b''

    @property
    def last_id(self) -> int:
        """Id of the last complete event."""
        return self._last_id

    @property
    def partial(self) -> bool:
        """Whether the bytes so far end within an event."""
        return bool(self._buffer.strip())

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Add received bytes and yield the events that they complete.

        Args:
            piece: the next bytes of the stream.

        Raises:
            EventOrderError: an event is missing, repeated or too large, or
                the stream goes on with something else.
        """
        self._buffer += piece
        while True:
            end = _end_of_event(self._buffer)
            if end < 0:
                break
            event = parse_event(self._buffer[:end])
            self._buffer = self._buffer[end:]
            self._check(event)
            yield event
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise EventOrderError(
                f'no event ends within {len(self._buffer)} bytes'
            )

    def _check(self, event: StreamEvent) -> None:
        if event.event_id is None:
            if self._goes_on and not event.is_comment:
                raise EventOrderError(
                    f'no event follows event {self._last_id}, but '
                    f'{event.raw[:_MAX_SHOWN_BYTES]!r}',
                )
            return
        self._goes_on = False
        if event.event_id != self._last_id + 1:
            raise EventOrderError(
                f'event {event.event_id} follows event {self._last_id}',
            )
        self._last_id = event.event_id


def parse_event(raw: bytes) -> StreamEvent:
    """Parse the bytes of one event."""
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
    """Return the end offset of the first event, -1 if incomplete."""
    ends = [
        found + len(separator)
        for separator in _SEPARATORS
        if (found := text.find(separator)) >= 0
    ]
    return min(ends, default=-1)
