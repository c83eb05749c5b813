"""Steps of teams_platform.feature."""

from __future__ import annotations

import time

from behave import given, then, when
from behave.runner import Context

from features import builders_forward_processes as processes
from features import builders_teams as teams
from features import builders_users_platform as users
from features.builders_processes import wait_until
from guavadyke.forward_job_documents import JOB_KIND, PAGE_KIND, PROGRESS_KIND

_AMBER, _AMBER_SECOND = teams.KEYS['amber']
_BIRCH = teams.KEYS['birch'][0]
_RESULTS_S = 15.0
_ITEMS = 3
_REVOKE_S = 5.0
_OPEN_WATCH_S = 1.2


@given('a daemon with teams')
def step_fleet(context: Context) -> None:
    _start(context, teams.team_configuration(1))


@given('a daemon without teams')
def step_fleet_without_teams(context: Context) -> None:
    _start(context, users.configuration())


@given('a daemon with teams and a strict bound, and one without the bound')
def step_strict(context: Context) -> None:
    _start(context, teams.team_configuration(1), daemons=0)
    context.fleet.settings = dict(teams.STRICT)
    context.daemon = context.fleet.start_daemon()
    context.fleet.settings = {}
    context.other = context.fleet.start_daemon()
    context.fleet.wait_ready()
    assert teams.submit(context.daemon, 'job-1', _AMBER).status == 202
    _wait_for_items(context, _AMBER)


@given('two daemons with teams and a strict bound')
def step_two_strict(context: Context) -> None:
    _start(context, teams.team_configuration(1), daemons=0)
    context.fleet.settings = dict(teams.STRICT)
    context.daemon = context.fleet.start_daemon()
    context.fleet.start_daemon()
    context.fleet.wait_ready()


@then('calls without a key or with an unknown one are answered 401')
def step_rejected(context: Context) -> None:
    for key in ('', teams.UNKNOWN_KEY):
        statuses = [
            teams.stream(context.daemon, 'r-0', key).status,
            teams.submit(context.daemon, 'job-0', key).status,
            *teams.job_statuses(context.daemon, 'job-0', key),
        ]
        assert set(statuses) == {401}, statuses
    assert not context.engine.requests


@then('a path without a route is answered 404 whatever the key')
def step_no_route(context: Context) -> None:
    for key in ('', teams.UNKNOWN_KEY, _AMBER):
        answer = teams.stream(context.daemon, 'r-0', key, '/absent/')
        assert answer.status == 404, answer.status


@then('the engine is told the team of each key and of no claim')
def step_told(context: Context) -> None:
    calls = (
        (_AMBER, users.STREAM_PREFIX, 'amber'),
        (_AMBER_SECOND, users.STREAM_PREFIX, 'amber'),
        (_BIRCH, users.STREAM_PREFIX, 'birch'),
        (_AMBER, teams.OPEN_PREFIX, 'amber'),
        (teams.UNKNOWN_KEY, teams.OPEN_PREFIX, None),
        ('', teams.OPEN_PREFIX, None),
    )
    for number, (key, prefix, _team) in enumerate(calls):
        answer = teams.stream(context.daemon, f'r-{number}', key, prefix)
        assert answer.status == 200, answer.data
    assert _told(context) == [(team, None) for _key, _prefix, team in calls]


@then('items of a job are sent with the team that submitted it')
def step_items(context: Context) -> None:
    context.engine.requests.clear()
    step_submit(context)
    _wait_for_items(context, _AMBER)
    assert set(_told(context)) == {('amber', None)}, _told(context)


@when('amber submits a job under its first key')
def step_submit(context: Context) -> None:
    assert teams.submit(context.daemon, 'job-1', _AMBER).status == 202


@then('birch gets 404 on each call of the job and 409 on its submission')
def step_other_team(context: Context) -> None:
    statuses = teams.job_statuses(context.daemon, 'job-1', _BIRCH)
    assert statuses == [404, 404, 404], statuses
    answer = teams.submit(context.daemon, 'job-1', _BIRCH)
    assert answer.status == 409, answer.data


