"""Steps of forward_abilities.feature."""

from __future__ import annotations

from typing import Any

from behave import given, then, when
from behave.runner import Context

from features import builders_forward_processes as processes
from features.builders_abilities import AbilityFleet
from features.builders_processes import wait_until
from guavadyke.adapters.peer_datagram_codec import (
    PeerDatagram,
    decode_datagram,
    encode_datagram,
    unpack_struct,
)
from guavadyke.adapters.ports import OnlineCount, PeerNotice
from guavadyke.decisions.host_abilities import HostAbility
from guavadyke.decisions.object_versions import CatalogueMark
from guavadyke.peer.generated.messages import ttypes

_LAST_KNOWN_FIELD = 23


class EarlierDatagram(ttypes.Datagram):
    """The datagram as the version before abilities knows it."""

    thrift_spec = ttypes.Datagram.thrift_spec[: _LAST_KNOWN_FIELD + 1]


@given('a third daemon that has started since the configuration is unreadable')
def step_unready_daemon(context: Context) -> None:
    context.fleet.store.put('config', 'main', 'no configuration')
    context.unready = context.fleet.start_daemon()
    first = context.fleet.daemons[0]
    joined = f'peer={context.unready.name}'
    assert wait_until(lambda: joined in first.log, processes.START_S), first.log


@then('all {items:d} items have reached an engine within {seconds:g} seconds')
def step_items_run(context: Context, items: int, seconds: float) -> None:
    def begun() -> int:
        return len({
            request.headers['request-id']
            for engine in context.fleet.engines
            for request in engine.requests
        })

    found = wait_until(lambda: begun() == items, seconds)
    assert found, f'{begun()} of {items} items'


@then('the third daemon is not ready')
def step_not_ready(context: Context) -> None:
    assert not context.unready.is_ready()


@given('{size:d} hosts, of which host-0 owns {jobs:d} jobs')
def step_hosts(context: Context, size: int, jobs: int) -> None:
    context.hosts = AbilityFleet(size, jobs)
    context.hosts.run(1)


@when('{name} cannot run items for {seconds:g} seconds')
def step_unable(context: Context, name: str, seconds: float) -> None:
    context.hosts.unable.add(name)
    context.hosts.run(seconds)


@when('no host can run items for {seconds:g} seconds')
def step_none_able(context: Context, seconds: float) -> None:
    context.hosts.unable.update(context.hosts.names)
    context.hosts.run(seconds)


@when('{name} can run items for {seconds:g} seconds')
def step_able(context: Context, name: str, seconds: float) -> None:
    context.hosts.unable.discard(name)
    context.hosts.run(seconds)


@when('the notices of {name} are lost')
def step_lost(context: Context, name: str) -> None:
    context.hosts.lost.add(name)


@then('the other hosts have taken over each job once')
def step_taken_over(context: Context) -> None:
    claims = context.hosts.claims
    assert claims.keys() == context.hosts.views.keys(), claims
    claimants = [claimant for hosts in claims.values() for claimant in hosts]
    assert len(claimants) == len(claims), claims
    assert set(claimants) == {'host-1', 'host-2'}, claims


@then('a new job is given to another host at each of them')
def step_new_job_elsewhere(context: Context) -> None:
    owners = {
        name: context.hosts.owner_of_new_job(name)
        for name in context.hosts.names
    }
    assert 'host-0' not in owners.values(), owners


@then('no job has been taken over')
def step_none_taken_over(context: Context) -> None:
    assert not context.hosts.claims, context.hosts.claims


@then('no host counts as unable')
def step_all_able(context: Context) -> None:
    unable = _unable(context)
    assert not any(unable.values()), unable


@then('{name} counts as unable at the others')
def step_counts_as_unable(context: Context, name: str) -> None:
    unable = _unable(context)
    assert all(name in found for found in unable.values()), unable


@then('a notice that a host is unable is decoded as it was')
def step_decoded(context: Context) -> None:
    context.notice = PeerNotice(
        counts=(OnlineCount('s1', 3, 0),),
        abilities=(HostAbility(able=False, valid_s=3.5),),
    )
    context.payload = encode_datagram(
        PeerDatagram(
            sender='host-1',
            incarnation=1,
            boot='boot',
            number=1,
            sent_ms=1,
            catalogue_mark=CatalogueMark(0, 0),
            platform_reachable=True,
            notice=context.notice,
        )
    )
    assert decode_datagram(context.payload).notice == context.notice


@then('a version that does not know them reads the rest of the datagram')
def step_earlier_version(context: Context) -> None:
    found = unpack_struct(EarlierDatagram(), context.payload)
    assert found.abilities is None, found
    assert list(map(_known_before, found.counts)) == list(
        map(_known_before, context.notice.counts)
    )


@then('one of {size:d} hosts sends at most {rate:d} datagrams a second')
def step_rate(_context: Context, size: int, rate: int) -> None:
    fleet = AbilityFleet(size)
    fleet.unable.add(fleet.names[0])
    fleet.run(2)
    before = fleet.datagrams
    fleet.run(10)
    sent = fleet.datagrams - before
    assert 0 < sent <= 10 * rate, sent


def _known_before(count: Any) -> tuple[str, int, int]:
    """Return the fields of a count that the earlier version knows."""
    return (count.backend_id, count.in_flight, count.queued)


def _unable(context: Context) -> dict[str, frozenset[str]]:
    """Return whom each host takes for unable."""
    return {
        name: abilities.unable()
        for name, abilities in context.hosts.abilities.items()
    }
