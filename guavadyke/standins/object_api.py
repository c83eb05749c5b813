"""HTTP calls of the platform stand-in that read and write objects."""

from __future__ import annotations

import base64
import dataclasses
import re

from guavadyke.standins.faults import FaultInjector, PlatformFaults
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
from guavadyke.standins.standin_base import refusal

MAX_VALUE_BYTES = 1_048_576
_DEFAULT_LIMIT = '500'
_MAX_LIMIT = 1000
_DEFAULT_WAIT_S = '20'
_MAX_WAIT_S = 60
_FROM_START = '0'


class ObjectApi:
    """Handles the calls that read, list, write and watch objects.

    Args:
        table: the objects.
        fault_injector: says how stale reads are and what watches show.
    """

    def __init__(
        self,
        table: ObjectTable,
        fault_injector: FaultInjector[PlatformFaults],
    ) -> None:
        self._table = table
        self._fault_injector = fault_injector

    def read(
        self,
        _request: StandinRequest,
        match: re.Match[str],
    ) -> StandinAnswer:
        """Return an object, or 404."""
        state = self._table.read(
            match['kind'],
            match['name'],
            self._fault_injector.current.stale_s,
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
        """Return a page of objects, ordered by name."""
        limit = int(request.query.get('limit', _DEFAULT_LIMIT))
        bodies = request.query.get('bodies', '1') == '1'
        page = self._table.page(
            match['kind'],
            request.query.get('prefix', ''),
            request.query.get('after', ''),
            min(limit, _MAX_LIMIT),
            self._fault_injector.current.stale_s,
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
        """Create or replace an object; 412 if its version has changed."""
        if len(request.body) > MAX_VALUE_BYTES:
            return refusal(413, f'more than {MAX_VALUE_BYTES} bytes')
        return self._write_object(request, match, request.body)

    def delete(
        self,
        request: StandinRequest,
        match: re.Match[str],
    ) -> StandinAnswer:
        """Delete an object; 412 if its version has changed."""
        return self._write_object(request, match, None)

    def watch(
        self,
        request: StandinRequest,
        match: re.Match[str],
    ) -> StandinAnswer:
        """Wait for changes of a kind; 410 if the revision is too old."""
        after = int(request.query.get('after', '0'))
        wait_s = float(request.query.get('wait', _DEFAULT_WAIT_S))
        if self._fault_injector.current.watches == 'silent':
            request.connection.hang(bool)
        try:
            changes = self._table.changes(
                match['kind'],
                after,
                min(wait_s, _MAX_WAIT_S),
            )
        except RevisionTooOldError:
            return refusal(410, 'the revision is too old')
        if self._fault_injector.current.watches == 'stale':
            changes = dataclasses.replace(changes, revision=after, events=())
        return json_answer({
            'revision': changes.revision,
            'events': [
                _object_document(state, body=True) for state in changes.events
            ],
        })

    def _write_object(
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
        document['body'] = _encode_body(state.body)
    return document


def _encode_body(body: bytes | None) -> str | None:
    return None if body is None else base64.b64encode(body).decode()


def _expected_version(request: StandinRequest) -> int | None:
    """Return the version that a write requires, or None for any."""
    if request.headers.get('if-none-match') == '*':
        return 0
    etag = request.headers.get('if-match')
    return None if etag is None else int(etag.strip('"'))
