"""The operator port's routes to the catalogue and its audit trail."""

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
    decode,
)
from guavadyke.controllers.catalogue import CatalogueState
from guavadyke.controllers.catalogue_edits import (
    CatalogueEdit,
    CatalogueEditor,
    Condition,
    EditAuthor,
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
_MAX_REASON = 1000
_AUDIT_PAGE = 100
_AUDIT_LIMIT = 200


class CatalogueRoutes:
    """Handlers of the catalogue on the operator port.

    Args:
        host_id: entry host that takes the edits.
        state: the catalogue in force on this host.
        editor: takes edits.
        store: read for the audit trail.
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
        """Return the routes behind the filters."""
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
        """Answer with every object in force."""
        state = self._state.current
        return json_answer({
            'revision': state.snapshot.revision,
            'objects': [
                _object_document(one)
                for _name, one in sorted(state.objects.items())
                if one.entry is not None
            ],
            'faults': dict(state.faults),
        })

    def show(self, exchange: Exchange) -> Answer:
        """Answer with one object in force."""
        if 'history' in exchange.query:
            return self.history(exchange)
        name = _name_of(exchange)
        one = self._state.current.objects.get(name)
        if one is None or one.entry is None:
            raise _not_found(name)
        return _object_answer(one, 200)

    def put(self, exchange: Exchange) -> Answer:
        """Take an edit."""
        name = _name_of(exchange)
        entry = parse_entry(read_body(exchange, _MAX_BODY_BYTES))
        edit = CatalogueEdit(
            name, entry, _condition(exchange), self._author(exchange)
        )
        try:
            written = self._editor.apply(edit)
        except ObjectConflictError as error:
            return _conflict_answer(error, exchange)
        return _object_answer(written, 201 if written.version == 1 else 200)

    def delete(self, exchange: Exchange) -> Answer:
        """Take a delete."""
        name = _name_of(exchange)
        edit = CatalogueEdit(
            name, None, _condition(exchange), self._author(exchange)
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
        name = _name_of(exchange)
        records = self._editor.history(name)
        if not records:
            raise _not_found(name)
        return json_answer({
            'name': name,
            'changes': [record.model_dump(mode='json') for record in records],
        })

    def audit(self, exchange: Exchange) -> Answer:
        """Answer with the newest accepted edits of all objects."""
        limit = _limit_of(exchange)
        newest: list[_NamedChange] = []
        after = ''
        more = True
        while more:
            page = self._store.list_objects(
                CATALOGUE_KIND,
                after=after,
                limit=_AUDIT_PAGE,
            )
            newest.extend(
                _NamedChange(stored.name, record)
                for stored in page.objects
                for record in _history_of(stored.body)
            )
            newest = sorted(newest, key=_by_time, reverse=True)[:limit]
            after = page.objects[-1].name if page.objects else ''
            more = page.more and bool(page.objects)
        return json_answer({
            'changes': [
                {'name': one.name, **one.record.model_dump(mode='json')}
                for one in newest
            ],
        })

    def _author(self, exchange: Exchange) -> EditAuthor:
        headers = exchange.headers
        return EditAuthor(
            who=headers.get('guavadyke-operator', 'operator')[:_MAX_REASON],
            why=headers.get('guavadyke-reason', '')[:_MAX_REASON],
            host_id=self._host_id,
        )


@dataclasses.dataclass(frozen=True)
class _NamedChange:
    name: str
    record: ChangeRecord


def _by_time(one: _NamedChange) -> tuple[str, str, int]:
    return (one.record.at, one.name, one.record.version)


def _history_of(body: bytes) -> tuple[ChangeRecord, ...]:
    try:
        return decode(body).history
    except GuavadykeError:
        return ()


def _limit_of(exchange: Exchange) -> int:
    text = exchange.query.get('limit', str(_AUDIT_LIMIT))
    if text.isdecimal() and 0 < int(text) <= 10 * _AUDIT_LIMIT:
        return int(text)
    raise GuavadykeError(
        ErrorCode.bad_request,
        'the limit is wrong',
        findings=(Finding('query.limit', f'1 to {10 * _AUDIT_LIMIT}'),),
    )


def _name_of(exchange: Exchange) -> str:
    try:
        return _NAME.validate_python(exchange.path_parts['name'])
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the name of the object is wrong',
            findings=validation_findings(error),
        ) from error


def _condition(exchange: Exchange) -> Condition:
    """Read If-Match and If-None-Match."""
    none_match = exchange.headers.get('if-none-match')
    match = exchange.headers.get('if-match')
    if none_match is not None:
        if none_match.strip() == '*' and match is None:
            return Condition(version=0)
        raise _wrong_condition('If-None-Match', 'takes * and no If-Match')
    if match is None:
        return Condition()
    if match.strip() == '*':
        return Condition(exists=True)
    tag = match.strip().strip('"')
    if tag.isdecimal() and tag.isascii():
        return Condition(version=int(tag))
    raise _wrong_condition('If-Match', 'takes one version or *')


def _wrong_condition(header: str, message: str) -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.bad_request,
        f'{header} is wrong',
        findings=(Finding(header, message),),
    )


def _not_found(name: str) -> GuavadykeError:
    return GuavadykeError(
        ErrorCode.not_found,
        f'there is no catalogue object {name}',
        findings=(Finding('path', 'unknown name'),),
    )


def _object_document(one: CatalogueObject) -> dict[str, object]:
    return {
        'name': one.name,
        'version': one.version,
        'entry': None if one.entry is None else entry_document(one.entry),
    }


def _object_answer(one: CatalogueObject, status: int) -> Answer:
    return json_answer(
        _object_document(one),
        status=status,
        headers={'ETag': f'"{one.version}"'},
    )


def _conflict_answer(
    error: ObjectConflictError,
    exchange: Exchange,
) -> Answer:
    """Answer with the version that is present."""
    document = error_document(error, exchange.request_id)
    document['version'] = error.current_version
    return Answer(
        status=error.code.status,
        body=json.dumps(document).encode(),
        headers={'ETag': f'"{error.current_version}"'},
    )
