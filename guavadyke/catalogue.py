"""Pydantic models of catalogue objects, with parsing and serialization."""

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
    """Fleet-wide limits; None means unlimited."""

    concurrency: Annotated[int, pydantic.Field(ge=0)] | None = pydantic.Field(
        default=None,
        description='Maximum requests in flight over the whole fleet.',
    )
    requests_per_s: Annotated[float, pydantic.Field(ge=0)] | None = (
        pydantic.Field(
            default=None,
            description='Maximum requests per second over the whole fleet.',
        )
    )
    tokens_per_s: Annotated[float, pydantic.Field(ge=0)] | None = (
        pydantic.Field(
            default=None,
            description='Maximum generated tokens per second over the whole '
            'fleet.',
        )
    )
    queue: Annotated[int, pydantic.Field(ge=0)] | None = pydantic.Field(
        default=None,
        description='Maximum requests queued on one entry host.',
    )


class _Entry(SettingsModel):
    owner: Name = pydantic.Field(
        description='Owner whose callers may use the entry.'
    )
    entry_class: Literal['online', 'batch', 'both'] = pydantic.Field(
        default='both',
        alias='class',
        description='Kinds of requests that the entry accepts.',
    )
    limits: Limits = Limits()


class ModelEntry(_Entry):
    """A catalogue entry served by language model engines."""

    kind: Literal['model'] = 'model'
    idempotent: bool = pydantic.Field(
        default=True,
        description='Whether a request may run more than once.',
    )
    model: str = pydantic.Field(description='Model that the engines load.')
    version: str = pydantic.Field(
        default='1',
        description='Version of the model.',
    )
    adapters: tuple[str, ...] = pydantic.Field(
        default=(),
        description='Adapters that the engines load with the model.',
    )
    replicas: dict[str, Annotated[int, pydantic.Field(ge=0)]] = pydantic.Field(
        default_factory=dict,
        description='Target number of engines by availability zone.',
    )


class ServiceEntry(_Entry):
    """A catalogue entry served by plain services."""

    kind: Literal['service'] = 'service'
    idempotent: bool = pydantic.Field(
        default=True,
        description='Whether a request may run more than once.',
    )


class BackendServerEntry(SettingsModel):
    """A backend server: an engine or a plain service.

    ``slots`` is how many requests it runs at once. ``fencing`` is true for
    a server that rejects orders with an outdated fencing token.
    """

    kind: Literal['backend_server'] = 'backend_server'
    role: Literal['engine', 'service'] = pydantic.Field(
        default='engine',
        description='Type of backend server.',
    )
    zone: str = pydantic.Field(description='Availability zone.')
    address: Address = pydantic.Field(description='IP:PORT.')
    serves: tuple[Name, ...] = pydantic.Field(
        default=(),
        description='Names of the catalogue entries that it serves.',
    )
    slots: Annotated[int, pydantic.Field(ge=1)] = pydantic.Field(
        default=8,
        description='Requests that it runs at once.',
    )
    fencing: bool = pydantic.Field(
        default=False,
        description='Whether it rejects orders with an outdated fencing token.',
    )
    managed: bool = pydantic.Field(
        default=False,
        description='Whether guavadyke decides which models it loads.',
    )
    leaving: bool = pydantic.Field(
        default=False,
        description='Whether it is draining and gets no new work.',
    )


class OwnerEntry(SettingsModel):
    """A team that owns entries and callers, identified by key hashes."""

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

    ``tail_weight`` weighs the tail latency of online requests against batch
    throughput: at 1 only tail latency counts, at 0 only throughput.
    """

    kind: Literal['policy'] = 'policy'
    tail_weight: Share = pydantic.Field(
        default=0.7,
        description='Weight of online tail latency against batch '
        'throughput: 1 counts only latency, 0 only throughput.',
    )


CatalogueEntry = (
    ModelEntry | ServiceEntry | BackendServerEntry | OwnerEntry | PolicyEntry
)

_ENTRY_ADAPTER: pydantic.TypeAdapter[CatalogueEntry] = pydantic.TypeAdapter(
    Annotated[CatalogueEntry, pydantic.Field(discriminator='kind')],
)

POLICY_NAME = 'policy'


def parse_entry(body: bytes) -> CatalogueEntry:
    """Parse and validate a catalogue object given as JSON.

    Raises:
        GuavadykeError: ``bad_request`` with every finding.
    """
    try:
        document = json.loads(body)
    except ValueError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the request body is not valid JSON',
            findings=(Finding('$', str(error)),),
        ) from error
    try:
        return _ENTRY_ADAPTER.validate_python(document)
    except pydantic.ValidationError as error:
        raise GuavadykeError(
            ErrorCode.bad_request,
            'the catalogue object is invalid',
            findings=validation_findings(error),
        ) from error


def entry_document(entry: CatalogueEntry) -> dict[str, object]:
    """Return the object as plain JSON types, keyed by field alias."""
    return entry.model_dump(mode='json', by_alias=True)
