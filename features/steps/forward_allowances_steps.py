"""Steps of forward_allowances.feature."""

from __future__ import annotations

import itertools
from collections import Counter

from behave import given, then, when
from behave.runner import Context

from features import builders_allowance_fleet as fleets
from features import builders_users_platform as users
from features.builders_allowance_daemons import TeamFleet
from features.builders_allowance_fleet import AllowanceFleet, most_in_window
from guavadyke.adapters.message_authentication import AUTHENTICATION_BYTES
from guavadyke.adapters.peer_datagram_codec import (
    PeerDatagram,
    decode_datagram,
    encode_datagram,
)
from guavadyke.adapters.ports import PeerNotice
from guavadyke.decisions.object_versions import CatalogueMark
from guavadyke.decisions.rendezvous_hashing import rank_names, rendezvous
from guavadyke.decisions.team_allowances import (
    AllowancePermit,
    AllowanceRequest,
)
from guavadyke.decisions.teams import Team
from guavadyke.platform.settings_file import SettingsFile, host_settings

_TEAM = 'team'
_USUAL = 1 / 1.6
_WINDOW_S = 5
# Time of the hosts of the builder to read a configuration.
_READ_S = 1
# A notice of an ended job, as the release before allowances encoded it.
_OLD_DATAGRAM = (
    '15021806686f73742d3116021602160011a6001804626f6f7416027918056a6f622d3100'
)


@given(
    '{size:d} hosts and a team with a limit of {rate:g} requests a second and '
    'a burst of {burst:g}'
)
def step_fleet(context: Context, size: int, rate: float, burst: float) -> None:
    context.team = Team(_TEAM, None, rate, burst)
    context.fleet = fleets.RestartingFleet(size, (context.team,))
    context.since = context.fleet.clock.now
    context.seconds = 0


@given(
    '{size:d} hosts and {count:d} teams with a limit of {rate:g} requests a '
    'second'
)
def step_many_teams(
    context: Context, size: int, count: int, rate: float
) -> None:
    teams = [Team(f'team-{number}', None, rate) for number in range(count)]
    context.loads = {team.name: rate * _USUAL for team in teams}
    context.fleet = AllowanceFleet(size, teams)


@when('10 times its limit arrives for {seconds:g} seconds')
def step_hot(context: Context, seconds: float) -> None:
    step_load(context, 10 * context.team.requests_per_s, seconds)


@when('its usual load arrives for {seconds:g} seconds')
def step_usual(context: Context, seconds: float) -> None:
    step_load(context, _USUAL * context.team.requests_per_s, seconds)


@when('{per_s:g} requests a second arrive for {seconds:g} seconds')
def step_load(context: Context, per_s: float, seconds: float) -> None:
    context.fleet.run(seconds, {_TEAM: per_s})
    context.seconds += seconds


@when('the usual load of all teams arrives for {seconds:g} seconds')
def step_all_usual(context: Context, seconds: float) -> None:
    context.fleet.run(seconds, context.loads)
    context.seconds = seconds


@when('nothing fails')
def step_no_fault(context: Context) -> None:
    context.issuer = context.fleet.issuer(_TEAM).name


@when('the issuer is lost')
def step_lost(context: Context) -> None:
    context.fleet.lose(context.fleet.issuer(_TEAM).name)


@when('the issuer is frozen')
def step_frozen(context: Context) -> None:
    context.frozen = context.fleet.issuer(_TEAM).name
    context.fleet.freeze(context.frozen)


@when('the issuer restarts')
def step_restarts(context: Context) -> None:
    issuer = context.fleet.issuer(_TEAM).name
    context.fleet.lose(issuer)
    context.fleet.add(issuer)


@when('all hosts restart')
def step_all_restart(context: Context) -> None:
    context.fleet.restart(sorted(context.fleet.hosts))


@when('half of the hosts restart')
def step_half_restart(context: Context) -> None:
    context.fleet.restart(sorted(context.fleet.hosts)[::2])


@when('another issuer is added')
def step_added(context: Context) -> None:
    fleet = context.fleet
    key = f'allowances/{_TEAM}'
    names = (f'new-{number}' for number in itertools.count())
    fleet.add(
        next(
            name
            for name in names
            if rendezvous(key, {*fleet.hosts, name}) == name
        )
    )


