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


@step('zone south cannot reach the platform')
def step_south_unreachable(context: Context) -> None:
    for cut_off in _south(context):
        cut_off.link.unreachable = True
    fleets.eventually(
        lambda: (
            not any(
                host.service.status()['reached_directly']
                for host in _south(context)
            )
        ),
        'zone south detects that the platform is unreachable',
    )


@step('no zone can reach the platform')
def step_all_unreachable(context: Context) -> None:
    for cut_off in context.hosts:
        cut_off.link.unreachable = True
    fleets.eventually(
        lambda: (
            not any(
                host.service.fleet.current.platform_reachable
                for host in context.hosts
            )
        ),
        'every host detects that the platform is unreachable',
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


@step('a new host joins through its seeds')
def step_new_host(context: Context) -> None:
    seeds = [context.hosts[0].service.peer_address]
    host = fleets.EntryHost(
        'south-9',
        'south',
        context.platform,
        context.servers,
        peer={'seeds': seeds},
    )
    host.link.unreachable = True
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


@step('it restarts without the platform and without peers')
def step_restart(context: Context) -> None:
    context.host = _disk_host(context)
    context.host.link.unreachable = True
    context.add_cleanup(context.host.close)
    context.host.start()


@step('its catalogue holds "{name}" at version {version:d}')
def step_holds(context: Context, name: str, version: int) -> None:
    catalogue = context.host.service.catalogue
    fleets.eventually(
        lambda: catalogue.current.versions.get(name) == version,
        f'{name} at {version}',
    )


@step('zones north and south are partitioned from each other')
def step_partition(context: Context) -> None:
    north = _addresses(_north(context))
    south = _addresses(_south(context))
    for host in _south(context):
        host.service.faults.cut(north)
    for host in _north(context):
        host.service.faults.cut(south)


@step('no host lists a peer of the other zone')
def step_partition_noticed(context: Context) -> None:
    fleets.eventually(
        lambda: all(len(host.peers()) == 1 for host in _north(context)),
        'hosts of zone north list only each other',
    )
    fleets.eventually(
        lambda: not any(host.peers() for host in _south(context)),
        'the host of zone south lists no peer',
    )


@step('the partition heals')
def step_partition_heals(context: Context) -> None:
    for host in context.hosts:
        host.service.faults.heal()


@step('all hosts list each other again')
def step_all_alive_again(context: Context) -> None:
    fleets.eventually(
        lambda: all(len(host.alive()) == 2 for host in context.hosts),
        'all hosts list each other again',
    )


@step('all datagrams from one host to another are lost')
def step_one_way_loss(context: Context) -> None:
    first, _second, third = context.hosts
    first.service.faults.blocked_to = _addresses([third])


@step('every host stays listed for twice the suspicion time')
def step_all_stay(context: Context) -> None:
    until = time.monotonic() + 3
    while time.monotonic() < until:
        for host in context.hosts:
            peers = {peer.host_id for peer in host.service.fleet.current.peers}
            assert len(peers) == 2, (host.host_id, peers)
        time.sleep(0.05)


@step('one host leaves')
def step_leave(context: Context) -> None:
    context.hosts[2].service.leave()


@step('the others list it as having left')
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


@step('the others see the new host alive and not the old one')
def step_new_host_only(context: Context) -> None:
    fleets.eventually(
        lambda: all(
            'south-1' in host.alive() and 'south-0' not in host.alive()
            for host in context.hosts[:2]
        ),
        'south-1 in place of south-0',
    )


@step('replayed messages and ones with a wrong key or format arrive')
def step_foreign_messages(context: Context) -> None:
    payload = encode_datagram(
        PeerDatagram(
            sender='stranger',
            incarnation=1,
            boot='b',
            number=1,
            sent_ms=int(time.time() * 1000),
            catalogue_mark=CatalogueMark(),
            platform_reachable=True,
            signal=Ping(1),
            records=(PeerRecord('stranger', 'north', 'fi', '127.0.0.1:9', 1),),
        ),
    )
    good = MessageAuthenticator(fleets.FLEET_KEY.encode()).sign(payload)
    foreign = [
        MessageAuthenticator(b'other').sign(payload),
        good.replace(b'GVD\x01', b'GVD\x09', 1),
        b'hello',
        good,
        good,
    ]
    address = split_address(context.hosts[0].service.peer_address)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for message in foreign:
            sender.sendto(message, address)


@step('each is counted under its reason for refusal')
def step_counted_by_reason(context: Context) -> None:
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


@step('the watches of zone south deliver no events')
def step_silent_watches(context: Context) -> None:
    for host in _south(context):
        host.link.silent_watch = True


@step('the silent watches are detected')
def step_silence_detected(context: Context) -> None:
    fleets.eventually(
        lambda: all(
            host.service.status()['catalogue']['silent_watches'] > 0
            for host in _south(context)
        ),
        'silent watches are detected',
    )


@step("zone south reads a frozen copy of the platform's current state")
def step_stale(context: Context) -> None:
    for host in _south(context):
        host.link.stale_objects = dict(context.platform.objects)
        host.link.silent_watch = True


@step('the catalogue of zone south stays at version 2')
def step_stays_at_version(context: Context) -> None:
    until = time.monotonic() + 3
    while time.monotonic() < until:
        for host in _south(context):
            assert host.service.catalogue.current.versions['report'] == 2
        time.sleep(0.05)
