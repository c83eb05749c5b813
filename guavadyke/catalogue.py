"""Models of catalogue objects: entries, owners, backend servers, policy."""

from __future__ import annotations

import json
from typing import Annotated, Literal

import pydantic

from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.settings import SettingsModel, validation_findings

Name = Annotated[str, pydantic.Field(pattern='^[a-z0-9][a-z0-9._-]{0,62}$')]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]
Address = Annotated[
    str,
    pydantic.Field(pattern=r'^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d+$'),
]


class Limits(SettingsModel):
    """Limits over the whole fleet; None sets none."""

    concurrency: Annotated[int, pydantic.Field(ge=0)] | None = pydantic.Field(
        default=None,
        description='Requests in flight over the whole fleet.',
    )
    requests_per_s: Annotated[float, pydantic.Field(ge=0)] | None = (
        pydantic.Field(
            default=None,
            description='Requests a second over the whole fleet.',
        )
    )
    tokens_per_s: Annotated[float, pydantic.Field(ge=0)] | None = (
        pydantic.Field(
            default=None,
            description='Generated tokens a second over the whole fleet.',
        )
    )
    queue: Annotated[int, pydantic.Field(ge=0)] | None = pydantic.Field(
        default=None,
        description='Requests that wait on one entry host.',
    )


class _Entry(SettingsModel):
    owner: Name = pydantic.Field(description='Owner whose callers may use it.')
    entry_class: Literal['online', 'batch', 'both'] = pydantic.Field(
        default='both',
        alias='class',
        description='Requests that it takes.',
    )
    limits: Limits = Limits()


class ModelEntry(_Entry):
    """An entry that language model engines serve."""

    kind: Literal['model'] = 'model'
    idempotent: bool = pydantic.Field(
        default=True,
        description='Whether a request may run more than once.',
    )
    model: str = pydantic.Field(description='Model that engines load.')
    version: str = pydantic.Field(
        default='1',
        description='Version of the model.',
    )
    adapters: tuple[str, ...] = pydantic.Field(
        default=(),
        description='Adapters that engines load with the model.',
    )
    replicas: dict[str, Annotated[int, pydantic.Field(ge=0)]] = pydantic.Field(
        default_factory=dict,
        description='Engines that are to serve it, by availability zone.',
    )


class ServiceEntry(_Entry):
    """An entry that plain services serve."""

    kind: Literal['service'] = 'service'
    idempotent: bool = pydantic.Field(
        default=True,
        description='Whether a request may run more than once.',
    )


class BackendServerEntry(SettingsModel):
    """A backend server: an engine or a plain service.

    ``slots`` is how many requests it runs at once. ``fencing`` says
    whether it refuses an order with an old fencing number.
    """

    kind: Literal['backend_server'] = 'backend_server'
    role: Literal['engine', 'service'] = pydantic.Field(
        default='engine',
        description='What it is.',
    )
    zone: str = pydantic.Field(description='Availability zone.')
    address: Address = pydantic.Field(description='IP:PORT.')
    serves: tuple[Name, ...] = pydantic.Field(
        default=(),
        description='Catalogue entries that it serves.',
    )
    slots: Annotated[int, pydantic.Field(ge=1)] = pydantic.Field(
        default=8,
        description='Requests that it runs at once.',
    )
    fencing: bool = pydantic.Field(
        default=False,
        description='Whether it refuses orders with an old fencing number.',
    )
    managed: bool = pydantic.Field(
        default=False,
        description='Whether this system orders what it loads.',
    )
    leaving: bool = pydantic.Field(
        default=False,
        description='Whether it is to get no new work.',
    )


class OwnerEntry(SettingsModel):
    """An owner and the SHA-256 hashes (hex) of its callers' keys."""

    kind: Literal['owner'] = 'owner'
    key_hashes: tuple[
        Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')],
        ...,
    ] = pydantic.Field(
        default=(),
        description="SHA-256 hashes (hex) of its callers' keys.",
    )
    limits: Limits = Limits()


class PolicyEntry(SettingsModel):
    """Fleet-wide policy.

    ``tail_weight`` is 1 where only the online tail counts and 0 where only
    batch throughput counts.
    """

    kind: Literal['policy'] = 'policy'
    tail_weight: Share = pydantic.Field(
        default=0.7,
        description='1: only the online tail counts; 0: only batch throughput.',
    )


CatalogueEntry = (
    ModelEntry | ServiceEntry | BackendServerEntry | OwnerEntry | PolicyEntry
)

_ADAPTER: pydantic.TypeAdapter[CatalogueEntry] = pydantic.TypeAdapter(
    Annotated[CatalogueEntry, pydantic.Field(discriminator='kind')],
)

POLICY_NAME = 'policy'


def parse_entry(body: bytes) -> CatalogueEntry:
    """Check a catalogue object given as JSON.

    Raises:
        GuavadykeError: ``bad_request`` with every finding.
    """
    try:
        document = json.loads(body)
    except ValueError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the body is not JSON',
            findings=(Finding('$', str(error)),),
        ) from error
    try:
        return _ADAPTER.validate_python(document)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the catalogue object is wrong',
            findings=validation_findings(error),
        ) from error


def entry_document(entry: CatalogueEntry) -> dict[str, object]:
    """Return the object as plain JSON types, under its public names."""
    return entry.model_dump(mode='json', by_alias=True)
