"""Applies operators' edits of the catalogue as conditional updates."""

from __future__ import annotations

import dataclasses
import datetime as dt
import itertools
from collections.abc import Callable, Iterator
from typing import Literal

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue import CatalogueEntry, entry_document
from guavadyke.catalogue_checks import check_delete, check_put
from guavadyke.catalogue_objects import (
    CATALOGUE_KIND,
    HISTORY_KIND,
    CatalogueDocument,
    CatalogueObject,
    ChangeRecord,
    decode_document,
    encode_document,
    exceeds_history_limits,
)
from guavadyke.controllers.catalogue import EDIT, CatalogueState, OfferedObjects
from guavadyke.errors import (
    ErrorCode,
    Finding,
    GuavadykeError,
    ObjectConflictError,
)
from guavadyke.snapshots import SnapshotCell

_WRITE_ATTEMPTS = 8
_RETRY_PAUSE_S = 0.02
_ARCHIVE_PAGE_OBJECTS = 8


@dataclasses.dataclass(frozen=True)
class EditAuthor:
    """Who makes an edit, why, and on which host, for the audit trail."""

    who: str
    why: str
    host_id: str


@dataclasses.dataclass(frozen=True)
class EditCondition:
    """Precondition of an edit.

    Args:
        version: the version that the object must have; 0 if it must not
            exist, None for any version.
        exists: whether the object must exist, at any version.
    """

    version: int | None = None
    exists: bool = False


@dataclasses.dataclass(frozen=True)
class CatalogueEdit:
    """A put of an entry, or a delete if ``entry`` is None."""

    name: str
    entry: CatalogueEntry | None
    condition: EditCondition
    author: EditAuthor

    @property
    def what(self) -> Literal['put', 'delete']:
        """The operation, as the audit trail names it."""
        return 'delete' if self.entry is None else 'put'


@dataclasses.dataclass(frozen=True)
class _EditBase:
    """The stored object and the latest known version, which an edit follows."""

    stored: StoredObject | None
    version: int
    entry: CatalogueEntry | None
    history: tuple[ChangeRecord, ...]

    @property
    def visible_version(self) -> int:
        """Version that operators see; 0 if the object is absent or deleted."""
        return 0 if self.entry is None else self.version


