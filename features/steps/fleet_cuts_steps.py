"""Steps of fleet_cuts.feature."""

import shutil
import socket
import tempfile
import time

from behave import step
from behave.runner import Context

from features import builders_fleet as fleets
from features.steps.fleet_catalogue_steps import put
from guavadyke.adapters.message_authentication import MessageAuthenticator
from guavadyke.adapters.peer_datagram_codec import PeerDatagram, encode_datagram
from guavadyke.adapters.peer_sockets import split_address
from guavadyke.decisions.membership_protocol import PeerRecord, Ping
from guavadyke.decisions.object_versions import CatalogueMark


def _south(context: Context) -> list[fleets.EntryHost]:
    return [host for host in context.hosts if host.zone == 'south']


def _north(context: Context) -> list[fleets.EntryHost]:
    return [host for host in context.hosts if host.zone == 'north']


def _addresses(hosts: list[fleets.EntryHost]) -> frozenset[str]:
    return frozenset(host.service.peer_address for host in hosts)


@step('zone south does not reach the platform')
def step_south_away(context: Context) -> None:
    for cut_off in _south(context):
        cut_off.link.away = True
    fleets.eventually(
        lambda: (
            not any(
                host.service.status()['reached_directly']
                for host in _south(context)
            )
        ),
        'zone south knows that the platform is away',
    )


@step('no zone reaches the platform')
def step_all_away(context: Context) -> None:
    for cut_off in context.hosts:
        cut_off.link.away = True
    fleets.eventually(
        lambda: (
            not any(
                host.service.fleet.current.platform_reachable
                for host in context.hosts
            )
        ),
        'every host knows that the platform is away',
    )


@step('an operator puts the owner "{owner}" on a host of zone south')
def step_put_south(context: Context, owner: str) -> None:
    context.owner = owner
    context.answer = put(_south(context)[0], owner, fleets.owner_entry())


@step('the edit is accepted and in force on every host')
def step_accepted(context: Context) -> None:
    assert context.answer.status == 201, context.answer.data
    fleets.eventually(
        lambda: all(
            context.owner in host.service.catalogue.current.owners
            for host in context.hosts
        ),
        'in force everywhere',
    )


@step('the platform was reached through a peer')
def step_through_peer(context: Context) -> None:
    status = _south(context)[0].service.status()
    assert int(str(status['through_peers'])) > 0
    stored = context.platform.objects['catalogue', context.owner]
    assert b'"south-0"' in stored.body


@step('the edit is answered 503 and not run')
def step_not_run(context: Context) -> None:
    assert context.answer.status == 503, context.answer.data
    error = context.answer.json()['error']
    assert (error['code'], error['run']) == ('platform_unavailable', 'not_run')
    assert ('catalogue', context.owner) not in context.platform.objects


@step('a new host joins by the seeds')
def step_new_host(context: Context) -> None:
    seeds = [context.hosts[0].service.peer_address]
    host = fleets.EntryHost(
        'south-9',
        'south',
        context.platform,
        context.servers,
        peer={'seeds': seeds},
    )
    host.link.away = True
    context.add_cleanup(host.close)
    context.hosts.append(host)
    host.start()


@step('a host with a data folder that holds the entry "{name}"')
def step_disk_host(context: Context, name: str) -> None:
    context.folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, context.folder)
    context.platform = fleets.MemoryPlatform()
    host = _disk_host(context)
    host.start()
    put(host, 'lammikko', fleets.owner_entry())
    answer = put(host, name, fleets.model_entry())
    assert answer.status == 201, answer.data
    host.close()


def _disk_host(context: Context) -> fleets.EntryHost:
    return fleets.EntryHost(
        'north-0',
        'north',
        context.platform,
        fleets.MemoryServers(),
        data_folder=context.folder,
    )


@step('it starts again without platform and peers')
def step_restart(context: Context) -> None:
    context.host = _disk_host(context)
    context.host.link.away = True
    context.add_cleanup(context.host.close)
    context.host.start()


@step('its catalogue holds "{name}" at version {version:d}')
def step_holds(context: Context, name: str, version: int) -> None:
    catalogue = context.host.service.catalogue
    fleets.eventually(
        lambda: catalogue.current.versions.get(name) == version,
        f'{name} at {version}',
    )


@step('zone south is cut off from its peers')
def step_cut(context: Context) -> None:
    north = _addresses(_north(context))
    south = _addresses(_south(context))
    for host in _south(context):
        host.service.faults.cut(north)
    for host in _north(context):
        host.service.faults.cut(south)


@step('the zones count each other as gone')
def step_gone(context: Context) -> None:
    fleets.eventually(
        lambda: all(len(host.peers()) == 1 for host in _north(context)),
        'zone north is alone',
    )
    fleets.eventually(
        lambda: not any(host.peers() for host in _south(context)),
        'zone south is alone',
    )


@step('the cut heals')
def step_heal(context: Context) -> None:
    for host in context.hosts:
        host.service.faults.heal()


@step('all hosts know each other again')
def step_healed(context: Context) -> None:
    fleets.eventually(
        lambda: all(len(host.alive()) == 2 for host in context.hosts),
        'all hosts know each other again',
    )