@when('the fleet is cut in two')
def step_cut(context: Context) -> None:
    context.fleet.cut(sorted(context.fleet.hosts)[::2])


@when('one host is cut off')
def step_one_cut(context: Context) -> None:
    issuer = context.fleet.issuer(_TEAM).name
    names = (name for name in context.fleet.hosts if name != issuer)
    context.fleet.cut((next(names),))


@when('the issuer is cut off')
def step_issuer_cut(context: Context) -> None:
    context.fleet.cut((context.fleet.issuer(_TEAM).name,))


@when('a tenth of the datagrams is lost')
def step_lossy(context: Context) -> None:
    context.fleet.loss = 0.1


@when('the fault ends')
def step_heals(context: Context) -> None:
    context.fleet.loss = 0
    context.fleet.cut(())
    if 'frozen' in context:
        context.fleet.resume(context.frozen)


@when('its limit becomes {rate:g} requests a second and a burst of {burst:g}')
def step_limit(context: Context, rate: float, burst: float) -> None:
    context.team = Team(_TEAM, None, rate, burst)
    context.fleet.configure(context.fleet.table.version + 1, (context.team,))
    context.since = context.fleet.clock.now + _READ_S + _WINDOW_S
    context.fleet.run(_READ_S + _WINDOW_S, {_TEAM: 400})


@when(
    'all hosts but the issuer learn a limit of {rate:g} requests a second and '
    'a burst of {burst:g}'
)
def step_issuer_behind(context: Context, rate: float, burst: float) -> None:
    issuer = context.fleet.issuer(_TEAM)
    before = issuer.table.current
    step_limit(context, rate, burst)
    issuer.table.publish(before)
    context.since = context.fleet.clock.now + _WINDOW_S
    context.fleet.run(_WINDOW_S, {_TEAM: 400})


@when(
    'all datagrams are lost for a host that wants {per_s:d} requests a second '
    'for {seconds:d} seconds'
)
def step_alone(context: Context, per_s: int, seconds: int) -> None:
    fleet = context.fleet
    fleet.loss = 1
    last = rank_names(f'allowances/{_TEAM}', fleet.hosts)[-1]
    host = fleet.hosts[last]
    for _ in range(per_s * seconds):
        fleet.clock.sleep(1 / per_s)
        fleet.request(host, _TEAM)
    context.seconds = seconds


@when('a host has used all permits and gives one back')
def step_give_back(context: Context) -> None:
    host = next(iter(context.fleet.hosts.values()))
    grant = host.allowances.take(context.team)
    while context.fleet.request(host, _TEAM):
        """Use the permits up."""
    host.allowances.give_back(context.team, grant)
    context.host = host


@then('one more request of the team runs within 0.5 seconds')
def step_given_back(context: Context) -> None:
    context.fleet.clock.sleep(0.1)
    assert context.fleet.request(context.host, _TEAM)
    assert not context.fleet.request(context.host, _TEAM)


@then('no 5 seconds have more requests of the team than its limit allows')
def step_kept(context: Context) -> None:
    most = most_in_window(context.fleet.ran[_TEAM])
    assert most <= fleets.bound(context.team), most


@then('later no 5 seconds have more requests of the team than its limit allows')
def step_kept_later(context: Context) -> None:
    most = most_in_window(_ran_since(context))
    assert 0 < most <= fleets.bound(context.team), most


@then('at least {share:g} of its limit is served')
def step_used(context: Context, share: float) -> None:
    ran = len(context.fleet.ran[_TEAM])
    assert ran >= share * context.team.requests_per_s * context.seconds, ran


@then('at least {share:g} of its limit is served since')
def step_used_since(context: Context, share: float) -> None:
    seconds = context.fleet.clock.now - context.since
    ran = len(_ran_since(context))
    assert ran >= share * context.team.requests_per_s * seconds, ran


@then('no request of the team is refused')
@then('no request of any team is refused')
def step_none_refused(context: Context) -> None:
    assert context.fleet.ran
    assert not context.fleet.denied, context.fleet.denied


@then('at most {share:g} of the requests of the team is refused')
def step_few_refused(context: Context, share: float) -> None:
    denied = len(context.fleet.denied.get(_TEAM, ()))
    ran = len(context.fleet.ran[_TEAM])
    assert denied <= share * (ran + denied), (denied, ran)