@when('a new version removes the first key of amber')
def step_remove_key(context: Context) -> None:
    _remove_key(context)
    assert wait_until(
        lambda: teams.stream(context.daemon, 'r-1', _AMBER).status == 401,
        teams.NEW_CONFIGURATION_S,
    )


@then('the first key is answered 401 and the second reads and cancels the job')
def step_second_key(context: Context) -> None:
    for key, status in ((_AMBER, 401), (_AMBER_SECOND, 200)):
        statuses = teams.job_statuses(context.daemon, 'job-1', key)
        assert set(statuses) == {status}, statuses


@when('calls come with known and unknown keys')
def step_calls(context: Context) -> None:
    for key in (_AMBER, _BIRCH, teams.UNKNOWN_KEY):
        teams.stream(context.daemon, f'r-{key[:5]}', key)
        teams.job_statuses(context.daemon, 'job-1', key)


@when('a configuration that cannot be read names keys')
def step_unreadable(context: Context) -> None:
    document = teams.team_configuration(2)
    document['Tenants'][0] = {'Name': 7, 'ApiKeys': _AMBER, 'Priority': _BIRCH}
    context.fleet.store.put('config', 'main', document)
    assert wait_until(
        lambda: 'event=configuration_unreadable' in context.daemon.log,
        teams.NEW_CONFIGURATION_S,
    )


@then('no log and no object of the daemon contains a key')
def step_no_secrets(context: Context) -> None:
    found = teams.secrets_in(context.daemon.log)
    assert not found, found
    kinds = (JOB_KIND, PROGRESS_KIND, PAGE_KIND)
    store = context.fleet.store
    bodies = [
        state.body.decode()
        for kind in kinds
        for state in store.table.page(kind, '', '', 500).objects
    ]
    assert bodies
    assert not teams.secrets_in(''.join(bodies))


@then('headers of callers reach the engine unchanged')
def step_unchanged(context: Context) -> None:
    assert teams.stream(context.daemon, 'r-1', _AMBER).status == 200
    assert _told(context) == [('birch', f'tOKEN {_AMBER}')], _told(context)


@when('a job waits whose items carry a key')
def step_waiting_job(context: Context) -> None:
    context.engine.script.refuse = True
    assert teams.submit(context.daemon, 'job-1').status == 202


@when('a new version adds teams')
def step_add_teams(context: Context) -> None:
    context.fleet.store.put('config', 'main', teams.team_configuration(2))
    assert wait_until(
        lambda: teams.stream(context.daemon, 'r-2').status == 401,
        teams.NEW_CONFIGURATION_S,
    )


@when('the engine takes requests again')
def step_takes_again(context: Context) -> None:
    context.engine.requests.clear()
    context.engine.script.refuse = False


@then('its items are run without a team or key')
def step_items_without_team(context: Context) -> None:
    _wait_for_items(context, _BIRCH)
    assert set(_told(context)) == {(None, None)}, _told(context)


@then('each team may read the job and no one else')
def step_read_by_all(context: Context) -> None:
    assert set(teams.job_statuses(context.daemon, 'job-1')) == {401}
    for key in (_AMBER, _BIRCH):
        statuses = teams.job_statuses(context.daemon, 'job-1', key)
        assert set(statuses) == {200}, statuses


@when('a new version removes all teams')
def step_remove_teams(context: Context) -> None:
    assert teams.submit(context.daemon, 'job-2', _AMBER).status == 202
    document = users.configuration(version=3)
    context.fleet.store.put('config', 'main', document)


@then('a request without a key is served and its job can be read')
def step_no_teams(context: Context) -> None:
    assert wait_until(
        lambda: teams.stream(context.daemon, 'r-3').status == 200,
        teams.NEW_CONFIGURATION_S,
    )
    assert teams.submit(context.daemon, 'job-2').status == 202
    assert set(teams.job_statuses(context.daemon, 'job-2')) == {200}


@when('the platform rejects both hosts and a new version removes a key')
def step_cut_off(context: Context) -> None:
    context.fleet.store.rejected_hosts = frozenset(
        daemon.name for daemon in context.fleet.daemons
    )
    # Watches that were open before still hear of changes until they end.
    time.sleep(_OPEN_WATCH_S)
    _remove_key(context)
    context.removed_at = time.monotonic()


