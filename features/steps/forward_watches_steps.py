"""Steps of forward_watches.feature."""

from __future__ import annotations

import socket

from behave import given, then, when
from behave.runner import Context

from features.builders_forward_watches import (
    KIND,
    WatchingFleet,
    WatchingHost,
    change,
    log_of,
)
from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.clock import SuspendAwareClock
from guavadyke.adapters.message_authentication import MessageAuthenticator
from guavadyke.adapters.peer_datagrams import RejectedMessageLog
from guavadyke.adapters.peer_rpc import PeerChannels, PeerClient, PeerServer
from guavadyke.adapters.peer_sockets import TransportFaults, bind_sockets
from guavadyke.adapters.ports import WatchAnswer
from guavadyke.adapters.shared_watches import PeerWatches, WatchHub
from guavadyke.decisions.watch_sharing import plan_watch
from guavadyke.log import EventLogger
from guavadyke.settings import ListenSettings

_ROUNDS = 4
_LONG_WAIT_S = 1.0


@given('{hosts:d} hosts of a zone that watch a kind')
def step_hosts(context: Context, hosts: int) -> None:
    context.fleet = WatchingFleet(hosts)
    context.fleet.watch()


@when('an object is written')
def step_written(context: Context) -> None:
    platform = context.fleet.platform
    context.calls_before = platform.calls[f'watch {KIND}']
    with platform.changed:
        platform.put(KIND, 'object', b'new')
    context.fleet.watch()
    context.calls = platform.calls[f'watch {KIND}'] - context.calls_before


@when('the object is removed')
def step_removed(context: Context) -> None:
    with context.fleet.platform.changed:
        context.fleet.platform.remove(KIND, 'object')
    context.fleet.watch()


@when('one of the watching hosts {trouble}')
def step_watcher_trouble(context: Context, trouble: str) -> None:
    _bring_trouble(context.fleet.watchers[0], trouble)


@when('both watching hosts {trouble}')
def step_both_trouble(context: Context, trouble: str) -> None:
    for host in context.fleet.watchers:
        _bring_trouble(host, trouble)


@when('the watching hosts begin to watch after a change')
def step_late_logs(context: Context) -> None:
    platform = context.fleet.platform
    with platform.changed:
        revision = platform.put(KIND, 'earlier', b'new').version
    for host in context.fleet.watchers:
        host.hub.suspend(KIND)
        host.revision = revision


@when('another host cannot reach the platform')
def step_other_cut(context: Context) -> None:
    _bring_trouble(context.fleet.others[0], 'cannot reach the platform')


@when('a host cannot reach the platform and its first source is frozen')
def step_frozen_source(context: Context) -> None:
    fleet = context.fleet
    name = next(iter(fleet.hosts))
    _bring_trouble(fleet.hosts[name], 'cannot reach the platform')
    fleet.hosts[name].wait_s = _LONG_WAIT_S
    first_source = plan_watch(KIND, name, fleet.hosts).sources[0]
    fleet.hosts[first_source].frozen = True


@then('every host that answers learns of it')
def step_answering_learn(context: Context) -> None:
    answering = [host for host in context.fleet.live if not host.frozen]
    _assert_learned(context, answering)


@then(
    'no host has waited longer than {seconds:g} seconds for the frozen one',
)
def step_short_wait(context: Context, seconds: float) -> None:
    assert context.fleet.frozen_wait_s <= seconds, context.fleet.frozen_wait_s


@when('the platform is away')
def step_away(context: Context) -> None:
    for host in context.fleet.hosts.values():
        _bring_trouble(host, 'cannot reach the platform')
    context.fleet.watch()


@then('every host learns of it')
def step_all_learn(context: Context) -> None:
    _assert_learned(context, context.fleet.live)


@then('every host that reaches the platform learns of it')
def step_reaching_learn(context: Context) -> None:
    reaching = [host for host in context.fleet.live if not host.link.faults.cut]
    _assert_learned(context, reaching)


