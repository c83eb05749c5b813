"""Steps of forward_permits.feature."""

from __future__ import annotations

import dataclasses
import math
import time

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_limit_fleet as limits
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.peer_datagram_codec import (
    PeerDatagram,
    decode_datagram,
    encode_datagram,
)
from guavadyke.adapters.ports import BackendFault, PeerNotice
from guavadyke.controllers.item_run import ItemRun, PartialText, RunEnd
from guavadyke.decisions.object_versions import CatalogueMark
from guavadyke.decisions.request_permits import Permit, PermitRequest
from guavadyke.decisions.server_registry import ListedServer, ServerLease
from guavadyke.platform.engine_adapter import EngineDialect
from guavadyke.server_limit_documents import LIMIT_KIND
from guavadyke.settings import ForwardSettings

_RUN_S = 20


@given('{size:d} hosts that know no limit')
def step_none_known(context: Context, size: int) -> None:
    context.fleet = limits.LimitFleet(size)


@given(
    '{size:d} hosts that know a server with a limit of {per_s:g} requests a '
    'second'
)
def step_known(context: Context, size: int, per_s: float) -> None:
    step_none_known(context, size)
    context.per_s = per_s
    context.fleet.name_limit(per_s)
    context.fleet.exchange()


@when('each host wants a request every 0.1 seconds for 20 seconds')
def step_online(context: Context) -> None:
    context.fleet.run(_RUN_S, False)


@when('each host wants a batch item every 0.1 seconds for 20 seconds')
def step_batch(context: Context) -> None:
    context.fleet.run(_RUN_S, True)


@when(
    'each host wants an online request and a batch item every 0.1 seconds '
    'for 20 seconds'
)
def step_both(context: Context) -> None:
    context.fleet.run(_RUN_S, False, True)


@then(
    'no 4 seconds have more than {share:g} times what the limit allows and '
    '{count:d} requests'
)
def step_kept(context: Context, share: float, count: int) -> None:
    most = context.fleet.most_in_window()
    assert most <= share * context.per_s * limits.WINDOW_S + count, most


@then('at least {share:g} of what the limit allows is sent')
def step_used(context: Context, share: float) -> None:
    sent = len(context.fleet.sent)
    assert sent >= share * context.per_s * _RUN_S, sent


@then(
    'all hosts together ask at most {count:d} times for each request that is '
    'allowed'
)
def step_asked(context: Context, count: int) -> None:
    asked = context.fleet.asked.total()
    # Each host asks once before it is told to wait.
    first = len(context.fleet.names)
    assert asked <= count * context.per_s * _RUN_S + first, asked


@then('at least {share:g} of the requests sent are online')
def step_online_first(context: Context, share: float) -> None:
    online = sum(not batch for _at, batch in context.fleet.sent)
    assert online >= share * len(context.fleet.sent), online


@when('the issuing host is frozen')
def step_frozen(context: Context) -> None:
    context.fleet = limits.LimitFleet(20, SystemClock())
    context.fleet.name_limit(3)
    context.fleet.exchange()
    context.fleet.frozen.add(context.fleet.issuer)


@then('another host is told within {seconds:g} seconds that it may not send')
def step_told(context: Context, seconds: float) -> None:
    fleet = context.fleet
    context.other = next(name for name in fleet.names if name != fleet.issuer)
    began = time.monotonic()
    assert not fleet.limits(context.other).admit(limits.SERVER)
    took_s = time.monotonic() - began
    assert took_s <= seconds, took_s


@then('it does not ask again at once')
def step_not_again(context: Context) -> None:
    asked = context.fleet.asked[context.other]
    assert not context.fleet.limits(context.other).admit(limits.SERVER)
    assert context.fleet.asked[context.other] == asked


@when('the issuing host is lost')
def step_lost(context: Context) -> None:
    context.fleet.run(2, False)
    context.fleet.lose(context.fleet.issuer)
    context.fleet.sent.clear()


@when('the first host gets an answer that names {per_s:g} requests a second')
def step_named(context: Context, per_s: float) -> None:
    context.fleet.name_limit(per_s)


@when(
    'the first host gets an answer that names {per_s:g} requests a second '
    'while the platform is away'
)
def step_named_away(context: Context, per_s: float) -> None:
    faults = context.fleet.links['host-0'].faults
    faults.cut_writes = True
    context.fleet.name_limit(per_s)
    context.fleet.exchange()
    faults.clear_faults()


@when(
    'the first host gets answers that name {first:g}, {second:g} and '
    '{third:g} requests a second'
)
def step_named_thrice(
    context: Context, first: float, second: float, third: float
) -> None:
    for per_s in (first, second, third):
        context.fleet.name_limit(per_s)
        context.fleet.exchange()


@when('the hosts read the platform')
def step_exchange(context: Context) -> None:
    context.fleet.clock.sleep(1)
    context.fleet.exchange()


@when('another host gets an answer that names none')
def step_ended(context: Context) -> None:
    context.fleet.name_limit(math.inf, 'host-7')


