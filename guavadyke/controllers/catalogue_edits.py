"""Operators' edits of the catalogue: each one conditional update."""

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
    ARCHIVE_KIND,
    CATALOGUE_KIND,
    CatalogueDocument,
    CatalogueObject,
    ChangeRecord,
    decode,
    encode,
    is_full,
)
from guavadyke.controllers.catalogue import EDIT, CatalogueState, OfferedObjects
from guavadyke.errors import (
    ErrorCode,
    Finding,
    GuavadykeError,
    ObjectConflictError,
)
from guavadyke.snapshots import SnapshotCell

_ATTEMPTS = 8
_PAUSE_S = 0.02
_ARCHIVE_PAGE = 8


@dataclasses.dataclass(frozen=True)
class EditAuthor:
    """Who edits and why, for the audit trail."""

    who: str
    why: str
    host_id: str


@dataclasses.dataclass(frozen=True)
class Condition:
    """What the present version has to be; None sets no condition.

    ``version`` 0 means that the object must not exist; ``exists`` that it
    must, at whatever version.
    """

    version: int | None = None
    exists: bool = False


@dataclasses.dataclass(frozen=True)
class CatalogueEdit:
    """One edit; no entry means a delete."""

    name: str
    entry: CatalogueEntry | None
    condition: Condition
    author: EditAuthor

    @property
    def what(self) -> Literal['put', 'delete']:
        """Name of the edit in the audit trail."""
        return 'delete' if self.entry is None else 'put'


@dataclasses.dataclass(frozen=True)
class _Base:
    """What an edit starts from: the stored object and the latest copy."""

    stored: StoredObject | None
    version: int
    entry: CatalogueEntry | None
    history: tuple[ChangeRecord, ...]

    @property
    def present(self) -> int:
        """Version that operators see; 0 where there is no object."""
        return 0 if self.entry is None else self.version


class CatalogueEditor:
    """Takes edits on the threads of the operator port.

    Args:
        store: where an accepted edit is written.
        state: the catalogue in force on this host.
        offer: puts an accepted edit in force before the answer.
        clock: dates the audit records.
    """

    def __init__(
        self,
        store: WriteConfirmingStore,
        state: SnapshotCell[CatalogueState],
        offer: Callable[[OfferedObjects], object],
        clock: Clock,
    ) -> None:
        self._store = store
        self._state = state
        self._offer = offer
        self._clock = clock

    def apply(self, edit: CatalogueEdit) -> CatalogueObject:
        """Check the edit, write it and put it in force on this host.

        Raises:
            ObjectConflictError: the condition does not hold.
            GuavadykeError: the edit is wrong, or the platform is away.
        """
        attempts = _ATTEMPTS
        while attempts:
            attempts -= 1
            base = self._base(edit.name)
            _check(edit, base, self._state.current)
            try:
                return self._write(edit, base)
            except ObjectConflictError:
                self._clock.sleep(_PAUSE_S)
        raise GuavadykeError(
            ErrorCode.overloaded,
            f'{edit.name} changes too often at present',
            retry_after_s=1,
        )

    def history(self, name: str) -> tuple[ChangeRecord, ...]:
        """Return the accepted edits of an object, the newest first."""
        stored = self._store.read(CATALOGUE_KIND, name)
        recent = () if stored is None else decode(stored.body).history
        records = {
            record.version: record
            for record in itertools.chain(self._archived(name), recent)
        }
        return tuple(
            sorted(records.values(), key=_by_version, reverse=True),
        )

    def _archived(self, name: str) -> Iterator[ChangeRecord]:
        after = ''
        more = True
        while more:
            page = self._store.list_objects(
                ARCHIVE_KIND,
                prefix=f'{name}/',
                after=after,
                limit=_ARCHIVE_PAGE,
            )
            for archived in page.objects:
                yield from decode(archived.body).history
            after = page.objects[-1].name if page.objects else ''
            more = page.more and bool(page.objects)

    def _base(self, name: str) -> _Base:
        """Return the newer of the platform's copy and the one in force."""
        stored = self._store.read(CATALOGUE_KIND, name)
        document = None if stored is None else _readable(stored.body)
        history = () if document is None else document.history
        held = self._state.current.objects.get(name)
        if document is not None and (
            held is None or document.version >= held.version
        ):
            return _Base(stored, document.version, document.entry, history)
        if held is None:
            return _Base(stored, 0, None, history)
        return _Base(stored, held.version, held.entry, history)

    def _write(self, edit: CatalogueEdit, base: _Base) -> CatalogueObject:
        record = self._record(edit, base)
        history = self._trimmed(edit.name, (record, *base.history))
        body = encode(
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
        self._offer(OfferedObjects(EDIT, (written,)))
        return written

    def _record(self, edit: CatalogueEdit, base: _Base) -> ChangeRecord:
        now = dt.datetime.fromtimestamp(self._clock.wall(), tz=dt.UTC)
        return ChangeRecord(
            version=base.version + 1,
            at=now.isoformat(timespec='milliseconds'),
            who=edit.author.who,
            what=edit.what,
            why=edit.author.why,
            host_id=edit.author.host_id,
            before=_document(base.entry),
            after=_document(edit.entry),
        )

    def _trimmed(
        self,
        name: str,
        history: tuple[ChangeRecord, ...],
    ) -> tuple[ChangeRecord, ...]:
        """Archive the older half of a full history before it leaves."""
        if not is_full(history):
            return history
        half = max(1, len(history) // 2)
        kept = history[:half]
        leaving = history[half:]
        newest = leaving[0].version
        archived = CatalogueDocument(version=newest, history=leaving)
        try:
            self._store.create(
                ARCHIVE_KIND,
                f'{name}/{newest:012d}',
                encode(archived),
            )
        except ObjectConflictError:
            # An earlier try of the same edit has archived these records.
            return kept
        return kept


def conflict(name: str, present: int) -> ObjectConflictError:
    """Return the error of an edit whose condition does not hold."""
    return ObjectConflictError(
        f'{name} has version {present}',
        present,
    )


def _check(edit: CatalogueEdit, base: _Base, state: CatalogueState) -> None:
    condition = edit.condition
    expected = condition.version
    wrong = expected is not None and expected != base.present
    if wrong or (condition.exists and not base.present):
        raise conflict(edit.name, base.present)
    if edit.entry is None:
        _check_delete(edit, base, state)
        return
    _refuse(check_put(edit.name, edit.entry, state.snapshot))


def _check_delete(
    edit: CatalogueEdit, base: _Base, state: CatalogueState
) -> None:
    if not base.present:
        raise GuavadykeError(
            ErrorCode.not_found,
            f'there is no catalogue object {edit.name}',
            findings=(Finding('path', 'unknown name'),),
        )
    _refuse(check_delete(edit.name, state.snapshot))


def _refuse(findings: tuple[Finding, ...]) -> None:
    if findings:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the edit does not fit the rest of the catalogue',
            findings=findings,
        )


def _readable(body: bytes) -> CatalogueDocument | None:
    try:
        return decode(body)
    except GuavadykeError:
        return None


def _document(entry: CatalogueEntry | None) -> dict[str, object] | None:
    return None if entry is None else entry_document(entry)


def _by_version(record: ChangeRecord) -> int:
    return record.version