@then('every host learns that it is gone')
def step_all_gone(context: Context) -> None:
    for host in context.fleet.live:
        assert host.events[-1].current is None, host.events


@then('it takes {count:d} watches of the platform')
def step_watch_count(context: Context, count: int) -> None:
    assert context.calls == count, context.calls


@then('the watches of all hosts fail')
def step_all_fail(context: Context) -> None:
    for host in context.fleet.hosts.values():
        host.failures = 0
    context.fleet.watch()
    for host in context.fleet.hosts.values():
        assert host.failures == 1, host


@given('a log of {count:d} changes of one object')
def step_log(context: Context, count: int) -> None:
    context.log = log_of(count)
    context.count = count


@when('the host misses a change and watches again')
def step_gap(context: Context) -> None:
    missed = context.count + 1
    context.log.record(missed, WatchAnswer(missed + 1, (change(missed + 1),)))


@then('a host that is {count:d} changes behind gets these')
def step_gets(context: Context, count: int) -> None:
    answer = context.log.changes_after(context.count - count)
    assert len(answer.events) == count, answer
    assert answer.revision == context.count, answer


@then('a host that is {count:d} changes behind is told to ask the platform')
def step_told(context: Context, count: int) -> None:
    answer = context.log.changes_after(context.count - count)
    assert answer.expired, answer


@given('a peer server that passes on what it watches')
def step_server(context: Context) -> None:
    clock = SuspendAwareClock()
    authenticator = MessageAuthenticator(b'key of the fleet')
    context.hub = WatchHub(60, clock)
    sockets = bind_sockets(
        ListenSettings.model_validate({'ip': '127.0.0.1', 'port': 0})
    )
    server = PeerServer(
        sockets,
        authenticator,
        clock,
        RejectedMessageLog(clock, EventLogger()),
        lambda _sender, request: context.hub.answer(request),
    )
    server.start()
    context.add_cleanup(server.close)
    context.address = sockets.address
    client = _CountingClient(authenticator, 'host-2', clock, TransportFaults())
    context.client = client
    context.peers = PeerWatches(PeerChannels(client), EventLogger())


@when('a host asks it for changes three times')
def step_asks(context: Context) -> None:
    revision = 0
    context.seen = []
    for number in range(1, 4):
        context.hub.record(
            calls.WatchQuery(KIND, number - 1, 1),
            WatchAnswer(number, (change(number),)),
            context.hub.now(),
        )
        answer = context.peers.watch(
            calls.WatchQuery(KIND, revision, 1), (context.address,)
        )
        revision = answer.revision
        context.seen.extend(event.version for event in answer.events)


@then('the host gets each change once, over one connection')
def step_each_once(context: Context) -> None:
    assert context.seen == [1, 2, 3], context.seen
    assert context.client.connections == 1, context.client.connections


@then('a peer that does not answer in time is given up')
def step_silent(context: Context) -> None:
    silent = bind_sockets(
        ListenSettings.model_validate({'ip': '127.0.0.1', 'port': 0})
    )
    context.add_cleanup(silent.calls.close)
    answer = context.peers.watch(
        calls.WatchQuery('other', 0, 0.05), (silent.address,)
    )
    assert answer is None, answer


class _CountingClient(PeerClient):
    """Counts the connections that it opens."""

    connections = 0

    def connect(self, address: str) -> socket.socket:
        self.connections += 1
        return super().connect(address)


def _bring_trouble(host: WatchingHost, trouble: str) -> None:
    if trouble in {'is lost', 'are lost'}:
        host.lost = True
    else:
        host.link.faults.cut = True


def _assert_learned(context: Context, hosts: list[WatchingHost]) -> None:
    for _ in range(_ROUNDS):
        context.fleet.watch()
    for host in hosts:
        versions = [
            event.version for event in host.events if event.name == 'object'
        ]
        assert len(set(versions)) == 1, (versions, host.revision)