@then('the strict host answers 503 and is not ready 5 seconds later')
def step_refuses(context: Context) -> None:
    time.sleep(max(0, context.removed_at + _REVOKE_S - time.monotonic()))
    answer = teams.stream(context.daemon, 'r-4', _AMBER)
    assert answer.status == 503, answer.data
    assert 'Retry-After' in answer.headers
    assert not context.daemon.is_ready()


@then('the other host goes on to serve the key')
def step_goes_on(context: Context) -> None:
    answer = teams.stream(context.other, 'r-5', _AMBER)
    assert answer.status == 200, answer.data
    assert context.other.is_ready(), 'not ready'


@then('the strict host answers 503 to unknown keys and reads jobs')
def step_unknown_is_503(context: Context) -> None:
    answer = teams.stream(context.daemon, 'r-6', teams.UNKNOWN_KEY)
    assert answer.status == 503, answer.data
    assert len(_results(context, _AMBER)) == _ITEMS


@then('the strict host serves requests of the anonymous route without a key')
def step_anonymous(context: Context) -> None:
    for key, status in (('', 200), (_AMBER, 503)):
        answer = teams.stream(context.daemon, 'r-7', key, teams.OPEN_PREFIX)
        assert answer.status == status, answer.data


@when('the platform accepts both hosts again')
def step_accepts(context: Context) -> None:
    context.fleet.store.rejected_hosts = frozenset()


@then('the strict host is ready again and answers 401 to the removed key')
def step_ready_again(context: Context) -> None:
    assert wait_until(context.daemon.is_ready, teams.NEW_CONFIGURATION_S)
    answer = teams.stream(context.daemon, 'r-8', _AMBER)
    assert answer.status == 401, answer.data
    answer = teams.stream(context.daemon, 'r-9', _AMBER_SECOND)
    assert answer.status == 200, answer.data


@then('its log tells once that the state began and once that it ended')
def step_log(context: Context) -> None:
    for event in ('keys_not_trusted', 'keys_trusted'):
        count = context.daemon.log.count(f'event={event} ')
        assert count == 1, (event, count)


@when('the platform rejects the first host only')
def step_reject_first(context: Context) -> None:
    # The host asks its peers, so it has to list them first.
    assert wait_until(
        lambda: 'event=peer_changed' in context.daemon.log, _RESULTS_S
    )
    context.fleet.store.rejected_hosts = frozenset((context.daemon.name,))


@then('the first host serves keys for {seconds:d} seconds without a refusal')
def step_serves(context: Context, seconds: int) -> None:
    until = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < until:
        answer = teams.stream(context.daemon, f'r-{len(statuses)}', _AMBER)
        statuses.append(answer.status)
        time.sleep(0.1)
    assert set(statuses) == {200}, statuses


def _start(
    context: Context, configuration: dict[str, object], daemons: int = 1
) -> None:
    context.fleet = processes.UsersFleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.configure = lambda: context.fleet.store.put(
        'config', 'main', configuration
    )
    context.fleet.start(daemons, 1)
    context.engine = context.fleet.engines[0]
    if daemons:
        context.daemon = context.fleet.daemons[0]


def _remove_key(context: Context) -> None:
    left = {**teams.KEYS, 'amber': (_AMBER_SECOND,)}
    document = teams.team_configuration(2, left)
    context.fleet.store.put('config', 'main', document)


def _told(context: Context) -> list[tuple[str | None, str | None]]:
    """Return the team and the credentials of each request at the engine."""
    return [
        (
            request.headers.get('tenant-id'),
            request.headers.get('authorization'),
        )
        for request in context.engine.requests
    ]


def _results(context: Context, key: str) -> list[object]:
    """Return the results of the job that a key can read."""
    answer = teams.call(context.daemon, '/api/lots/job-1?After=0', key)
    assert answer.status == 200, answer.data
    return answer.json()['Results']


def _wait_for_items(context: Context, key: str) -> None:
    assert wait_until(lambda: len(_results(context, key)) == _ITEMS, _RESULTS_S)
