"""Streaming client of the load generator; does little for each token."""

from __future__ import annotations

import dataclasses
import enum
import itertools
import json
import time
from collections.abc import Mapping
from http.client import HTTPConnection, HTTPException
from urllib.parse import urlsplit

_TOKEN = b'"content"'
_DONE = b'data: [DONE]'
_ERROR = b'"error"'
_PIECE_BYTES = 65_536
_OK = 200
_REFUSED = frozenset((429, 503))


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    whole = 'whole'
    refused = 'refused'
    late = 'late'
    failed = 'failed'


@dataclasses.dataclass(frozen=True)
class StreamRequest:
    """One streamed request; ``deadline_s`` counts from its arrival."""

    url: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class StreamResult:
    """What the caller saw of one request.

    Times are seconds of the monotonic clock; ``intended_at`` is when the
    request was to arrive, ``sent_at`` when the generator came to send it.
    ``times`` holds when each token came, ``status`` is 0 where there was
    no answer.
    """

    intended_at: float
    sent_at: float
    ended_at: float
    ending: Ending
    status: int
    times: tuple[float, ...]

    @property
    def tokens(self) -> int:
        """Number of tokens."""
        return len(self.times)

    @property
    def first_token_s(self) -> float | None:
        """Seconds from the intended arrival to the first token."""
        return self.times[0] - self.intended_at if self.times else None

    @property
    def elapsed_s(self) -> float:
        """Seconds from the intended arrival to the end."""
        return self.ended_at - self.intended_at


@dataclasses.dataclass
class _Reading:
    """A stream as far as it has been read."""

    status: int = 0
    done: bool = False
    failed: bool = False
    times: list[float] = dataclasses.field(default_factory=list)


def stream(request: StreamRequest, intended_at: float) -> StreamResult:
    """Send one request and read its stream to the end.

    Args:
        request: what to send.
        intended_at: when the request was to arrive, monotonic seconds.
    """
    reading = _Reading()
    sent_at = time.monotonic()
    place = urlsplit(request.url)
    connection = HTTPConnection(
        place.hostname or '',
        place.port,
        timeout=request.deadline_s,
    )
    try:
        _converse(connection, request, reading)
    except (OSError, HTTPException):
        reading.failed = True
    finally:
        connection.close()
    ended_at = time.monotonic()
    late = ended_at - intended_at > request.deadline_s
    return StreamResult(
        intended_at=intended_at,
        sent_at=sent_at,
        ended_at=ended_at,
        ending=_ending(reading, late=late),
        status=reading.status,
        times=tuple(reading.times),
    )


def chat_body(model: str, prompt: str, tokens: int) -> bytes:
    """Return the body of a streamed chat request."""
    return json.dumps({
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': tokens,
        'stream': True,
    }).encode()


def _converse(
    connection: HTTPConnection,
    request: StreamRequest,
    reading: _Reading,
) -> None:
    connection.request(
        'POST',
        request.path,
        body=request.body,
        headers=dict(request.headers),
    )
    response = connection.getresponse()
    reading.status = response.status
    if response.status != _OK:
        response.read()
        return
    while not reading.done:
        piece = response.read1(_PIECE_BYTES)
        if not piece:
            return
        _take(piece, reading)


def _take(piece: bytes, reading: _Reading) -> None:
    if _DONE in piece:
        reading.done = True
    if _ERROR in piece:
        reading.failed = True
        return
    now = time.monotonic()
    reading.times.extend(itertools.repeat(now, piece.count(_TOKEN)))


def _ending(reading: _Reading, *, late: bool) -> Ending:
    if reading.status in _REFUSED:
        return Ending.refused
    if reading.failed or not reading.done:
        return Ending.failed
    return Ending.late if late else Ending.whole
