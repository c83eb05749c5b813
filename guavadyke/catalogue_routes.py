"""Routes of the operator port for the catalogue and its audit trail."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Sequence

import pydantic

from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue import Name, entry_document, parse_entry
from guavadyke.catalogue_objects import (
    CATALOGUE_KIND,
    CatalogueObject,
    ChangeRecord,
    decode_document,
)
from guavadyke.controllers.catalogue import CatalogueState
from guavadyke.controllers.catalogue_edits import (
    CatalogueEdit,
    CatalogueEditor,
    EditAuthor,
    EditCondition,
)
from guavadyke.errors import (
    ErrorCode,
    Finding,
    GuavadykeError,
    ObjectConflictError,
)
from guavadyke.filters.base import Answer, Exchange, Filter, chain
from guavadyke.http_application import (
    Route,
    error_document,
    json_answer,
    read_body,
)
from guavadyke.settings import validation_findings
from guavadyke.snapshots import SnapshotCell

_NAME: pydantic.TypeAdapter[str] = pydantic.TypeAdapter(Name)
_MAX_BODY_BYTES = 65_536
_MAX_AUDIT_TEXT_CHARS = 1000
_AUDIT_PAGE_OBJECTS = 100
_DEFAULT_AUDIT_CHANGES = 200


class CatalogueRoutes:
    """Request handlers for the catalogue on the operator port.

    Args:
        host_id: id of this entry host, recorded with each edit.
        state: the catalogue that this host uses.
        editor: checks edits and writes them to the platform.
        store: platform store that the audit trail is read from.
    """

    def __init__(
        self,
        host_id: str,
        state: SnapshotCell[CatalogueState],
        editor: CatalogueEditor,
        store: WriteConfirmingStore,
    ) -> None:
        self._host_id = host_id
        self._state = state
        self._editor = editor
        self._store = store

    def routes(self, filters: Sequence[Filter]) -> list[Route]:
        """Return the routes, each with the filters in front of its handler."""
        return [
            Route(
                '/operator/catalogue',
                {'GET': chain(filters, self.list_objects)},
            ),
            Route('/operator/audit', {'GET': chain(filters, self.audit)}),
            Route(
                '/operator/catalogue/(?P<name>[^/]+)/history',
                {'GET': chain(filters, self.history)},
            ),
            Route(
                '/operator/catalogue/(?P<name>[^/]+)',
                {
                    'GET': chain(filters, self.show),
                    'PUT': chain(filters, self.put),
                    'DELETE': chain(filters, self.delete),
                },
            ),
        ]

    def list_objects(self, exchange: Exchange) -> Answer:
        """Answer with every current object and its version, sorted by name."""
        state = self._state.current
        return json_answer({
            'revision': state.snapshot.revision,
            'objects': [
                _object_document(catalogue_object)
                for _name, catalogue_object in sorted(state.objects.items())
                if catalogue_object.entry is not None
            ],
            'faults': dict(state.faults),
        })

    def show(self, exchange: Exchange) -> Answer:
        """Answer with one object, or its history if the query asks for it."""
        if 'history' in exchange.query:
            return self.history(exchange)
        name = _parse_name(exchange)
        found = self._state.current.objects.get(name)
        if found is None or found.entry is None:
            raise _not_found(name)
        return _object_answer(found, 200)

    def put(self, exchange: Exchange) -> Answer:
        """Create or replace an object.

        A failed precondition is answered with the current version.
        """
        name = _parse_name(exchange)
        entry = parse_entry(read_body(exchange, _MAX_BODY_BYTES))
        edit = CatalogueEdit(
            name, entry, _parse_condition(exchange), self._author(exchange)
        )
        try:
            written = self._editor.apply(edit)
        except ObjectConflictError as error:
            return _conflict_answer(error, exchange)
        return _object_answer(written, 201 if written.version == 1 else 200)

    def delete(self, exchange: Exchange) -> Answer:
        """Delete an object.

        A failed precondition is answered with the current version.
        """
        name = _parse_name(exchange)
        edit = CatalogueEdit(
            name, None, _parse_condition(exchange), self._author(exchange)
        )
        try:
            written = self._editor.apply(edit)
        except ObjectConflictError as error:
            return _conflict_answer(error, exchange)
        return json_answer({
            'name': name,
            'version': written.version,
            'deleted': True,
        })

    def history(self, exchange: Exchange) -> Answer:
        """Answer with the accepted edits of one object, newest first."""
        name = _parse_name(exchange)
        records = self._editor.history(name)
        if not records:
            raise _not_found(name)
        return json_answer({
            'name': name,
            'changes': [record.model_dump(mode='json') for record in records],
        })

    def audit(self, exchange: Exchange) -> Answer:
        """Answer with the latest accepted edits of all objects, newest first.

        Edits that were moved to an object's archive are left out.
        """
        limit = _parse_limit(exchange)
        newest: list[_NamedChange] = []
        after = ''
        more = True
        while more:
            page = self._store.list_objects(
                CATALOGUE_KIND,
                after=after,
                limit=_AUDIT_PAGE_OBJECTS,
            )
            newest.extend(
                _NamedChange(stored.name, record)
                for stored in page.objects
                for record in _decode_history(stored.body)
            )
            newest = sorted(newest, key=_change_order, reverse=True)[:limit]
            after = page.objects[-1].name if page.objects else ''
            more = page.more and bool(page.objects)
        return json_answer({
            'changes': [
                {'name': change.name, **change.record.model_dump(mode='json')}
                for change in newest
            ],
        })

    def _author(self, exchange: Exchange) -> EditAuthor:
        headers = exchange.headers
        return EditAuthor(
            who=headers.get('guavadyke-operator', 'operator')[
                :_MAX_AUDIT_TEXT_CHARS
            ],
            why=headers.get('guavadyke-reason', '')[:_MAX_AUDIT_TEXT_CHARS],
            host_id=self._host_id,
        )


@dataclasses.dataclass(frozen=True)
class _NamedChange:
    name: str
    record: ChangeRecord


def _change_order(change: _NamedChange) -> tuple[str, str, int]:
    return (change.record.at, change.name, change.record.version)


def _decode_history(body: bytes) -> tuple[ChangeRecord, ...]:
    try:
        return decode_document(body).history
    except GuavadykeError:
        return ()


def _parse_limit(exchange: Exchange) -> int:
    text = exchange.query.get('limit', str(_DEFAULT_AUDIT_CHANGES))
    if text.isdecimal() and 0 < int(text) <= 10 * _DEFAULT_AUDIT_CHANGES:
        return int(text)
    raise GuavadykeError(
        ErrorCode.bad_request,
        'the limit is out of range or not a number',
        findings=(
            Finding(
                'query.limit', f'must be 1 to {10 * _DEFAULT_AUDIT_CHANGES}'
            ),
        ),
    )


def _parse_name(exchange: Exchange) -> str:
    try:
        return _NAME.validate_python(exchange.path_parts['name'])
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the object name is invalid',
            findings=validation_findings(error),
        ) from error


def _parse_condition(exchange: Exchange) -> EditCondition:
    """Parse the If-Match and If-None-Match headers."""
    none_match = exchange.headers.get('if-none-match')
    match = exchange.headers.get('if-match')
    if none_match is not None:
        if none_match.strip() == '*' and match is None:
            return EditCondition(version=0)
        raise _condition_error('If-None-Match', 'must be *, without If-Match')
    if match is None:
        return EditCondition()
    if match.strip() == '*':
        return EditCondition(exists=True)
    tag = match.strip().strip('"')
    if tag.isdecimal() and tag.isascii():
        return EditCondition(version=int(tag))
    raise _condition_error('If-Match', 'must be one version or *')


def _condition_error(header: str, message: str) -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.bad_request,
        f'{header} is invalid',
        findings=(Finding(header, message),),
    )


def _not_found(name: str) -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.not_found,
        f'there is no catalogue object {name}',
        findings=(Finding('path', 'unknown name'),),
    )


def _object_document(catalogue_object: CatalogueObject) -> dict[str, object]:
    return {
        'name': catalogue_object.name,
        'version': catalogue_object.version,
        'entry': (
            None
            if catalogue_object.entry is None
            else entry_document(catalogue_object.entry)
        ),
    }


def _object_answer(catalogue_object: CatalogueObject, status: int) -> Answer:
    return json_answer(
        _object_document(catalogue_object),
        status=status,
        headers={'ETag': f'"{catalogue_object.version}"'},
    )


def _conflict_answer(
    error: ObjectConflictError,
    exchange: Exchange,
) -> Answer:
    """Return the error answer together with the current version."""
    document = error_document(error, exchange.request_id)
    document['version'] = error.current_version
    return Answer(
        status=error.code.status,
        body=json.dumps(document).encode(),
        headers={'ETag': f'"{error.current_version}"'},
    )
