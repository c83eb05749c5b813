"""What the platform holds of a catalogue object: entry, version, history."""

from __future__ import annotations

import dataclasses
from typing import Annotated, Literal

import pydantic

from guavadyke.catalogue import CatalogueEntry
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.settings import SettingsModel, validation_findings

CATALOGUE_KIND = 'catalogue'
ARCHIVE_KIND = 'catalogue-history'
FORMAT = 1
_KEPT_CHANGES = 16
_KEPT_BYTES = 400_000

Version = Annotated[int, pydantic.Field(ge=1)]
_Document = dict[str, object]


class ChangeRecord(SettingsModel):
    """One accepted edit: who, when, what, why, before and after.

    ``at`` is RFC 3339 in UTC; ``host_id`` is the entry host that took it.
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
    """Body of a catalogue object; no entry means that it is deleted."""

    format: Literal[1] = 1
    version: Version
    entry: CatalogueEntry | None = pydantic.Field(
        default=None,
        discriminator='kind',
    )
    history: tuple[ChangeRecord, ...] = ()


@dataclasses.dataclass(frozen=True)
class CatalogueObject:
    """A catalogue object in force; ``entry`` is None once it is deleted.

    Versions count the edits of the one object from 1 and go on after it
    was deleted, so that they order its copies wherever they come from.
    """

    name: str
    version: int
    entry: CatalogueEntry | None


def encode(document: CatalogueDocument) -> bytes:
    """Return the body that the platform holds."""
    return document.model_dump_json(by_alias=True).encode()


def decode(body: bytes) -> CatalogueDocument:
    """Read a body.

    Raises:
        GuavadykeError: ``bad_request`` with every finding.
    """
    try:
        return CatalogueDocument.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the catalogue object cannot be read',
            findings=validation_findings(error),
        ) from error


def decode_object(name: str, body: bytes) -> CatalogueObject:
    """Read the object without its history.

    Raises:
        GuavadykeError: ``bad_request`` with every finding.
    """
    document = decode(body)
    return CatalogueObject(name, document.version, document.entry)


def encode_object(one: CatalogueObject) -> bytes:
    """Return a body without history, for peers and the disk copy."""
    return encode(CatalogueDocument(version=one.version, entry=one.entry))


def exceeds_history_limits(history: tuple[ChangeRecord, ...]) -> bool:
    """Return whether an object with this history would grow too large."""
    if len(history) > _KEPT_CHANGES:
        return True
    sizes = (len(record.model_dump_json()) for record in history)
    return len(history) > 1 and sum(sizes) > _KEPT_BYTES
