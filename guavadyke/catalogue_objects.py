"""Stored form of catalogue objects: entry, version and edit history."""

from __future__ import annotations

import dataclasses
from typing import Annotated, Literal

import pydantic

from guavadyke.catalogue import CatalogueEntry
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.settings import SettingsModel, validation_findings

CATALOGUE_KIND = 'catalogue'
HISTORY_KIND = 'catalogue-history'
FORMAT = 1
_MAX_HISTORY_CHANGES = 16
_MAX_HISTORY_BYTES = 400_000

Version = Annotated[int, pydantic.Field(ge=1)]
_Document = dict[str, object]


class ChangeRecord(SettingsModel):
    """Audit record of one accepted edit.

    ``at`` is an RFC 3339 time in UTC, ``host_id`` the entry host that
    accepted the edit, ``before`` and ``after`` the entry as JSON types.
    """

    version: Version
    at: str
    who: str
    what: Literal['put', 'delete']
    why: str = ''
    host_id: str = ''
    before: _Document | None = None
    after: _Document | None = None


class CatalogueDocument(SettingsModel):
    """Body of a stored catalogue object; ``entry`` is None if deleted."""

    format: Literal[1] = 1
    version: Version
    entry: CatalogueEntry | None = pydantic.Field(
        default=None,
        discriminator='kind',
    )
    history: tuple[ChangeRecord, ...] = ()


@dataclasses.dataclass(frozen=True)
class CatalogueObject:
    """A catalogue object in use; ``entry`` is None after deletion.

    Versions count the edits of one object from 1 and continue after a
    deletion, so they order copies of it regardless of where those come from.
    """

    name: str
    version: int
    entry: CatalogueEntry | None


def encode_document(document: CatalogueDocument) -> bytes:
    """Serialize a document for storage on the platform."""
    return document.model_dump_json(by_alias=True).encode()


def decode_document(body: bytes) -> CatalogueDocument:
    """Parse a stored body.

    Raises:
        GuavadykeError: ``bad_request`` with every finding.
    """
    try:
        return CatalogueDocument.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the stored catalogue object is invalid',
            findings=validation_findings(error),
        ) from error


def decode_object(name: str, body: bytes) -> CatalogueObject:
    """Parse a stored body, leaving out its history.

    Raises:
        GuavadykeError: ``bad_request`` with every finding.
    """
    document = decode_document(body)
    return CatalogueObject(name, document.version, document.entry)


def encode_object(catalogue_object: CatalogueObject) -> bytes:
    """Serialize an object without history, for peers and the disk cache."""
    return encode_document(
        CatalogueDocument(
            version=catalogue_object.version,
            entry=catalogue_object.entry,
        ),
    )


def exceeds_history_limits(history: tuple[ChangeRecord, ...]) -> bool:
    """Return whether the history exceeds the limits for one stored object."""
    if len(history) > _MAX_HISTORY_CHANGES:
        return True
    sizes = (len(record.model_dump_json()) for record in history)
    return len(history) > 1 and sum(sizes) > _MAX_HISTORY_BYTES
