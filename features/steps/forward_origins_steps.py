"""Steps of forward_origins.feature."""

from __future__ import annotations

import itertools
import time

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_origin_fleet as fleets
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.peer_datagram_codec import (
    PeerDatagram,
    decode_datagram,
    encode_datagram,
)
from guavadyke.adapters.ports import PeerNotice
from guavadyke.controllers.version_check import VersionCheck
from guavadyke.decisions.object_versions import CatalogueMark
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.decisions.stream_origins import StreamOrigin
from guavadyke.log import EventLogger
from guavadyke.stream_origin_documents import HOST_PREFIX, ORIGIN_KIND

_STEP_S = 0.1
_UNREADABLE = b'{"writers": []}\n{"streams": 7}'


@given('{size:d} hosts with servers of the versions "{versions}"')
def step_fleet(context: Context, size: int, versions: str) -> None:
    context.streams = fleets.OriginFleet(size, versions.split(','))


@given(
    '{size:d} hosts on the wall clock with servers of the versions "{versions}"'
)
def step_timed_fleet(context: Context, size: int, versions: str) -> None:
    context.streams = fleets.OriginFleet(
        size, versions.split(','), SystemClock()
    )


@when('{seconds:d} seconds pass for all hosts')
def step_pass(context: Context, seconds: int) -> None:
    context.streams.clock.sleep(seconds)


@when('{count:d} streams begin at hosts in turn')
def step_begin(context: Context, count: int) -> None:
    context.streams.begin(count)


@when('{count:d} streams begin at the first {hosts:d} hosts')
def step_begin_at_first(context: Context, count: int, hosts: int) -> None:
    fleet = context.streams
    fleet.begin_at(fleet.names[:hosts], count)
    context.lost = fleet.names[:hosts]


@when('these hosts are lost')
def step_lost(context: Context) -> None:
    fleet = context.streams
    fleet.silent = set(context.lost)
    # Nothing that a host was told is left.
    left = [name for name in fleet.names if name not in fleet.silent]
    fleet.forget_told(left)


@then('every stream is found at the other hosts with at most {count:d} reads')
def step_found_left(context: Context, count: int) -> None:
    fleet = context.streams
    left = [name for name in fleet.names if name not in fleet.silent]
    before = fleet.reads
    for host_id, origin in itertools.product(left, fleet.begun):
        found = fleet.find(host_id, origin.stream_id)
        assert found == origin, (host_id, found)
    assert fleet.reads - before <= count, fleet.reads - before


@when('the servers are those of "{versions}"')
def step_servers(context: Context, versions: str) -> None:
    context.streams.list_servers(versions.split(','))


@when('the servers are those of "{versions}" when all hosts start anew')
def step_replaced(context: Context, versions: str) -> None:
    context.streams.servers = ()
    context.streams.restart_all()
    step_servers(context, versions)
    context.streams.recall()


@when('all hosts exchange what they know')
def step_exchange(context: Context) -> None:
    context.streams.exchange()
    context.streams.clock.sleep(_STEP_S)


@when('all hosts start anew and read the platform')
def step_restart(context: Context) -> None:
    context.streams.restart_all()
    context.streams.recall()


@when('the last host is cut off')
def step_cut_off(context: Context) -> None:
    last = context.streams.names[-1]
    context.streams.cut_off = {last}
    # No answer comes, so that the wait has to pass on a clock that runs.
    context.streams.silent = set(context.streams.names)
    context.streams.origins[last]._clock = _RunningClock(context.streams.clock)


@when('the last host falls out of step with the platform and the others')
def step_out_of_step(context: Context) -> None:
    step_cut_off(context)
    context.streams.out_of_step = context.streams.cut_off
    context.streams.cut_off = set()


@when('the other hosts fall silent')
def step_silent(context: Context) -> None:
    context.streams.silent = set(context.streams.names[1:])


@when('streams begin at every host for {seconds:d} seconds')
def step_load(context: Context, seconds: int) -> None:
    fleet = context.streams
    for _ in range(2 * seconds):
        fleet.begin(len(fleet.names))
        fleet.exchange()
        fleet.clock.sleep(0.5)


@when('every host removes abandoned objects')
def step_remove(context: Context) -> None:
    for writer in context.streams.writers.values():
        writer.remove_abandoned()


@when('the platform has an object of another writer')
def step_unreadable(context: Context) -> None:
    platform = context.streams.platform
    with platform.changed:
        platform.put(ORIGIN_KIND, f'{HOST_PREFIX}x', _UNREADABLE)


