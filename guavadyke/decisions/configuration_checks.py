"""Checks of a configuration before it is sent.

Addresses no load of its own: a configuration that means something else than
was intended shows only in the requests that it refuses or sends elsewhere.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
from collections.abc import Callable, Iterator
from typing import TypeAlias

from guavadyke.decisions.forward_routes import (
    CallerLimits,
    ForwardRoute,
    RouteKind,
)
from guavadyke.decisions.teams import Team

# Section, position in it and field, as far as a finding has them.
Place: TypeAlias = tuple[str | int, ...]


class Severity(enum.IntEnum):
    """How serious a finding is; ``change`` is no fault."""

    change = 0
    warning = 1
    error = 2


@dataclasses.dataclass(frozen=True)
class ConfigurationFinding:
    """A finding; its message contains no key."""

    severity: Severity
    place: Place
    message: str


@dataclasses.dataclass(frozen=True)
class TeamKeys:
    """A team with its keys, which its representation leaves out."""

    team: Team
    keys: tuple[str, ...] = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True)
class CheckedConfiguration:
    """A configuration in the order in which it is written.

    Attributes:
        version: its version.
        routes: all routes.
        limits: limits on requests of callers.
        teams: all teams.
        services: names of all services, None if it does not list them.
        needed_body_bytes: size in bytes of the smallest body that requests
            of a route have.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    limits: CallerLimits
    teams: tuple[TeamKeys, ...]
    services: tuple[str, ...] | None
    needed_body_bytes: Callable[[ForwardRoute], int]


def check_configuration(
    checked: CheckedConfiguration,
) -> list[ConfigurationFinding]:
    """Return the findings of one configuration, errors and warnings."""
    return [
        *_version_findings(checked),
        *_limit_findings(checked),
        *itertools.chain.from_iterable(
            _route_findings(place, checked)
            for place in range(len(checked.routes))
        ),
        *_service_findings(checked),
        *_team_findings(checked.teams),
        *_key_findings(checked.teams),
    ]


def check_version(
    offered: int, in_force: int, *, differs: bool
) -> list[ConfigurationFinding]:
    """Return the finding of a version that does not rise, if it does not.

    Hosts ignore it, which is harmless where it is the one in force.

    Args:
        offered: version of the checked configuration.
        in_force: version that hosts have.
        differs: whether anything but the version differs.
    """
    if offered > in_force:
        return []
    ignored = differs or offered < in_force
    severity = Severity.error if ignored else Severity.warning
    message = f'version {offered} is not above {in_force}, which is in force'
    return [ConfigurationFinding(severity, ('version',), message)]


def _version_findings(
    checked: CheckedConfiguration,
) -> Iterator[ConfigurationFinding]:
    if checked.version < 1:
        yield ConfigurationFinding(
            Severity.error, ('version',), 'versions begin at 1'
        )


def _limit_findings(
    checked: CheckedConfiguration,
) -> Iterator[ConfigurationFinding]:
    for field in dataclasses.fields(checked.limits):
        if not getattr(checked.limits, field.name) > 0:
            yield ConfigurationFinding(
                Severity.error, ('limits', field.name), 'is not above 0'
            )


def _route_findings(
    index: int, checked: CheckedConfiguration
) -> Iterator[ConfigurationFinding]:
    """Yield the findings of one route, with their places."""
    route = checked.routes[index]
    found = itertools.chain(
        _rule_findings(route),
        _match_findings(route, checked.routes[:index]),
        _share_findings(route),
        _contradictions(route, checked),
    )
    for severity, field, message in found:
        yield ConfigurationFinding(
            severity,
            ('routes', index, *field),
            f'route {route.name!r}: {message}',
        )


_RouteFinding: TypeAlias = tuple[Severity, Place, str]


def _rule_findings(route: ForwardRoute) -> Iterator[_RouteFinding]:
    if not route.name:
        yield Severity.error, ('name',), 'has no name'
    if not 0 < route.timeout_s < float('inf'):
        yield Severity.error, ('timeout_s',), 'the timeout is not above 0'
    if route.max_attempts < 1:
        yield Severity.error, ('max_attempts',), 'has no attempt'
    for field in (
        'target_latency_s',
        'target_complete_s',
        'abandon_after_s',
        'waiting_tokens',
    ):
        if not 0 <= getattr(route, field) < float('inf'):
            yield Severity.error, (field,), 'is below 0 or not a number'


def _match_findings(
    route: ForwardRoute, earlier: tuple[ForwardRoute, ...]
) -> Iterator[_RouteFinding]:
    """Yield why a route is not found, given the routes before it.

    Of two routes with the same host and prefix the first one is used; a
    longer prefix leaves the shorter one the other paths.
    """
    if any(route.name == one.name for one in earlier):
        yield Severity.error, ('name',), 'the name is not unique'
    if not route.path_prefix.startswith('/'):
        yield (
            Severity.warning,
            ('path_prefix',),
            'never matches: paths begin with a slash',
        )
    if '?' in route.path_prefix:
        yield (
            Severity.warning,
            ('path_prefix',),
            'never matches: queries are no part of paths',
        )
    host, _colon, port = route.host.rpartition(':')
    if not route.host or (host and port.isdecimal()):
        yield (
            Severity.warning,
            ('host',),
            'never matches: hosts are compared by name, without a port',
        )
    place = (route.host, route.path_prefix)
    first = next(
        (one for one in earlier if (one.host, one.path_prefix) == place), None
    )
    if first is not None:
        yield (
            Severity.warning,
            ('path_prefix',),
            f'never matches: route {first.name!r} has the same host and prefix',
        )