@then('it runs at most {per_s:g} requests a second')
def step_part(context: Context, per_s: float) -> None:
    ran = len(context.fleet.ran[_TEAM])
    assert 0 < ran <= per_s * context.seconds, ran


@then('its refusals do not say that the team is over its allowance')
def step_not_over(context: Context) -> None:
    assert not any(denial.over for denial in context.fleet.denied[_TEAM])


@then('no message is sent')
def step_no_message(context: Context) -> None:
    assert not context.fleet.sent, context.fleet.sent


@then('no host sends more than {kilobytes:g} KB a second on average')
def step_cost(context: Context, kilobytes: float) -> None:
    datagrams = context.fleet.sent.total() / len(context.fleet.hosts)
    # Requests are longer than answers.
    request = PeerNotice(allowance_requests=_notice().allowance_requests)
    length = len(_encoded(request)) + AUTHENTICATION_BYTES
    sent = datagrams * length / context.seconds
    assert 0 < sent <= kilobytes * 1000, (sent, length)


@then('a notice with requests and permits of allowances is decoded as it was')
def step_codec(_context: Context) -> None:
    assert decode_datagram(_encoded(_notice())).notice == _notice()


@then('a datagram of the format without allowances has none')
def step_old_format(_context: Context) -> None:
    old = bytes.fromhex(_OLD_DATAGRAM)
    assert decode_datagram(old).notice == PeerNotice(ended_jobs=('job-1',))


@then('the zones of a settings file are those of its section')
def step_zones(_context: Context) -> None:
    zones = {'Zones.south-a': 'south', 'Zones.south-b': 'south'}
    lines = users.settings_lines(**zones).splitlines()
    values = dict(line.split('=', 1) for line in lines)
    found = host_settings(SettingsFile(values)).zones
    assert found == ('south-a', 'south-b'), found


@given(
    '{size:d} daemons whose configuration limits team "{hot}" to {hot_per_s:d} '
    'and team "{calm}" to {calm_per_s:d} requests a second'
)
def step_daemons(
    context: Context,
    size: int,
    hot: str,
    hot_per_s: int,
    calm: str,
    calm_per_s: int,
) -> None:
    context.fleet = TeamFleet({hot: hot_per_s, calm: calm_per_s})
    context.add_cleanup(context.fleet.close)
    context.fleet.start(size, engines=2)


@when(
    'each daemon gets {many:d} requests of team "{hot}" and {few:d} of "{calm}"'
)
def step_send(
    context: Context, many: int, hot: str, few: int, calm: str
) -> None:
    context.hot = context.fleet.send_to_each(hot, many)
    context.calm = context.fleet.send_to_each(calm, few)


@then('some requests of the first were served, the others refused with 429')
def step_hot_refused(context: Context) -> None:
    statuses = Counter(answer.status for answer in context.hot)
    assert statuses.keys() == {200, 429}, statuses


@then('each refusal says when to come back')
def step_retry_after(context: Context) -> None:
    waits = [
        float(answer.headers['Retry-After'])
        for answer in context.hot
        if answer.status != 200
    ]
    assert all(0 < wait_s <= 10 for wait_s in waits), waits


@then('all requests of the second were served')
def step_calm_served(context: Context) -> None:
    statuses = Counter(answer.status for answer in context.calm)
    assert statuses.keys() == {200}, statuses


def _ran_since(context: Context) -> list[float]:
    return [at for at in context.fleet.ran[_TEAM] if at >= context.since]


def _notice() -> PeerNotice:
    return PeerNotice(
        allowance_requests=(AllowanceRequest('team-1234', 3.5, 7, 12, 2),),
        allowance_permits=(AllowancePermit('team-1234', 2, 0.5, usage=0.25),),
    )


def _encoded(notice: PeerNotice | None) -> bytes:
    return encode_datagram(
        PeerDatagram(
            sender='front-south-a-123',
            incarnation=1,
            boot='0a1b2c3d',
            number=123_456,
            sent_ms=1_700_000_000_000,
            catalogue_mark=CatalogueMark(),
            platform_reachable=True,
            notice=notice,
        )
    )
