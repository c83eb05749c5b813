"""Steps of forward_silent_items.feature."""

from __future__ import annotations

import time

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_pausing_server as pausing
from features.builders_forward_runner import RunnerBench
from features.builders_processes import wait_until
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.ports import OnlineCount, PeerNotice
from guavadyke.decisions.load_balancing import ANY_SERVER
from guavadyke.platform.engine_adapter import EngineDialect

_TEXT = '\n'.join(f'word {number}' for number in range(1, build.EVENTS + 1))
_SILENT_S = 1.0
_SETTLED_S = 2.0


@given(
    '{count:d} servers that pause for {seconds:g} seconds after event {event:d}'
)
def step_servers(
    context: Context, count: int, seconds: float, event: int
) -> None:
    for _ in range(count):
        servers = getattr(context, 'servers', ())
        server = pausing.PausingServer(f's{len(servers) + 1}', event, seconds)
        context.add_cleanup(server.close)
        context.servers = (*servers, server)


@when('a host runs a job of {items:d} items there')
def step_run(context: Context, items: int) -> None:
    context.bench = RunnerBench(
        listed=tuple(server.listed for server in context.servers),
        backends=HttpBackendServers(dialect=EngineDialect()),
    )
    context.add_cleanup(context.bench.close)
    context.began = time.monotonic()
    context.bench.accept(items)


@when('its server is silent and online requests fill it')
def step_fill(context: Context) -> None:
    bench = context.bench
    assert wait_until(lambda: _held(context), _SETTLED_S)
    time.sleep(_SILENT_S)
    assert _held(context)
    slots = context.servers[0].listed.slots
    bench.pool.record_notice(
        'host-2', PeerNotice(counts=(OnlineCount('s1', slots, 0),))
    )


@then('all {items:d} items are whole within {seconds:g} seconds')
def step_whole(context: Context, items: int, seconds: float) -> None:
    left_s = context.began + seconds - time.monotonic()
    listed = context.bench.listed
    assert wait_until(lambda: len(listed()) == items, left_s), listed()
    assert {one.text for one in listed()} == {_TEXT}, listed()


@then('the servers have got {count:d} runs')
def step_runs(context: Context, count: int) -> None:
    got = [server.requests for server in context.servers]
    assert sum(got) == count, got


@then('no item of the host is counted at any server')
def step_none_held(context: Context) -> None:
    step_none_held_within(context, _SETTLED_S)


@then('no item of the host is counted at any server within {seconds:g} seconds')
def step_none_held_within(context: Context, seconds: float) -> None:
    assert wait_until(lambda: not _held(context), seconds), _held(context)


def _held(context: Context) -> dict[str, int]:
    """Return the items that the host counts, by server."""
    return {
        count.backend_id: count.in_flight
        for count in context.bench.in_flight().batch_counts
        if count.backend_id != ANY_SERVER
    }
