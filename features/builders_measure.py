"""Builders and small servers for the tests of the measuring tool."""

from __future__ import annotations

import contextlib
import itertools
import time
from collections.abc import Generator, Iterator, Mapping

from guavadyke.adapters.clock import SystemClock
from guavadyke.filters.base import Answer, Exchange, Handler
from guavadyke.http_application import (
    HttpApplication,
    Route,
)
from guavadyke.http_server import HttpServer, HttpServerSettings
from guavadyke.log import EventLogger
from guavadyke.measure.client import StreamRequest
from guavadyke.measure.report import Report, figure
from guavadyke.measure.standin_calls import EngineRecord
from guavadyke.settings import ListenSettings

PATH = '/v1/chat/completions'
TOKEN_EVENT = b'data: {"choices": [{"delta": {"content": "a"}}]}\n\n'
DONE_EVENT = b'data: [DONE]\n\n'
ERROR_EVENT = b'data: {"error": {"code": "backend_failed"}}\n\n'


def stream_handler(tokens: int, first_s: float, ending: bytes) -> Handler:
    """Return a handler that streams some tokens and then ``ending``."""

    def answer(_exchange: Exchange) -> Answer:
        return Answer(
            status=200,
            body=_pieces(tokens, first_s, ending),
            content_type='text/event-stream',
        )

    return answer


def _pieces(tokens: int, first_s: float, ending: bytes) -> Iterator[bytes]:
    time.sleep(first_s)
    for _ in range(tokens):
        yield TOKEN_EVENT
    if ending:
        yield ending


@contextlib.contextmanager
def serving(handler: Handler) -> Generator[str, None, None]:
    """Serve the handler on loopback and yield its URL."""
    server = HttpServer(
        HttpApplication(
            [Route(PATH, {'POST': handler})],
            SystemClock(),
            EventLogger(),
        ),
        HttpServerSettings(
            listen=ListenSettings.model_validate({
                'ip': '127.0.0.1',
                'port': 0,
            }),
            threads=4,
        ),
    )
    server.start()
    try:
        yield f'http://127.0.0.1:{server.port}'
    finally:
        server.close()


def stream_request(url: str, deadline_s: float = 10) -> StreamRequest:
    """Return a request to a served handler."""
    return StreamRequest(
        url=url,
        path=PATH,
        headers={'Authorization': 'Bearer key'},
        body=b'{}',
        deadline_s=deadline_s,
    )


def engine_record(
    prompt: str,
    started: float,
    ended: float | None,
) -> EngineRecord:
    """Return a completion in an engine's history."""
    return EngineRecord(
        engine='engine-1',
        request_id=prompt,
        host_id='entry-1',
        prompt=prompt,
        outcome='completed',
        started=started,
        ended=ended,
    )


def slope_report(slopes: Mapping[str, tuple[float, float]]) -> Report:
    """Return a report of slopes, each given as slope and intercept."""
    return Report(
        measurement='slopes',
        figures=tuple(
            itertools.chain.from_iterable(
                (
                    figure(f'{name}.slope', slope, 'u/size'),
                    figure(f'{name}.slope_error', 0, 'u/size'),
                    figure(f'{name}.intercept', intercept, 'u'),
                    figure(f'{name}.intercept_error', 0, 'u'),
                )
                for name, (slope, intercept) in slopes.items()
            ),
        ),
        policy={},
        seed=1,
        seconds=1,
        commit='made-up',
        place='embedded',
    )