@when(
    'a host gets an answer that names {per_s:g} requests a second, then one '
    'to an older request that names none'
)
def step_older(context: Context, per_s: float) -> None:
    older = context.fleet.limits('host-0').observer(limits.SERVER)
    context.fleet.clock.sleep(1)
    context.fleet.name_limit(per_s)
    older(math.inf)


@when('a host starts anew')
def step_anew(context: Context) -> None:
    context.fleet.start('host-3')


@when('700 seconds pass and every host removes old limits')
def step_remove_old(context: Context) -> None:
    context.fleet.clock.now = time.time() + 700
    context.fleet.remove_old()


@then('all hosts know the limit')
def step_all_know(context: Context) -> None:
    # A host that knows the limit has to wait for the first permit.
    knowing = [
        name
        for name in context.fleet.names
        if not context.fleet.limits(name).admit(limits.SERVER)
    ]
    assert knowing == context.fleet.names, knowing


@then('no host knows a limit')
def step_none_knows(context: Context) -> None:
    free = [
        name
        for name in context.fleet.names
        if context.fleet.limits(name).admit(limits.SERVER)
    ]
    assert free == context.fleet.names, free


@then('it knows the limit')
def step_knows(context: Context) -> None:
    assert not context.fleet.limits('host-0').admit(limits.SERVER)


@then('its next incarnation has no limit')
def step_next_incarnation(context: Context) -> None:
    reborn = dataclasses.replace(limits.SERVER, born_ms=7)
    assert context.fleet.limits('host-0').admit(reborn)


@when('it may send no request now, with an item or without')
def step_closed(context: Context) -> None:
    known = context.fleet.limits('host-0')
    for batch in (False, True):
        while known.admit(limits.SERVER, batch=batch):
            """Use the permits up."""
        assert known.exhausted(batch=batch)


@when('the server is listed with a later start')
def step_listed_reborn(context: Context) -> None:
    reborn = dataclasses.replace(limits.SERVER, born_ms=7)
    context.fleet.limits('host-0').servers_listed((reborn,))


@when('the server is listed again')
def step_listed(context: Context) -> None:
    context.fleet.limits('host-0').servers_listed((limits.SERVER,))


@then('the first host leaves out no server')
def step_leaves_out_none(context: Context) -> None:
    known = context.fleet.limits('host-0')
    assert not known.exhausted(batch=False)
    assert not known.exhausted(batch=True)


@then('the first host leaves out the server')
def step_leaves_out(context: Context) -> None:
    known = context.fleet.limits('host-0')
    assert known.exhausted(batch=False)
    assert known.exhausted(batch=True)


@then('the limit was written once')
def step_once(context: Context) -> None:
    stored = context.fleet.platform.of_kind(LIMIT_KIND)
    assert [one.version for one in stored] == [1], stored


@then('a notice with requests for permits and permits is decoded as it was')
def step_codec(_context: Context) -> None:
    notice = PeerNotice(
        permit_requests=(PermitRequest('s1', 3.5, batch=True),),
        permits=(Permit('s1', valid_s=1), Permit('s2', wait_s=0.5)),
    )
    mark = CatalogueMark()
    sent = PeerDatagram(
        'host-1', 1, 'boot', 1, 1, mark, platform_reachable=True, notice=notice
    )
    assert decode_datagram(encode_datagram(sent)).notice == notice


@then('the header "{header}" of an engine\'s answer is read as {limit:g}')
def step_header(_context: Context, header: str, limit: float) -> None:
    found = EngineDialect().request_limit({'server-limit': header})
    assert found == limit, found


@given('the first server takes no more requests now')
def step_exhausted(context: Context) -> None:
    _exhaust(context, context.listed[:1])


@given('no server takes more requests now')
def step_all_exhausted(context: Context) -> None:
    _exhaust(context, context.listed)


@given('the first server is not reached')
def step_not_reached(context: Context) -> None:
    lease = ServerLease(context.listed[0], batch=False, taken_at=build.NOW)
    context.pool.release(lease, BackendFault.not_reached)
    context.pool.urgent.wait(0)


@when('an item is denied a permit for the first server')
def step_item_denied(context: Context) -> None:
    tools = dataclasses.replace(
        build.item_run_tools(context.pool), limits=context.limits
    )
    run = ItemRun(
        build.job(),
        build.item(0),
        ServerLease(context.listed[0], batch=True, taken_at=build.NOW),
        PartialText(),
        tools,
    )
    outcome = run.perform(context.servers, ForwardSettings())
    assert outcome.end is RunEnd.preempted, outcome
    # Only what is known of its health keeps requests from the server now.
    context.limits = build.server_limits()


@then('no host is told that the first server has recovered')
def step_not_recovered(context: Context) -> None:
    faults = context.pool.urgent.wait(0).faults
    assert all(fault.failing for fault in faults), faults


def _exhaust(context: Context, servers: tuple[ListedServer, ...]) -> None:
    context.limits = build.server_limits()
    for server in servers:
        context.limits.observer(server)(0)