def _share_findings(route: ForwardRoute) -> Iterator[_RouteFinding]:
    counts = collections.Counter(share.service for share in route.shares)
    for number, share in enumerate(route.shares):
        place = ('shares', number)
        if not share.service:
            yield Severity.error, (*place, 'service'), 'names no service'
        if share.weight == 0:
            yield (
                Severity.warning,
                (*place, 'weight'),
                f'service {share.service!r} has a share of weight 0',
            )
        if counts.pop(share.service, 0) > 1:
            yield (
                Severity.warning,
                (*place, 'service'),
                f'service {share.service!r} has several shares',
            )


def _contradictions(
    route: ForwardRoute, checked: CheckedConfiguration
) -> Iterator[_RouteFinding]:
    if route.target_latency_s > route.timeout_s:
        yield (
            Severity.warning,
            ('target_latency_s',),
            'the latency objective is above the timeout',
        )
    if 0 < route.abandon_after_s < route.target_complete_s:
        yield (
            Severity.warning,
            ('target_complete_s',),
            'the time to complete is above the time until items are given up',
        )
    if 0 < route.abandon_after_s < route.target_latency_s:
        yield (
            Severity.warning,
            ('target_latency_s',),
            'the latency objective is above the time until items are given up',
        )
    needed = checked.needed_body_bytes(route)
    if checked.limits.max_body_bytes < needed:
        yield (
            Severity.warning,
            (),
            f'the body limit is below its smallest request, {needed} bytes',
        )
    if route.resumable and route.kind is not RouteKind.streamed:
        yield Severity.warning, ('resumable',), 'only streams are resumed'


def _service_findings(
    checked: CheckedConfiguration,
) -> Iterator[ConfigurationFinding]:
    if checked.services is None:
        return
    known = frozenset(checked.services)
    for index, route in enumerate(checked.routes):
        for missing in sorted(route.services - known - {''}):
            yield ConfigurationFinding(
                Severity.error,
                ('routes', index),
                f'route {route.name!r}: service {missing!r} does not exist',
            )
    used = frozenset(
        itertools.chain.from_iterable(one.services for one in checked.routes)
    )
    for index, service in enumerate(checked.services):
        place = ('services', index, 'name')
        if service in checked.services[:index]:
            yield ConfigurationFinding(
                Severity.error, place, f'service {service!r} is listed twice'
            )
        if service not in used:
            yield ConfigurationFinding(
                Severity.warning, place, f'no route uses service {service!r}'
            )


def _team_findings(
    teams: tuple[TeamKeys, ...],
) -> Iterator[ConfigurationFinding]:
    names = [one.team.name for one in teams]
    for index, (team, keys) in enumerate((one.team, one.keys) for one in teams):
        if team.name in names[:index]:
            yield _team_finding(
                Severity.error, index, 'name', 'the name is not unique', team
            )
        if not keys:
            yield _team_finding(
                Severity.warning, index, 'keys', 'has no key', team
            )
        if team.burst > 0 and not team.limited:
            yield _team_finding(
                Severity.warning, index, 'burst', 'a burst without a rate', team
            )


def _key_findings(
    teams: tuple[TeamKeys, ...],
) -> Iterator[ConfigurationFinding]:
    """Yield what is wrong with keys, which are named by their positions."""
    first_team: dict[str, int] = {}
    for index, one in enumerate(teams):
        for number, key in enumerate(one.keys):
            holder = teams[first_team.setdefault(key, index)]
            yield from _faults_of_key(index, number, one, holder)


def _faults_of_key(
    index: int, number: int, one: TeamKeys, holder: TeamKeys
) -> Iterator[ConfigurationFinding]:
    """Yield what is wrong with a key that ``holder`` has first."""
    key = one.keys[number]
    field = f'keys.{number}'
    if not key.strip():
        yield _team_finding(
            Severity.error, index, field, 'an empty key', one.team
        )
    if holder is not one:
        message = f'is also a key of team {holder.team.name!r}'
        yield _team_finding(Severity.error, index, field, message, one.team)
    elif key in one.keys[:number]:
        yield _team_finding(
            Severity.warning, index, field, 'is listed twice', one.team
        )


def _team_finding(
    severity: Severity, index: int, field: str, message: str, team: Team
) -> ConfigurationFinding:
    name, _dot, number = field.partition('.')
    place: Place = ('teams', index, name)
    if number:
        place = (*place, int(number))
    return ConfigurationFinding(
        severity, place, f'team {team.name!r}: {message}'
    )
