"""Steps of forward_silent_platform.feature."""

from __future__ import annotations

import itertools
import time
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features import builders_forward_processes as processes
from features import builders_users_platform as users
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.clock import SuspendAwareClock
from guavadyke.adapters.platform_relay import PlatformRelay
from guavadyke.adapters.ports import ObjectListing, WatchAnswer
from guavadyke.adapters.shared_watches import WatchHub

_HTTP_OK = 200
_NEW_PREFIX = '/added7/'
_POLL_S = 0.05
_KIND = 'things'
_WAIT_S = 0.05
_MARGIN_S = 0.05


class _CountedStore(MemoryStore):
    """Counts lists, including those that fail."""

    lists = 0

    def list_objects(self, *arguments: Any, **options: Any) -> ObjectListing:
        self.lists += 1
        return super().list_objects(*arguments, **options)


@given('{daemons:d} daemon, {engines:d} engines and a platform')
@given('{daemons:d} daemons, {engines:d} engines and a platform')
def step_fleet(context: Context, daemons: int, engines: int) -> None:
    context.fleet = processes.UsersFleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.start(daemons, engines)
    context.numbers = itertools.count()


@when('{count:d} of the daemons hear nothing from the platform')
def step_silent(context: Context, count: int) -> None:
    context.fleet.store.silent_hosts = frozenset(
        daemon.name for daemon in context.fleet.daemons[:count]
    )


@when('{_count:d} of the daemons hear from the platform again')
def step_heard(context: Context, _count: int) -> None:
    context.fleet.store.silent_hosts = frozenset()


@when('a route is added')
def step_route_added(context: Context) -> None:
    routes = users.configuration()['Routes']
    added = users.route('more', _NEW_PREFIX, 'streaming', Resumable=True)
    context.fleet.store.put(
        'config', 'main', users.configuration(*routes, added, version=2)
    )
    context.changed_at = time.monotonic()


@when('the entry of the first engine is removed')
def step_engine_removed(context: Context) -> None:
    context.fleet.store.remove('servers', context.fleet.engines[0].name)


@then('every daemon serves it within {longest_s:g} seconds')
def step_served_soon(context: Context, longest_s: float) -> None:
    until = context.changed_at + longest_s
    pending = {daemon.name: daemon for daemon in context.fleet.daemons}
    while pending and time.monotonic() < until:
        for daemon in tuple(pending.values()):
            if _serves_new_route(context, daemon):
                pending.pop(daemon.name)
        time.sleep(_POLL_S)
    assert not pending, f'not served by {sorted(pending)}'


@given('a host that answers others what it hears from the platform')
def step_source(context: Context) -> None:
    context.hub = WatchHub(_MARGIN_S, SuspendAwareClock())
    context.hub.record(
        calls.WatchQuery(_KIND, 1, _WAIT_S),
        WatchAnswer(1, ()),
        context.hub.now(),
    )


@when('it has heard nothing for longer than a watch takes')
def step_heard_nothing(_context: Context) -> None:
    time.sleep(2 * (_WAIT_S + _MARGIN_S))


@then('it does not answer that nothing has changed')
def step_not_unchanged(context: Context) -> None:
    reply = context.hub.answer(calls.WatchQuery(_KIND, 1, 0.01))
    assert reply.error is not None, reply


@given('a host that relays calls and has lost the platform')
def step_relay(context: Context) -> None:
    context.direct = _CountedStore(MemoryPlatform())
    context.direct.faults.cut = True
    context.relay = PlatformRelay(context.direct, bool)


@when('another host asks it for a list')
def step_asked_for_list(context: Context) -> None:
    context.reply = context.relay.answer(
        calls.PlatformCall(calls.PlatformMethod.list_objects, _KIND)
    )


@then('it refuses at once without a call to the platform')
def step_refuses(context: Context) -> None:
    assert context.reply.error is not None, context.reply
    assert not context.direct.lists, context.direct.lists


def _serves_new_route(
    context: Context, daemon: processes.DaemonProcess
) -> bool:
    answer = daemon.call(
        'POST',
        f'{_NEW_PREFIX}1',
        body=b'text',
        headers={'Request-Id': f'added-{next(context.numbers)}', 'Model': 'm'},
    )
    return answer.status == _HTTP_OK
