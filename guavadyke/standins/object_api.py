"""Object calls of the platform's protocol."""

from __future__ import annotations

import base64
import dataclasses
import re

from guavadyke.standins.control import refusal
from guavadyke.standins.faults import FaultBoard, PlatformFaults
from guavadyke.standins.http import (
    StandinAnswer,
    StandinRequest,
    json_answer,
)
from guavadyke.standins.object_table import (
    ConditionFailedError,
    ObjectState,
    ObjectTable,
    RevisionTooOldError,
)

MAX_VALUE_BYTES = 1_048_576
_DEFAULT_LIMIT = '500'
_MAX_LIMIT = 1000
_DEFAULT_WAIT_S = '20'
_MAX_WAIT_S = 60
_FROM_START = '0'


class ObjectApi:
    """Answers calls about objects.

    Args:
        table: the objects.
        board: tells how stale reads and watches are.
    """

    def __init__(
        self,
        table: ObjectTable,
        board: FaultBoard[PlatformFaults],
    ) -> None:
        self._table = table
        self._board = board

    def read(
        self,
        _request: StandinRequest,
        match: re.Match[str],
    ) -> StandinAnswer:
        """Return one object."""
        state = self._table.read(
            match['kind'],
            match['name'],
            self._board.current.stale_s,
        )
        if state is None:
            return refusal(404, 'no such object')
        return StandinAnswer(
            200,
            state.body or b'',
            {
                'Content-Type': 'application/octet-stream',
                'ETag': f'"{state.version}"',
            },
        )

    def list_page(
        self,
        request: StandinRequest,
        match: re.Match[str],
    ) -> StandinAnswer:
        """Return a page of objects by name."""
        limit = int(request.query.get('limit', _DEFAULT_LIMIT))
        bodies = request.query.get('bodies', '1') == '1'
        page = self._table.page(
            match['kind'],
            request.query.get('prefix', ''),
            request.query.get('after', ''),
            min(limit, _MAX_LIMIT),
            self._board.current.stale_s,
        )
        return json_answer({
            'revision': page.revision,
            'more': page.more,
            'objects': [
                _object_document(state, body=bodies) for state in page.objects
            ],
        })

    def write(
        self,
        request: StandinRequest,
        match: re.Match[str],
    ) -> StandinAnswer:
        """Create or replace an object."""
        if len(request.body) > MAX_VALUE_BYTES:
            return refusal(413, f'more than {MAX_VALUE_BYTES} bytes')
        return self._change(request, match, request.body)

    def delete(
        self,
        request: StandinRequest,
        match: re.Match[str],
    ) -> StandinAnswer:
        """Delete an object."""
        return self._change(request, match, None)

    def watch(
        self,
        request: StandinRequest,
        match: re.Match[str],
    ) -> StandinAnswer:
        """Wait for changes of a kind."""
        after = int(request.query.get('after', '0'))
        wait_s = float(request.query.get('wait', _DEFAULT_WAIT_S))
        if self._board.current.watches == 'silent':
            request.connection.hang(bool)
        try:
            changes = self._table.changes(
                match['kind'],
                after,
                min(wait_s, _MAX_WAIT_S),
            )
        except RevisionTooOldError:
            return refusal(410, 'the revision is too old')
        if self._board.current.watches == 'stale':
            changes = dataclasses.replace(changes, revision=after, events=())
        return json_answer({
            'revision': changes.revision,
            'events': [
                _object_document(state, body=True) for state in changes.events
            ],
        })

    def _change(
        self,
        request: StandinRequest,
        match: re.Match[str],
        body: bytes | None,
    ) -> StandinAnswer:
        expected = _expected_version(request)
        try:
            state = self._table.write(
                match['kind'],
                match['name'],
                body,
                expected,
            )
        except ConditionFailedError as error:
            return refusal(412, str(error), {'ETag': f'"{error.version}"'})
        return json_answer({}, headers={'ETag': f'"{state.version}"'})


def _object_document(state: ObjectState, *, body: bool) -> dict[str, object]:
    document: dict[str, object] = {
        'name': state.name,
        'version': state.version,
    }
    if body:
        document['body'] = _encoded(state.body)
    return document


def _encoded(body: bytes | None) -> str | None:
    return None if body is None else base64.b64encode(body).decode()


def _expected_version(request: StandinRequest) -> int | None:
    """Return the version that a write demands, None for any."""
    if request.headers.get('if-none-match') == '*':
        return 0
    etag = request.headers.get('if-match')
    return None if etag is None else int(etag.strip('"'))
