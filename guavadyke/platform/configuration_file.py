"""Checks files with a configuration as operators write it."""

from __future__ import annotations

import dataclasses
import itertools
import json
import types
from collections.abc import Iterator
from typing import Any

import pydantic
import pydantic_core

from guavadyke.decisions.configuration_checks import (
    CheckedConfiguration,
    ConfigurationFinding,
    Place,
    Severity,
    check_configuration,
    check_version,
)
from guavadyke.decisions.configuration_differences import (
    entry_differences,
    field_differences,
    key_differences,
)
from guavadyke.decisions.forward_routes import ForwardRoute, RouteKind
from guavadyke.platform.configuration import (
    ReadConfiguration,
    known_kind,
    read_configuration,
)

_ROUTES = 'Routes'
_TEAMS = 'Tenants'
_LIMITS = 'Limits'
_SERVICES = 'Services'
_NAME = 'Name'
_SPLIT = 'TrafficSplit'
_KEYS = 'ApiKeys'
# Names of the places of findings in the file.
_WIRE_NAMES = types.MappingProxyType({
    'version': 'Version',
    'routes': _ROUTES,
    'limits': _LIMITS,
    'teams': _TEAMS,
    'services': _SERVICES,
    'name': _NAME,
    'keys': _KEYS,
    'burst': 'Burst',
    'host': 'Host',
    'path_prefix': 'PathPrefix',
    'timeout_s': 'TimeoutMs',
    'max_attempts': 'MaxAttempts',
    'target_latency_s': 'TargetLatencyMs',
    'target_complete_s': 'TargetCompleteMs',
    'abandon_after_s': 'MaxWaitS',
    'waiting_tokens': 'MaxCount',
    'resumable': 'Resumable',
    'shares': _SPLIT,
    'service': 'Service',
    'weight': 'Weight',
    'max_header_bytes': 'MaxHeaderBytes',
    'max_body_bytes': 'MaxBodyBytes',
    'idle_timeout_s': 'IdleTimeoutMs',
})


class ConfigurationFile:
    """A configuration that has been read from a file, with its findings.

    Args:
        body: content of the file.
    """

    def __init__(self, body: bytes) -> None:
        self._parsed: _ParsedFile | None = None
        try:
            self._parsed = _ParsedFile(
                read_configuration(body), pydantic_core.from_json(body)
            )
        except pydantic.ValidationError as error:
            self.findings = list(_format_findings(error))
            return
        self.findings = sorted(
            self._parsed.findings(),
            key=lambda finding: finding.severity,
            reverse=True,
        )

    @property
    def keys(self) -> frozenset[str]:
        """All keys of teams, as far as the file can be read."""
        teams = self._parsed.read.teams if self._parsed else ()
        return frozenset(
            itertools.chain.from_iterable(one.keys for one in teams)
        )

    def compare(self, in_force: ConfigurationFile) -> None:
        """Add how it differs from the version in force to the findings."""
        if in_force._parsed is None:
            self.findings.extend(
                dataclasses.replace(
                    one, message=f'version in force: {one.message}'
                )
                for one in in_force.findings
            )
        elif self._parsed is not None:
            self.findings.extend(self._parsed.compare(in_force._parsed))


