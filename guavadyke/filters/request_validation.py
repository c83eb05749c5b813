"""Filters that check requests and report everything that is wrong."""

from __future__ import annotations

import dataclasses
import itertools
import json
import types
from collections.abc import Iterator
from typing import Annotated, Literal

import pydantic

from guavadyke.adapters.ports import Clock
from guavadyke.catalogue import ModelEntry, ServiceEntry
from guavadyke.errors import ErrorCode, Finding, GuavadykeError
from guavadyke.filters.backend_request import CHAT_PATH, COMPLETIONS_PATH
from guavadyke.filters.base import Answer, Exchange, Filter, Handler
from guavadyke.http_application import read_body
from guavadyke.settings import EntrySettings, validation_findings
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell

_MS_PER_S = 1000
_LONGEST_DEADLINE_MS = 3_600_000
_LONGEST_KEY = 255
_IDEMPOTENT = 'guavadyke-idempotent'
_DEADLINE = 'guavadyke-deadline-ms'
_KEY = 'idempotency-key'
_BOOLEANS = types.MappingProxyType({'true': True, 'false': False})

_Tokens = Annotated[int, pydantic.Field(ge=1, strict=True)] | None


class _Request(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='allow')

    model: Annotated[str, pydantic.Field(min_length=1, strict=True)]
    stream: Annotated[bool, pydantic.Field(strict=True)] | None = None
    max_tokens: _Tokens = None
    max_completion_tokens: _Tokens = None


class _Message(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='allow')

    role: Literal[
        'system',
        'developer',
        'user',
        'assistant',
        'tool',
        'function',
    ]
    content: str | list[dict[str, object]] | None = None


class _ChatRequest(_Request):
    messages: Annotated[list[_Message], pydantic.Field(min_length=1)]


class _CompletionRequest(_Request):
    prompt: Annotated[str, pydantic.Field(strict=True)]


_MODELS: types.MappingProxyType[str, type[_Request]]
_MODELS = types.MappingProxyType({
    CHAT_PATH: _ChatRequest,
    COMPLETIONS_PATH: _CompletionRequest,
})


@dataclasses.dataclass(frozen=True)
class ParseTools:
    """What the parsing filters need."""

    settings: EntrySettings
    clock: Clock
    catalogue: SnapshotCell[CatalogueSnapshot]


class ParseModelRequest(Filter):
    """Checks a request for a language model.

    Args:
        tools: settings, clock and catalogue.
    """

    def __init__(self, tools: ParseTools) -> None:
        self._tools = tools

    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        """Handle an exchange that is right.

        Raises:
            GuavadykeError: with every finding; the request did not run.
        """
        limit_bytes = self._tools.settings.caller.max_body_bytes
        exchange.body = read_body(exchange, limit_bytes)
        findings = list(_take_headers(exchange, self._tools))
        findings.extend(_take_document(exchange))
        findings.extend(self._take_entry(exchange))
        _refuse(findings)
        exchange.streamed = exchange.document.get('stream') is True
        return following(exchange)

    def _take_entry(self, exchange: Exchange) -> Iterator[Finding]:
        name = exchange.document.get('model')
        if not isinstance(name, str) or not name:
            return
        entry = self._tools.catalogue.current.entries.get(name)
        if not isinstance(entry, ModelEntry):
            yield Finding('$.model', f'{name[:_LONGEST_KEY]} is not known')
            return
        yield from _take_entry(exchange, name, entry)


class ParseServiceRequest(Filter):
    """Checks a request for a plain service.

    Args:
        tools: settings, clock and catalogue.
    """

    def __init__(self, tools: ParseTools) -> None:
        self._tools = tools

    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        """Handle an exchange that is right.

        Raises:
            GuavadykeError: with every finding; the request did not run.
        """
        limit_bytes = self._tools.settings.caller.max_body_bytes
        exchange.body = read_body(exchange, limit_bytes)
        findings = list(_take_headers(exchange, self._tools))
        findings.extend(self._take_entry(exchange))
        _refuse(findings)
        return following(exchange)

    def _take_entry(self, exchange: Exchange) -> Iterator[Finding]:
        name = exchange.path_parts['entry']
        entry = self._tools.catalogue.current.entries.get(name)
        if not isinstance(entry, ServiceEntry):
            raise GuavadykeError(
                ErrorCode.not_found,
                f'there is no service {name}',
                findings=(Finding('path', f'{name} is not known'),),
            )
        yield from _take_entry(exchange, name, entry)


def _refuse(findings: list[Finding]) -> None:
    if not findings:
        return
    places = {finding.place for finding in findings}
    code = ErrorCode.bad_request
    if places == {'$.model'} and 'is not known' in findings[0].message:
        code = ErrorCode.not_found
    raise GuavadykeError(
        code,
        'the request is wrong',
        findings=tuple(findings),
    )


def _take_entry(
    exchange: Exchange,
    name: str,
    entry: ModelEntry | ServiceEntry,
) -> Iterator[Finding]:
    exchange.entry_name = name
    exchange.entry = entry
    exchange.idempotent = exchange.idempotent and entry.idempotent
    if entry.entry_class == 'batch':
        yield Finding('$.model', f'{name} takes batch jobs only')


def _take_document(exchange: Exchange) -> Iterator[Finding]:
    try:
        document = json.loads(exchange.body)
    except (ValueError, RecursionError) as error:
        yield Finding('$', f'not JSON: {error}')
        return
    if not isinstance(document, dict):
        yield Finding('$', 'not a JSON object')
        return
    exchange.document = document
    try:
        _MODELS[exchange.path].model_validate(document)
    except pydantic.ValidationError as error:
        yield from validation_findings(error)


def _take_headers(
    exchange: Exchange,
    tools: ParseTools,
) -> Iterator[Finding]:
    default_s = tools.settings.online.default_deadline_s
    exchange.deadline = exchange.received_at + default_s
    return itertools.chain(
        _take_idempotent(exchange),
        _take_deadline(exchange),
        _take_key(exchange),
    )


def _take_idempotent(exchange: Exchange) -> Iterator[Finding]:
    text = exchange.headers.get(_IDEMPOTENT, 'true').strip().lower()
    if text not in _BOOLEANS:
        yield Finding(f'headers.{_IDEMPOTENT}', 'neither true nor false')
    exchange.idempotent = _BOOLEANS.get(text, False)


def _take_deadline(exchange: Exchange) -> Iterator[Finding]:
    text = exchange.headers.get(_DEADLINE)
    if text is None:
        return
    if not _is_deadline(text):
        yield Finding(
            f'headers.{_DEADLINE}',
            f'not a whole number from 1 to {_LONGEST_DEADLINE_MS}',
        )
        return
    exchange.deadline = exchange.received_at + int(text) / _MS_PER_S


def _is_deadline(text: str) -> bool:
    if not (text.isascii() and text.isdigit()):
        return False
    digits = len(str(_LONGEST_DEADLINE_MS))
    return len(text) <= digits and 1 <= int(text) <= _LONGEST_DEADLINE_MS


def _take_key(exchange: Exchange) -> Iterator[Finding]:
    key = exchange.headers.get(_KEY)
    if key is None:
        return
    if not key.strip() or len(key) > _LONGEST_KEY or not key.isprintable():
        yield Finding(
            f'headers.{_KEY}',
            f'not 1 to {_LONGEST_KEY} printable characters',
        )
        return
    exchange.idempotency_key = key
