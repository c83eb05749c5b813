"""Generator of the settings reference ``docs/settings.md``.

``python -m guavadyke.reference`` prints the page.
"""

from __future__ import annotations

import itertools
import json
import sys
import types
import typing
from collections.abc import Iterator, Mapping
from pathlib import Path

import pydantic
from pydantic.fields import FieldInfo

from guavadyke.catalogue import (
    BackendServerEntry,
    ModelEntry,
    OwnerEntry,
    PolicyEntry,
    ServiceEntry,
)
from guavadyke.settings import EntrySettings, ForwardHostSettings

_SETTINGS_HEAD = """# Settings

This page is generated from the models by `python -m guavadyke.reference`;
a test checks that it is up to date.

Each entry host has one JSON settings file. `guavadyke check-settings FILE`
prints every finding with its JSON path and exits with 2 if there are any.
Unknown keys are rejected. Durations are in seconds (`_s`), sizes
in bytes (`_bytes`).
"""
_FORWARD_HEAD = """# Hosts that forward requests

On a platform with a settings file of its own, the platform adapter derives
these settings from that file; see [the design note](design/platform.md).
"""
_CATALOGUE_HEAD = """# Catalogue objects

Catalogue objects are edited with `guavadyke catalogue put NAME --file FILE`
and validated like settings. The field `kind` selects one of the kinds below.
"""
_TABLE_HEAD = """| key | type | default | meaning |
|---|---|---|---|
"""
_CATALOGUE_MODELS: Mapping[str, type[pydantic.BaseModel]] = (
    types.MappingProxyType({
        'model': ModelEntry,
        'service': ServiceEntry,
        'backend_server': BackendServerEntry,
        'owner': OwnerEntry,
        'policy': PolicyEntry,
    })
)


def settings_page() -> str:
    """Return the settings reference as Markdown."""
    return '\n'.join(
        itertools.chain(
            (
                _SETTINGS_HEAD,
                _table(EntrySettings),
                _FORWARD_HEAD,
                _table(ForwardHostSettings),
                _CATALOGUE_HEAD,
            ),
            itertools.chain.from_iterable(
                (f'## {kind}\n', f'{_first_line(model)}\n', _table(model))
                for kind, model in _CATALOGUE_MODELS.items()
            ),
        ),
    )


def field_paths(model: type[pydantic.BaseModel]) -> tuple[str, ...]:
    """Return the dotted path of every field, nested models included."""
    return tuple(path for path, _field in _leaf_fields(model, ''))


def _first_line(model: type[pydantic.BaseModel]) -> str:
    return (model.__doc__ or '').strip().splitlines()[0]


def _table(model: type[pydantic.BaseModel]) -> str:
    rows = '\n'.join(itertools.starmap(_table_row, _leaf_fields(model, '')))
    return f'{_TABLE_HEAD}{rows}\n'


def _leaf_fields(
    model: type[pydantic.BaseModel],
    before: str,
) -> Iterator[tuple[str, FieldInfo]]:
    for name, field in model.model_fields.items():
        path = f'{before}{field.alias or name}'
        inner = _inner_model(field.annotation)
        if inner is None:
            yield path, field
        else:
            yield from _leaf_fields(inner, f'{path}.')


def _inner_model(annotation: object) -> type[pydantic.BaseModel] | None:
    options = typing.get_args(annotation) or (annotation,)
    return next(
        (
            option
            for option in options
            if isinstance(option, type)
            and issubclass(option, pydantic.BaseModel)
        ),
        None,
    )


def _table_row(path: str, field: FieldInfo) -> str:
    meaning = field.description or ''
    return (
        f'| `{path}` | {_type_name(field.annotation)} '
        f'| {_default_text(field)} | {meaning} |'
    )


def _type_name(annotation: object) -> str:
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin is typing.Annotated:
        return _type_name(arguments[0])
    if origin is typing.Literal:
        return ' or '.join(f'`{argument}`' for argument in arguments)
    if origin in {typing.Union, types.UnionType}:
        return ' or '.join(_type_name(argument) for argument in arguments)
    if origin is tuple:
        return f'list of {_type_name(arguments[0])}'
    if origin is dict:
        return f'map to {_type_name(arguments[1])}'
    return _scalar_type_name(annotation)


def _scalar_type_name(annotation: object) -> str:
    names: dict[object, str] = {
        str: 'text',
        int: 'integer',
        float: 'number',
        bool: 'boolean',
        Path: 'path',
        type(None): 'null',
        pydantic.IPvAnyAddress: 'IP address',
    }
    return names[annotation]


def _default_text(field: FieldInfo) -> str:
    if field.is_required():
        return 'required'
    default = field.get_default(call_default_factory=True)
    return 'none' if default is None else f'`{json.dumps(default)}`'


if __name__ == '__main__':
    sys.stdout.write(settings_page())