@dataclasses.dataclass(frozen=True)
class _ParsedFile:
    """A file as hosts read it, and ``raw`` as it is written."""

    read: ReadConfiguration
    raw: dict[str, Any]

    @property
    def services(self) -> list[dict[str, Any]]:
        """The listed services that have a name."""
        listed = self.raw.get(_SERVICES)
        if not isinstance(listed, list):
            return []
        return [
            one
            for one in listed
            if isinstance(one, dict) and isinstance(one.get(_NAME), str)
        ]

    def findings(self) -> Iterator[ConfigurationFinding]:
        """Yield errors and warnings."""
        yield from _unknown_fields((), self.raw, self.read.document)
        yield from self._service_findings()
        for section in (_ROUTES, _TEAMS):
            for index, raw in enumerate(self.raw.get(section, ())):
                yield from _unknown_fields(
                    (section, index), raw, self.read.document[section][index]
                )
        for index, raw in enumerate(self.raw[_ROUTES]):
            yield from _kind_findings(index, raw)
        for one in check_configuration(self._checked()):
            yield dataclasses.replace(one, place=self._wire_place(one.place))

    def compare(self, in_force: _ParsedFile) -> list[ConfigurationFinding]:
        """Return how it differs from the version in force."""
        differences = [
            *_document_differences(self.read, in_force.read),
            *entry_differences(
                _SERVICES, _NAME, self.services, in_force.services
            ),
        ]
        versions = check_version(
            self.read.version,
            in_force.read.version,
            differs=bool(differences),
        )
        return [
            *(
                dataclasses.replace(one, place=self._wire_place(one.place))
                for one in versions
            ),
            *differences,
        ]

    def _checked(self) -> CheckedConfiguration:
        names = tuple(one[_NAME] for one in self.services)
        return CheckedConfiguration(
            version=self.read.version,
            routes=self.read.routes,
            limits=self.read.limits,
            teams=self.read.teams,
            services=None if self.raw.get(_SERVICES) is None else names,
            needed_body_bytes=_needed_body_bytes,
        )

    def _wire_place(self, place: Place) -> Place:
        """Return a place with the names of the file.

        A route without a traffic split has its one share in a field.
        """
        named = tuple(
            _WIRE_NAMES[part] if isinstance(part, str) else part
            for part in place
        )
        if _SPLIT in named and not self.raw[_ROUTES][place[1]].get(_SPLIT):
            return (*named[:2], 'Service')
        return named

    def _service_findings(self) -> Iterator[ConfigurationFinding]:
        listed = self.raw.get(_SERVICES)
        if listed is None or listed == self.services:
            return
        yield ConfigurationFinding(
            Severity.error, (_SERVICES,), 'is not a list of named services'
        )


def _kind_findings(
    index: int, route: dict[str, Any]
) -> Iterator[ConfigurationFinding]:
    """Yield what hosts read in a route without complaint."""
    if not known_kind(route['Kind']):
        yield ConfigurationFinding(
            Severity.error,
            (_ROUTES, index, 'Kind'),
            f'route {route[_NAME]!r}: the kind is not known',
        )
    if route.get(_SPLIT) and route.get('Service'):
        yield ConfigurationFinding(
            Severity.warning,
            (_ROUTES, index, 'Service'),
            f'route {route[_NAME]!r}: its traffic split is used instead',
        )


def _unknown_fields(
    place: Place, raw: dict[str, Any], known: dict[str, Any]
) -> Iterator[ConfigurationFinding]:
    """Yield fields that hosts ignore; in a team they might be keys."""
    for name in sorted(raw.keys() - known.keys() - {_SERVICES, _KEYS}):
        shown = place if _TEAMS in place else (*place, name)
        yield ConfigurationFinding(
            Severity.warning, shown, 'has a field that is not known'
        )


def _format_findings(
    error: pydantic.ValidationError,
) -> Iterator[ConfigurationFinding]:
    """Yield the errors of a file that cannot be read, without its values."""
    for one in error.errors(
        include_url=False, include_input=False, include_context=False
    ):
        yield ConfigurationFinding(Severity.error, one['loc'], one['msg'])


def _document_differences(
    offered: ReadConfiguration, in_force: ReadConfiguration
) -> Iterator[ConfigurationFinding]:
    new, old = offered.document, in_force.document
    for section in (_ROUTES, _TEAMS):
        yield from entry_differences(section, _NAME, new[section], old[section])
    yield from field_differences(
        (_LIMITS,), new[_LIMITS] or {}, old[_LIMITS] or {}, 'limits'
    )
    before = {one.team.name: one for one in in_force.teams}
    for index, one in enumerate(offered.teams):
        earlier = before.get(one.team.name, one)
        yield from key_differences((_TEAMS, index, _KEYS), one, earlier)


def _needed_body_bytes(route: ForwardRoute) -> int:
    """Return the size of the smallest request of a route in bytes.

    That of a batch route is a job of one item; others may have no body.
    """
    if route.kind is not RouteKind.batch:
        return 0
    item = {'Id': '0', 'Path': route.path_prefix, 'Tokens': 0}
    return len(json.dumps({'Items': [item]}, separators=(',', ':')).encode())