class CatalogueEditor:
    """Checks and writes edits, on the threads of the operator port.

    Args:
        store: the platform, where accepted edits are written.
        state: the catalogue in force on this host.
        offer_objects: puts an accepted edit into force on this host before
            the operator gets the answer.
        clock: dates the audit records.
    """

    def __init__(
        self,
        store: WriteConfirmingStore,
        state: SnapshotCell[CatalogueState],
        offer_objects: Callable[[OfferedObjects], object],
        clock: Clock,
    ) -> None:
        self._store = store
        self._state = state
        self._offer_objects = offer_objects
        self._clock = clock

    def apply(self, edit: CatalogueEdit) -> CatalogueObject:
        """Check the edit, write it and put it into force on this host.

        Returns:
            The object as written.

        Raises:
            ObjectConflictError: the condition does not hold.
            GuavadykeError: the edit is invalid, the platform can't be
                reached, or other edits came first at every attempt.
        """
        attempts = _WRITE_ATTEMPTS
        while attempts:
            attempts -= 1
            base = self._read_base(edit.name)
            _check_edit(edit, base, self._state.current)
            try:
                return self._write_edit(edit, base)
            except ObjectConflictError:
                self._clock.sleep(_RETRY_PAUSE_S)
        raise GuavadykeError(
            ErrorCode.overloaded,
            f'{edit.name} has too many changes at this time; try again',
            retry_after_s=1,
        )

    def history(self, name: str) -> tuple[ChangeRecord, ...]:
        """Return all accepted edits of an object, newest first."""
        stored = self._store.read(CATALOGUE_KIND, name)
        recent = () if stored is None else decode_document(stored.body).history
        records = {
            record.version: record
            for record in itertools.chain(self._archived_records(name), recent)
        }
        return tuple(
            sorted(records.values(), key=_by_version, reverse=True),
        )

    def _archived_records(self, name: str) -> Iterator[ChangeRecord]:
        after = ''
        has_more = True
        while has_more:
            page = self._store.list_objects(
                HISTORY_KIND,
                prefix=f'{name}/',
                after=after,
                limit=_ARCHIVE_PAGE_OBJECTS,
            )
            for archived in page.objects:
                yield from decode_document(archived.body).history
            after = page.objects[-1].name if page.objects else ''
            has_more = page.more and bool(page.objects)

    def _read_base(self, name: str) -> _EditBase:
        """Return the newer of the platform's copy and the one in force.

        A copy that can't be decoded counts as missing.
        """
        stored = self._store.read(CATALOGUE_KIND, name)
        document = None if stored is None else _decode_or_none(stored.body)
        history = () if document is None else document.history
        in_force = self._state.current.objects.get(name)
        if document is not None and (
            in_force is None or document.version >= in_force.version
        ):
            return _EditBase(stored, document.version, document.entry, history)
        if in_force is None:
            return _EditBase(stored, 0, None, history)
        return _EditBase(stored, in_force.version, in_force.entry, history)

    def _write_edit(
        self, edit: CatalogueEdit, base: _EditBase
    ) -> CatalogueObject:
        record = self._change_record(edit, base)
        history = self._trim_history(edit.name, (record, *base.history))
        body = encode_document(
            CatalogueDocument(
                version=record.version,
                entry=edit.entry,
                history=history,
            ),
        )
        if base.stored is None:
            self._store.create(CATALOGUE_KIND, edit.name, body)
        else:
            self._store.update(base.stored, body)
        written = CatalogueObject(edit.name, record.version, edit.entry)
        self._offer_objects(OfferedObjects(EDIT, (written,)))
        return written

    def _change_record(
        self, edit: CatalogueEdit, base: _EditBase
    ) -> ChangeRecord:
        now = dt.datetime.fromtimestamp(self._clock.wall(), tz=dt.UTC)
        return ChangeRecord(
            version=base.version + 1,
            at=now.isoformat(timespec='milliseconds'),
            who=edit.author.who,
            what=edit.what,
            why=edit.author.why,
            host_id=edit.author.host_id,
            before=_document_or_none(base.entry),
            after=_document_or_none(edit.entry),
        )

    def _trim_history(
        self,
        name: str,
        history: tuple[ChangeRecord, ...],
    ) -> tuple[ChangeRecord, ...]:
        """Return the history to store with the object.

        The older half of a full history is first written to an archive
        object, so that objects stay bounded and no record is lost.
        """
        if not exceeds_history_limits(history):
            return history
        half = max(1, len(history) // 2)
        recent = history[:half]
        oldest_records = history[half:]
        newest = oldest_records[0].version
        archived = CatalogueDocument(version=newest, history=oldest_records)
        try:
            self._store.create(
                HISTORY_KIND,
                f'{name}/{newest:012d}',
                encode_document(archived),
            )
        except ObjectConflictError:
            # A previous attempt of this edit already archived these records.
            return recent
        return recent


def conflict_error(name: str, visible_version: int) -> ObjectConflictError:
    """Return the error for an edit whose condition does not hold."""
    return ObjectConflictError(
        f'{name} has version {visible_version}',
        visible_version,
    )


def _check_edit(
    edit: CatalogueEdit, base: _EditBase, state: CatalogueState
) -> None:
    condition = edit.condition
    expected = condition.version
    version_differs = expected is not None and expected != base.visible_version
    if version_differs or (condition.exists and not base.visible_version):
        raise conflict_error(edit.name, base.visible_version)
    if edit.entry is None:
        _check_delete(edit, base, state)
        return
    _raise_findings(check_put(edit.name, edit.entry, state.snapshot))


def _check_delete(
    edit: CatalogueEdit, base: _EditBase, state: CatalogueState
) -> None:
    if not base.visible_version:
        raise GuavadykeError(
            ErrorCode.not_found,
            f'there is no catalogue object {edit.name}',
            findings=(Finding('path', 'unknown name'),),
        )
    _raise_findings(check_delete(edit.name, state.snapshot))


def _raise_findings(findings: tuple[Finding, ...]) -> None:
    if findings:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the edit is inconsistent with the rest of the catalogue',
            findings=findings,
        )


def _decode_or_none(body: bytes) -> CatalogueDocument | None:
    try:
        return decode_document(body)
    except GuavadykeError:
        return None


def _document_or_none(entry: CatalogueEntry | None) -> dict[str, object] | None:
    return None if entry is None else entry_document(entry)


def _by_version(record: ChangeRecord) -> int:
    return record.version
