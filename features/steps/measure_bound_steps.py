"""Steps of measure_bound.feature."""

from __future__ import annotations

import types

from behave import given, then, when
from behave.runner import Context

from bench import day_bound

_OUTPUT = """\
class                asked  in aim   late refused failed not owed  worth
replies                640     260    380       0      0        0  0.500

from second          asked  in aim   late refused failed not owed  worth
0                      100     100      0       0      0        0  1.000
2                      400      60    340       0      0        0  0.200
4                      140     100      0       0      0       40  1.000

what happened
     2.0 s to      {until:.1f} s  {kind} {count} servers
     0.5 s to      1.5 s  node_kill 3 hosts
"""
_SERVER = types.MappingProxyType({
    'batch': 8,
    'stride': 6,
    'step_ms': 2.77,
    'step_ms_per_slot': 0.0145,
    'prefill_tokens_per_ms': 85.2,
    'first_ms': 0.75,
})


@given(
    'a site with {servers:d} servers of {places:d} places '
    'and requests of {seconds:g} seconds',
)
def step_site(
    context: Context, servers: int, places: int, seconds: float
) -> None:
    context.fleet = day_bound.Fleet(servers, places, seconds)


@given('a played day on which {count:d} server was away from second 2 to 4')
def step_day(context: Context, count: int) -> None:
    context.lines = _output('srv_crash', count, 4)


@given('a played day on which {count:d} server paused from second 2 to 3')
def step_pauses(context: Context, count: int) -> None:
    context.lines = _output('srv_slow (pause)', count, 3)


@when('its bound is worked out')
def step_bound(context: Context) -> None:
    context.bounds = context.fleet.bounds(
        day_bound.windows(context.lines), day_bound.losses(context.lines)
    )


@then('the windows are bounded by "{expected}" requests')
def step_bounds(context: Context, expected: str) -> None:
    found = ','.join(map(str, context.bounds))
    assert found == expected, found


@given('a request of {tokens:d} tokens that is answered in {events:d} events')
def step_request(context: Context, tokens: int, events: int) -> None:
    context.request_class = {
        'stream': {
            'prompt_tokens': {'mean': tokens},
            'pieces': {'mean': events},
        }
    }


@then('it takes a place of a server for {seconds} seconds')
def step_place_time(context: Context, seconds: str) -> None:
    found = day_bound.place_time_s(context.request_class, _SERVER)
    assert f'{found:.4f}' == seconds, found


def _output(kind: str, count: int, until_s: float) -> list[str]:
    """Return what a day prints on which servers are away from second 2."""
    return _OUTPUT.format(kind=kind, count=count, until=until_s).splitlines()
