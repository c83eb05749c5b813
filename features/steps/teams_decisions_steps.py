"""Steps of teams_decisions.feature."""

from __future__ import annotations

import dataclasses
import functools
import json

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_teams as teams
from features import builders_users_platform as users
from features.builders_batch_platform import MemoryPlatform
from features.builders_forward_watches import KIND, change
from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.ports import StoredObject, WatchAnswer
from guavadyke.adapters.shared_watches import WatchHub
from guavadyke.controllers.mirror import Mirror
from guavadyke.decisions.forward_job_ownership import check_quota
from guavadyke.decisions.forward_job_records import JobView
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.decisions.key_revocation import (
    longest_age_s,
    watch_freshness_s,
)
from guavadyke.decisions.teams import Team, request_priority
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.filters.team_authentication import TeamAuthentication
from guavadyke.metrics import HostMetrics
from guavadyke.platform.configuration import ConfigurationDecoder
from guavadyke.platform.settings_file import SettingsFile, host_settings
from guavadyke.settings import PlatformSettings
from guavadyke.snapshots import SnapshotCell

_HIDDEN = 'hidden-key'
_AMBER, _AMBER_SECOND = teams.KEYS['amber']
_BIRCH = teams.KEYS['birch'][0]
_WATCH_S = 1.0
_MARGIN_S = 0.8
_EXACT_S = 1e-9


