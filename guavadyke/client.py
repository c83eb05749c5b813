"""HTTP client of the caller and operator ports, for commands and tests."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterator, Mapping
from typing import Any

import urllib3

from guavadyke.errors import ErrorCode, Finding, GuavadykeError, RunStatus

_CONNECT_TIMEOUT_S = 2.0
_ERROR_STATUS = 400
_DATA_PREFIX = b'data: '
_DONE = b'[DONE]'


@dataclasses.dataclass(frozen=True)
class ClientAnswer:
    """An answer that was read to its end; header names in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def document(self) -> Any:
        """Return the body read as JSON."""
        return json.loads(self.body)


class Client:
    """Calls one port of an entry host.

    Args:
        url: ``http://IP:PORT``.
        bearer: caller's key or operator's token.
        timeout_s: seconds of silence after which a call fails.
    """

    def __init__(self, url: str, bearer: str, timeout_s: float = 90) -> None:
        self._url = url.rstrip('/')
        self._bearer = bearer
        self._pool = urllib3.PoolManager(
            retries=False,
            maxsize=64,
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_S,
                read=timeout_s,
            ),
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> ClientAnswer:
        """Send a request and read the whole answer, also an error's.

        Raises:
            GuavadykeError: there was no answer.
        """
        try:
            response = self._pool.request(
                method,
                f'{self._url}{path}',
                body=body,
                headers=self._headers(headers),
            )
        except urllib3.exceptions.HTTPError as error:
            raise _no_answer(error) from error
        return ClientAnswer(
            status=response.status,
            headers=_lower(response.headers),
            body=response.data,
        )

    def expect(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> ClientAnswer:
        """Send a request whose answer must not be an error.

        Raises:
            GuavadykeError: the error that the answer tells of.
        """
        answer = self.call(method, path, body, headers)
        if answer.status >= _ERROR_STATUS:
            raise error_from(answer)
        return answer

    def events(
        self,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
    ) -> Iterator[Any]:
        """Send a request and yield each server-sent event's JSON.

        Raises:
            GuavadykeError: an error, or a stream without its end mark.
        """
        try:
            response = self._pool.request(
                'POST',
                f'{self._url}{path}',
                body=body,
                headers=self._headers(headers),
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise _no_answer(error) from error
        try:
            yield from _events(response)
        finally:
            response.close()

    def _headers(self, headers: Mapping[str, str] | None) -> dict[str, str]:
        return {
            'Authorization': f'Bearer {self._bearer}',
            'Content-Type': 'application/json',
            **(headers or {}),
        }


def error_from(answer: ClientAnswer) -> GuavadykeError:
    """Return the error that an answer tells of."""
    try:
        return _told(answer.document())
    except (ValueError, KeyError, TypeError):
        return GuavadykeError(
            ErrorCode.internal,
            f'the answer has status {answer.status}',
        )


def _told(document: Any) -> GuavadykeError:
    told = document['error']
    return GuavadykeError(
        ErrorCode(told['code']),
        told['message'],
        findings=tuple(Finding(**found) for found in told['findings']),
        run=RunStatus(told['run']),
    )


def _event(payload: bytes) -> Any:
    document = json.loads(payload)
    if isinstance(document, dict) and 'error' in document:
        raise _told(document)
    return document


def _no_answer(error: Exception) -> GuavadykeError:
    return GuavadykeError(ErrorCode.outcome_unknown, f'no answer: {error}')


def _lower(headers: Mapping[str, str]) -> dict[str, str]:
    return {name.lower(): text for name, text in headers.items()}


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[Any]:
    if response.status >= _ERROR_STATUS:
        raise error_from(
            ClientAnswer(
                status=response.status,
                headers=_lower(response.headers),
                body=response.read(),
            ),
        )
    for line in _lines(response):
        if not line.startswith(_DATA_PREFIX):
            continue
        payload = line.removeprefix(_DATA_PREFIX)
        if payload == _DONE:
            return
        yield _event(payload)
    raise GuavadykeError(
        ErrorCode.backend_failed,
        'the stream ended without its end mark',
    )


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    rest = b''
    try:
        for piece in response.stream(None):
            *lines, rest = (rest + piece).split(b'\n')
            yield from (line.rstrip(b'\r') for line in lines)
    except urllib3.exceptions.HTTPError as error:
        raise _no_answer(error) from error
