"""Streaming HTTP client of the load generator.

It counts tokens by searching the bytes of the stream for markers, without
parsing events, so that the client costs little CPU time per token.
"""

from __future__ import annotations

import dataclasses
import enum
import itertools
import json
import time
from collections.abc import Mapping
from http.client import HTTPConnection, HTTPException
from urllib.parse import urlsplit

_TOKEN_MARKER = b'"content"'
_END_MARKER = b'data: [DONE]'
_ERROR_MARKER = b'"error"'
_READ_BYTES = 65_536
_STATUS_OK = 200
_REFUSED_STATUSES = frozenset((429, 503))


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    whole = 'whole'
    refused = 'refused'
    late = 'late'
    failed = 'failed'


@dataclasses.dataclass(frozen=True)
class StreamRequest:
    """One streamed request.

    ``deadline_s`` is in seconds from the intended arrival.
    """

    url: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class StreamResult:
    """Outcome and timing of one request as its caller saw it.

    Times are seconds of the monotonic clock. ``intended_at`` is the
    scheduled arrival, ``sent_at`` when the generator actually sent the
    request. ``token_times`` holds the arrival of each token. ``status`` is
    the HTTP status, 0 if there was no response.
    """

    intended_at: float
    sent_at: float
    ended_at: float
    ending: Ending
    status: int
    token_times: tuple[float, ...]

    @property
    def tokens(self) -> int:
        """Number of tokens received."""
        return len(self.token_times)

    @property
    def first_token_s(self) -> float | None:
        """Seconds from the intended arrival to the first token, if any."""
        return (
            self.token_times[0] - self.intended_at if self.token_times else None
        )

    @property
    def elapsed_s(self) -> float:
        """Seconds from the intended arrival to the end of the stream."""
        return self.ended_at - self.intended_at


@dataclasses.dataclass
class _StreamState:
    """State of a stream that is being read."""

    status: int = 0
    done: bool = False
    failed: bool = False
    token_times: list[float] = dataclasses.field(default_factory=list)


def stream(request: StreamRequest, intended_at: float) -> StreamResult:
    """Send one request and read its stream to the end.

    Connection and protocol errors are reported as a failed result.

    Args:
        request: the request to send.
        intended_at: scheduled arrival, in seconds of the monotonic clock.
    """
    stream_state = _StreamState()
    sent_at = time.monotonic()
    url_parts = urlsplit(request.url)
    connection = HTTPConnection(
        url_parts.hostname or '',
        url_parts.port,
        timeout=request.deadline_s,
    )
    try:
        _send_and_read(connection, request, stream_state)
    except (OSError, HTTPException):
        stream_state.failed = True
    finally:
        connection.close()
    ended_at = time.monotonic()
    late = ended_at - intended_at > request.deadline_s
    return StreamResult(
        intended_at=intended_at,
        sent_at=sent_at,
        ended_at=ended_at,
        ending=_judge_ending(stream_state, late=late),
        status=stream_state.status,
        token_times=tuple(stream_state.token_times),
    )


def chat_body(model: str, prompt: str, tokens: int) -> bytes:
    """Return the JSON body of a streamed chat request."""
    return json.dumps({
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': tokens,
        'stream': True,
    }).encode()


def _send_and_read(
    connection: HTTPConnection,
    request: StreamRequest,
    stream_state: _StreamState,
) -> None:
    connection.request(
        'POST',
        request.path,
        body=request.body,
        headers=dict(request.headers),
    )
    response = connection.getresponse()
    stream_state.status = response.status
    if response.status != _STATUS_OK:
        response.read()
        return
    while not stream_state.done:
        chunk = response.read1(_READ_BYTES)
        if not chunk:
            return
        _process_chunk(chunk, stream_state)


def _process_chunk(chunk: bytes, stream_state: _StreamState) -> None:
    if _END_MARKER in chunk:
        stream_state.done = True
    if _ERROR_MARKER in chunk:
        stream_state.failed = True
        return
    now = time.monotonic()
    stream_state.token_times.extend(
        itertools.repeat(now, chunk.count(_TOKEN_MARKER))
    )


def _judge_ending(stream_state: _StreamState, *, late: bool) -> Ending:
    if stream_state.status in _REFUSED_STATUSES:
        return Ending.refused
    if stream_state.failed or not stream_state.done:
        return Ending.failed
    return Ending.late if late else Ending.whole