@step('the datagrams from one host to another are lost one way')
def step_one_way(context: Context) -> None:
    first, _second, third = context.hosts
    first.service.faults.blocked_to = _addresses([third])


@step('neither is counted as gone for as long as suspicion lasts')
def step_stays(context: Context) -> None:
    until = time.monotonic() + 3
    while time.monotonic() < until:
        for host in context.hosts:
            peers = {peer.host_id for peer in host.service.fleet.current.peers}
            assert len(peers) == 2, (host.host_id, peers)
        time.sleep(0.05)


@step('one host leaves')
def step_leave(context: Context) -> None:
    context.hosts[2].service.leave()


@step('the others know at once that it left')
def step_left(context: Context) -> None:
    def states(host: fleets.EntryHost) -> dict[str, str]:
        peers = host.service.fleet.current.peers
        return {peer.host_id: peer.state for peer in peers}

    fleets.eventually(
        lambda: all(
            states(host).get('south-0') == 'left' for host in context.hosts[:2]
        ),
        'south-0 has left',
    )


@step('one host is replaced by another under the same address')
def step_replace(context: Context) -> None:
    old = context.hosts.pop()
    address = old.service.peer_address
    old.close()
    host = fleets.EntryHost(
        'south-1',
        'south',
        context.platform,
        context.servers,
        peer={
            'seeds': [context.hosts[0].service.peer_address],
            'listen': {
                'ip': '127.0.0.1',
                'port': split_address(address)[1],
            },
        },
    )
    context.add_cleanup(host.close)
    host.start()
    context.hosts.append(host)


@step('the others know only the newer one')
def step_newer(context: Context) -> None:
    fleets.eventually(
        lambda: all(
            'south-1' in host.alive() and 'south-0' not in host.alive()
            for host in context.hosts[:2]
        ),
        'south-1 in place of south-0',
    )


@step('messages with a wrong key, of another format and replayed arrive')
def step_strange_messages(context: Context) -> None:
    payload = encode_datagram(
        PeerDatagram(
            sender='stranger',
            incarnation=1,
            boot='b',
            number=1,
            sent_ms=int(time.time() * 1000),
            mark=CatalogueMark(),
            platform_reachable=True,
            signal=Ping(1),
            records=(PeerRecord('stranger', 'north', 'fi', '127.0.0.1:9', 1),),
        ),
    )
    good = MessageAuthenticator(fleets.FLEET_KEY.encode()).close(payload)
    strange = [
        MessageAuthenticator(b'other').close(payload),
        good.replace(b'GVD\x01', b'GVD\x09', 1),
        b'hello',
        good,
        good,
    ]
    address = split_address(context.hosts[0].service.peer_address)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for message in strange:
            sender.sendto(message, address)


@step('each is counted as refused by its reason')
def step_refused(context: Context) -> None:
    expected = {
        'wrong_key': 1,
        'other_format': 1,
        'not_ours': 1,
        'replayed': 1,
    }
    fleets.eventually(
        lambda: context.hosts[0].service.status()['refused'] == expected,
        'all are refused',
    )


@step('the platform is restored to the state before the last edit')
def step_restore(context: Context) -> None:
    fleets.eventually(
        lambda: all(
            host.service.catalogue.current.versions.get('report') == 2
            for host in context.hosts
        ),
        'version 2 everywhere',
    )
    first = {}
    for event_kind, event in context.platform.events:
        first.setdefault((event_kind, event.name), event.current)
    context.platform.restore(first)


@step('the fault is reported and the catalogue still holds version {version:d}')
def step_fault(context: Context, version: int) -> None:
    fleets.eventually(
        lambda: all(
            'report' in host.service.status()['catalogue']['faults']
            for host in context.hosts
        ),
        'every host reports the fault',
    )
    for host in context.hosts:
        assert host.service.catalogue.current.versions['report'] == version


@step('an operator puts the entry "{name}" at version {version:d}')
def step_put_at(context: Context, name: str, version: int) -> None:
    answer = put(
        context.hosts[1],
        name,
        fleets.model_entry(version='3'),
        If_Match=f'"{version}"',
    )
    assert answer.status == 200, answer.data


@step('the platform holds a bad copy of "{name}"')
def step_bad_copy(context: Context, name: str) -> None:
    context.platform.put('catalogue', name, b'{"writers": []}\n{"version": 2')


@step('the watches of zone south are silent')
def step_silent(context: Context) -> None:
    for host in _south(context):
        host.link.silent_watch = True


@step('the silent watches are noticed')
def step_noticed(context: Context) -> None:
    fleets.eventually(
        lambda: all(
            host.service.status()['catalogue']['silent_watches'] > 0
            for host in _south(context)
        ),
        'silent watches are noticed',
    )


@step("zone south reads the platform's present state for good")
def step_stale(context: Context) -> None:
    for host in _south(context):
        host.link.stale = dict(context.platform.objects)
        host.link.silent_watch = True


@step('the catalogue of zone south does not go back')
def step_not_back(context: Context) -> None:
    until = time.monotonic() + 3
    while time.monotonic() < until:
        for host in _south(context):
            assert host.service.catalogue.current.versions['report'] == 2
        time.sleep(0.05)