@when('a notice with a known and an unknown origin and a question is sent')
def step_send(context: Context) -> None:
    context.notice = PeerNotice(
        stream_origins=(
            StreamOrigin('r-1', 'drafts', 'v1.2'),
            StreamOrigin('r-2'),
        ),
        stream_queries=(StreamOrigin('r-3'),),
    )
    datagram = PeerDatagram(
        'host-1', 1, 'boot', 1, 1, CatalogueMark(), True, notice=context.notice
    )
    context.arrived = decode_datagram(encode_datagram(datagram)).notice


@then('it arrives as it was')
def step_unchanged(context: Context) -> None:
    assert context.arrived == context.notice, context.arrived


@then('every stream is found with its version at {hosts:d} hosts')
def step_found(context: Context, hosts: int) -> None:
    for host_id, origin in _looked_up(context, hosts):
        found = context.streams.find(host_id, origin.stream_id)
        assert found == origin, (host_id, found, origin)


@then('every stream is taken for one of "{version}" at {hosts:d} hosts')
def step_taken_for(context: Context, version: str, hosts: int) -> None:
    for host_id, origin in _looked_up(context, hosts):
        found = context.streams.find(host_id, origin.stream_id)
        assert found.software == version, (host_id, found)


@then('a stream that nobody knows is not found')
def step_nobody_knows(context: Context) -> None:
    assert not context.streams.find('host-0', 'stream-unknown').known


@then('a stream that nobody knows is taken for one of "{version}"')
def step_nobody_knows_taken(context: Context, version: str) -> None:
    found = context.streams.find('host-0', 'stream-unknown')
    assert found.software == version, found


@then('no stream is found at {hosts:d} hosts')
def step_not_found(context: Context, hosts: int) -> None:
    for host_id, origin in _looked_up(context, hosts):
        found = context.streams.find(host_id, origin.stream_id)
        assert not found.known, (host_id, found)


@then('no stream of another host is found at the last host')
def step_not_found_last(context: Context) -> None:
    last = context.streams.names[-1]
    first = context.streams.begun[0]
    found = context.streams.find(last, first.stream_id)
    assert not found.known, found


@then('every stream of another host is found at the last host')
def step_found_last(context: Context) -> None:
    last = context.streams.names[-1]
    first = context.streams.begun[0]
    assert context.streams.find(last, first.stream_id) == first


@then('each stream was told to at most {hosts:d} hosts')
def step_told(context: Context, hosts: int) -> None:
    told = map(len, context.streams.told.values())
    assert max(told, default=0) <= hosts


@then('the first host says within 1 second that it does not know a stream')
def step_in_time(context: Context) -> None:
    began_at = time.monotonic()
    found = context.streams.find('host-0', 'stream-unknown')
    assert not found.known
    assert time.monotonic() - began_at < 1


@then('at most {count:d} writes were made')
def step_writes(context: Context, count: int) -> None:
    stored = context.streams.platform.of_kind(ORIGIN_KIND)
    newest = max(one.version for one in stored)
    assert newest <= count, newest


@then('there are at most {count:d} objects on the platform')
def step_objects(context: Context, count: int) -> None:
    assert context.streams.objects <= count, context.streams.objects


def _looked_up(
    context: Context, hosts: int
) -> itertools.product[tuple[str, StreamOrigin]]:
    fleet = context.streams
    step = max(1, len(fleet.names) // hosts)
    asked = itertools.islice(fleet.names, 0, step * hosts, step)
    return itertools.product(asked, fleet.begun)


class _RunningClock(build.ManualClock):
    """A manual clock that runs on by itself from where another one is."""

    def __init__(self, other: build.ManualClock) -> None:
        super().__init__()
        self._behind_s = other.monotonic() - time.monotonic()

    def monotonic(self) -> float:
        return time.monotonic() + self._behind_s


@given('a platform with servers of "{versions}" that {answers}')
def step_platform(context: Context, versions: str, answers: str) -> None:
    platform = MemoryPlatform()
    link = MemoryStore(platform)
    link.faults.cut = answers == 'does not answer'
    for version in versions.split(','):
        server = ListedServer(
            f's-{version}', build.SERVICE, '', '', 8, software=version
        )
        with platform.changed:
            platform.put('servers', server.server_id, build.server_body(server))
    context.check = VersionCheck(
        build.settled(link), 'servers', build.decode_server, EventLogger()
    )


@then('it is {confirmed} that "{version}" serves alone')
def step_alone(context: Context, confirmed: str, version: str) -> None:
    alone = context.check(build.SERVICE, version)
    assert alone == (confirmed == 'confirmed'), alone
