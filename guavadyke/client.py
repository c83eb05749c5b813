"""HTTP client for the caller and operator ports."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterator, Mapping
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import ProtocolError
from urllib3.response import HTTPResponse

from guavadyke.adapters.connection_pool import BoundedHeadResponse
from guavadyke.errors import ErrorCode, Finding, GuavadykeError, RunStatus

_CONNECT_TIMEOUT_S = 2.0
_MIN_ERROR_STATUS = 400
_DATA_PREFIX = b'data: '
_END_OF_STREAM = b'[DONE]'


@dataclasses.dataclass(frozen=True)
class ClientAnswer:
    """A complete HTTP answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def document(self) -> Any:
        """Parse the body as JSON."""
        return json.loads(self.body)


class _EntryHostConnection(HTTPConnection):
    """A connection whose answers cannot be taken for whole if they are not.

    The pool of urllib3 ignores a reset while a request is sent, so that the
    end of an answer without a length may be that reset. Entry hosts frame
    every answer.
    """

    response_class = BoundedHeadResponse

    def getresponse(  # type: ignore[override]
        self,
    ) -> HTTPResponse:
        """Return the answer.

        Raises:
            ProtocolError: its end could not be told from a broken connection.
        """
        response = super().getresponse()
        if not response.chunked and response.length_remaining is None:
            raise ProtocolError('the answer has no length')
        return response


class _EntryHostPool(HTTPConnectionPool):
    ConnectionCls = _EntryHostConnection  # noqa: WPS115 a name of urllib3


class Client:
    """Sends requests to one port of an entry host.

    Args:
        url: ``http://IP:PORT``.
        bearer: bearer token: the caller's key or the operators' token.
        timeout_s: seconds without data after which a call fails.
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
        self._pool.pool_classes_by_scheme = {
            **self._pool.pool_classes_by_scheme,
            'http': _EntryHostPool,
        }

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> ClientAnswer:
        """Send a request and return the answer, whatever its status.

        Raises:
            GuavadykeError: ``outcome_unknown``, there was no answer.
        """
        try:
            response = self._pool.request(
                method,
                f'{self._url}{path}',
                body=body,
                headers=self._headers(headers),
            )
        except urllib3.exceptions.HTTPError as error:
            raise _no_answer_error(error) from error
        return ClientAnswer(
            status=response.status,
            headers=_lower_case_names(response.headers),
            body=response.data,
        )

    def expect(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> ClientAnswer:
        """Send a request and raise an error for a status of 400 or above.

        Raises:
            GuavadykeError: the error in the answer, or ``outcome_unknown``
                if there was no answer.
        """
        answer = self.call(method, path, body, headers)
        if answer.status >= _MIN_ERROR_STATUS:
            raise error_from_answer(answer)
        return answer

    def events(
        self,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
    ) -> Iterator[Any]:
        """Send a request and yield the JSON document of each event.

        Raises:
            GuavadykeError: the server answered with an error, or the stream
                ended without its end mark.
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
            raise _no_answer_error(error) from error
        try:
            yield from _iterate_events(response)
        finally:
            response.close()

    def _headers(self, headers: Mapping[str, str] | None) -> dict[str, str]:
        return {
            'Authorization': f'Bearer {self._bearer}',
            'Content-Type': 'application/json',
            **(headers or {}),
        }


def error_from_answer(answer: ClientAnswer) -> GuavadykeError:
    """Return the error in an answer, or ``internal`` if it has none."""
    try:
        return _error_from_document(answer.document())
    except (ValueError, KeyError, TypeError):
        return GuavadykeError(
            ErrorCode.internal,
            f'the server answered with status {answer.status}',
        )


def _error_from_document(document: Any) -> GuavadykeError:
    error = document['error']
    return GuavadykeError(
        ErrorCode(error['code']),
        error['message'],
        findings=tuple(Finding(**finding) for finding in error['findings']),
        run=RunStatus(error['run']),
    )


def _parse_event(payload: bytes) -> Any:
    document = json.loads(payload)
    if isinstance(document, dict) and 'error' in document:
        raise _error_from_document(document)
    return document


def _no_answer_error(error: Exception) -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.outcome_unknown, f'no answer from the server: {error}'
    )


def _lower_case_names(headers: Mapping[str, str]) -> dict[str, str]:
    return {name.lower(): text for name, text in headers.items()}


def _iterate_events(response: urllib3.BaseHTTPResponse) -> Iterator[Any]:
    if response.status >= _MIN_ERROR_STATUS:
        raise error_from_answer(
            ClientAnswer(
                status=response.status,
                headers=_lower_case_names(response.headers),
                body=response.read(),
            ),
        )
    for line in _iterate_lines(response):
        if not line.startswith(_DATA_PREFIX):
            continue
        payload = line.removeprefix(_DATA_PREFIX)
        if payload == _END_OF_STREAM:
            return
        yield _parse_event(payload)
    raise GuavadykeError(
        ErrorCode.backend_failed,
        'the stream ended without its end mark',
    )


def _iterate_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    rest = b''
    try:
        for piece in response.stream(None):
            *lines, rest = (rest + piece).split(b'\n')
            yield from (line.rstrip(b'\r') for line in lines)
    except urllib3.exceptions.HTTPError as error:
        raise _no_answer_error(error) from error