class _Log:
    """Keeps the events that are logged, with their fields."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []

    def __getattr__(self, _level: str) -> object:
        return lambda event, **fields: self.events.append((event, fields))


@given('a configuration whose teams have keys')
def step_configuration(context: Context) -> None:
    context.routes = _decoded(teams.KEYS)


@then('each key finds its team')
def step_finds(context: Context) -> None:
    found = {
        key: context.routes.teams.find(key).name
        for keys in teams.KEYS.values()
        for key in keys
    }
    assert found == {
        key: name for name, keys in teams.KEYS.items() for key in keys
    }


@then('no, an empty or a similar key finds a team')
def step_finds_none(context: Context) -> None:
    empty = _decoded({'amber': ('', 'key')})
    assert empty.teams.find('') is None
    for key in ('', _AMBER[:-1], f'{_AMBER}x', _AMBER.upper()):
        assert context.routes.teams.find(key) is None, key


@then('no representation shows a key')
def step_no_representation(context: Context) -> None:
    stored = _stored(teams.team_configuration(1))
    shown = (context.routes, context.routes.teams.teams, stored)
    assert not teams.secrets_in(repr(shown)), shown


@given('a configuration whose only team has no keys')
def step_no_keys(context: Context) -> None:
    context.routes = _decoded({'amber': ()})


@then('the configuration has teams and no key is valid')
def step_no_key_valid(context: Context) -> None:
    assert context.routes.teams
    assert context.routes.teams.find('') is None


@when('a configuration is read whose keys are {keys}')
def step_read(context: Context, keys: str) -> None:
    text = json.dumps(teams.team_configuration(1, {'amber': ()}))
    body = text.replace('"ApiKeys": []', f'"ApiKeys": {keys}').encode()
    assert _HIDDEN.encode() in body
    context.log = _Log()
    decode = ConfigurationDecoder(context.log)
    context.routes = decode(StoredObject('config', 'main', 1, body))


@then('it is ignored and its log line shows no key')
def step_ignored(context: Context) -> None:
    assert context.routes is None
    assert len(context.log.events) == 1
    assert _HIDDEN not in repr(context.log.events), context.log.events


@then(
    'a request of a team with priority {team} on a route with {route:d} '
    'has {priority:d}'
)
def step_priority(
    _context: Context, team: str, route: int, priority: int
) -> None:
    stated = None if team == 'none' else int(team)
    assert request_priority(route, Team('amber', stated)) == priority
    assert request_priority(route, None) == route


@given(
    'amber has a job of {amber:d} waiting tokens, birch one of {birch:d}, '
    'no team one of {none:d}'
)
def step_jobs(context: Context, amber: int, birch: int, none: int) -> None:
    tokens = {'amber': amber, 'birch': birch, '': none}
    context.jobs = {
        team: JobView(_job(f'job-{team}', team, count))
        for team, count in tokens.items()
    }


@then(
    'a limit of 900 leaves {amber:d} for amber, {birch:d} for birch and '
    '{none:d} for no team'
)
def step_leaves(context: Context, amber: int, birch: int, none: int) -> None:
    for team, left in {'amber': amber, 'birch': birch, '': none}.items():
        assert _fits(context, left, team), team
        assert not _fits(context, left + 1, team), team


@then('it leaves none where there are no teams')
def step_leaves_none(context: Context) -> None:
    assert not _fits(context, 1, None)


@given('a host with a limit of 900 tokens')
def step_limited_host(context: Context) -> None:
    context.host = build.job_host(MemoryPlatform())
    context.route = build.route(waiting_tokens=900)


@when(
    'birch and amber submit jobs of 600 while a job of 600 of amber is stored'
)
def step_submit_meanwhile(context: Context) -> None:
    create = context.host.store.create
    context.codes = {}

    def create_slowly(job: object) -> bool:
        context.host.store.create = create
        for team in ('birch', 'amber'):
            submit = functools.partial(_submit, context, f'{team}-2', team)
            context.codes[team] = _code_of(submit)
        return create(job)

    context.host.store.create = create_slowly
    _submit(context, 'amber-1', 'amber')


@then('amber is refused with 429 and birch is not')
def step_amber_refused(context: Context) -> None:
    assert context.codes == {
        'amber': ErrorCode.limit_exceeded,
        'birch': None,
    }, context.codes


@then(
    'a bound of {bound:g} s and changes learned in {freshness:g} s leave '
    '{age:g} s'
)
def step_age(
    _context: Context, bound: float, freshness: float, age: float
) -> None:
    longest_s = longest_age_s(bound, watch_freshness_s(bound, freshness))
    assert abs(longest_s - age) < _EXACT_S, longest_s
    assert watch_freshness_s(0, freshness) == freshness


@when('the settings file has StrictRevoke {strict} and RevokeMs 5000')
def step_settings(context: Context, strict: str) -> None:
    text = users.settings_lines(
        Bounds__StrictRevoke='' if strict == 'absent' else strict,
        Bounds__RevokeMs='5000',
    )
    lines = (line.partition('=') for line in text.splitlines())
    settings = host_settings(
        SettingsFile({key: value for key, _separator, value in lines})
    )
    context.bound_s = settings.platform.revocation_s


@then('the bound is {bound:g} seconds')
def step_bound(context: Context, bound: float) -> None:
    assert abs(context.bound_s - bound) < _EXACT_S, context.bound_s


@given(
    'a host that learned its teams {age:g} seconds ago under a bound of '
    '{bound:g} seconds'
)
def step_learned(context: Context, age: float, bound: float) -> None:
    context.clock = build.ManualClock()
    context.log = _Log()
    context.metrics = HostMetrics()
    context.cell = SnapshotCell(_decoded(teams.KEYS))
    mirror = object.__new__(Mirror)
    mirror._clock = context.clock
    mirror._reached_at = build.NOW - age
    mirror._known_at = build.NOW - age
    context.authentication = TeamAuthentication(
        PlatformSettings(
            url='http://127.0.0.1:1', revocation_s=bound, freshness_s=2
        ),
        context.cell,
        mirror,
        context.metrics,
        context.log,
    )


@when('{seconds:g} seconds pass')
def step_pass(context: Context, seconds: float) -> None:
    context.clock.now += seconds


@then('it trusts keys')
def step_trusts(context: Context) -> None:
    assert context.authentication.trust.trusted
    assert _team(context, _AMBER).name == 'amber'


@then('it does not trust keys and refuses an unknown key with 503')
def step_trusts_not(context: Context) -> None:
    assert not context.authentication.trust.trusted
    code = _code_of(lambda: _team(context, teams.UNKNOWN_KEY))
    assert code is ErrorCode.not_ready, code


@then('it serves an anonymous route without a key and refuses it a known one')
def step_serves_anonymous(context: Context) -> None:
    assert _team(context, '', anonymous=True) is None
    code = _code_of(lambda: _team(context, _AMBER, anonymous=True))
    assert code is ErrorCode.not_ready, code


@then('it lets teams read their jobs')
def step_lets_read(context: Context) -> None:
    team = context.authentication.team_of_job_call(
        context.cell.current, _BIRCH, lambda: None
    )
    assert team == 'birch', team


@then('it has counted {count:d} refusals')
def step_counted(context: Context, count: int) -> None:
    counted = context.metrics.counters()['refused_keys_not_trusted']
    assert counted == count, counted


@when('a configuration removes all teams')
def step_remove_all(context: Context) -> None:
    context.cell.publish(RouteTable(2))


@then('it trusts keys and has logged one beginning and one end')
def step_logged(context: Context) -> None:
    assert context.authentication.trust.trusted
    assert [event for event, _fields in context.log.events] == [
        'keys_not_trusted',
        'keys_trusted',
    ]


@given('a host that heard of a change and then {pause}')
def step_suspended(context: Context, pause: str) -> None:
    clock = build.ManualClock()
    context.hub = WatchHub(_MARGIN_S, clock)
    asked_at = context.hub.now()
    suspended_s = _WATCH_S + _MARGIN_S + 0.1
    if pause.endswith('watch'):
        clock.sleep(_WATCH_S + suspended_s)
    context.hub.record(
        calls.WatchQuery(KIND, 1, _WATCH_S),
        WatchAnswer(2, (change(2),)),
        asked_at,
    )
    if not pause.endswith('watch'):
        known = context.hub.answer(calls.WatchQuery(KIND, 1, 0))
        assert known.error is None, known
        clock.sleep(suspended_s)


@then('it answers another host that it does not know')
def step_does_not_know(context: Context) -> None:
    reply = context.hub.answer(calls.WatchQuery(KIND, 1, 0))
    assert reply.error is not None, reply


def _stored(document: object) -> StoredObject:
    return StoredObject('config', 'main', 1, json.dumps(document).encode())


def _decoded(keys: dict[str, tuple[str, ...]]) -> RouteTable:
    stored = _stored(teams.team_configuration(1, keys))
    return ConfigurationDecoder(_Log())(stored)


def _job(job_id: str, team: str, tokens: int) -> object:
    job = build.job(job_id, items=1)
    items = (dataclasses.replace(job.items[0], tokens=tokens),)
    return dataclasses.replace(job, items=items, team=team)


def _fits(context: Context, tokens: int, team: str | None) -> bool:
    return check_quota('replies', tokens, 900, context.jobs, team).fits


def _submit(context: Context, job_id: str, team: str) -> None:
    items = _job(job_id, team, 600).items
    context.host.job_api.submit(
        job_id, context.route, 'reports.example', items, team
    )


def _team(context: Context, key: str, *, anonymous: bool = False) -> Team:
    route = dataclasses.replace(build.route(), anonymous=anonymous)
    return context.authentication.team_of_request(
        context.cell.current, route, key
    )


def _code_of(call: object) -> ErrorCode | None:
    try:
        call()
    except GuavadykeError as error:
        return error.code
    return None
