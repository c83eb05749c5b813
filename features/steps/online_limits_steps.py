"""Steps of online_limits.feature."""

import dataclasses
import itertools
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features import builders_online_bench as bench
from guavadyke.catalogue import OwnerEntry
from guavadyke.standins.continuous_batching import ContinuousBatchSpec
from guavadyke.standins.faults import PlatformFaults

_TOKENS = 20
_TRIES = 400
_PAUSE_S = 0.05
_SPEC = ContinuousBatchSpec(slots=32, step_s=0.005, step_growth_s=0)


def _start_hosts(context: Context, hosts: int, **limits: float) -> None:
    context.bench = bench.OnlineBench(engines=2, hosts=hosts, batch=_SPEC)
    context.add_cleanup(context.bench.close)
    owner = OwnerEntry.model_validate({'limits': limits})
    cell = context.bench.catalogue
    cell.publish(dataclasses.replace(cell.current, owners={'pesebres': owner}))


def _chat(context: Context, number: int, tries: int) -> bench.Reply:
    hosts = context.bench.hosts
    request = {
        'model': 'desk',
        'messages': [{'role': 'user', 'content': f'number {number}'}],
        'max_tokens': _TOKENS,
        'stream': True,
    }
    for attempt in range(tries):
        host = hosts[(number + attempt) % len(hosts)]
        reply = bench.call(host, bench.CHAT, request)
        if reply.status != 429:
            break
        time.sleep(_PAUSE_S)
    return reply


def _send(context: Context, count: int, tries: int) -> None:
    with ThreadPoolExecutor(count) as pool:
        context.replies = list(
            pool.map(
                lambda number: _chat(context, number, tries),
                range(count),
            ),
        )


def _records(context: Context) -> list[dict[str, object]]:
    return list(
        itertools.chain.from_iterable(
            engine.history.records() for engine in context.bench.engines
        ),
    )


def _max_concurrency(context: Context) -> int:
    records = _records(context)
    changes = [(one['started'], 1) for one in records]
    changes.extend((one['ended'], -1) for one in records)
    return max(itertools.accumulate(step for _at, step in sorted(changes)))


@given(
    '{hosts:d} entry hosts and an owner limited to a concurrency of {most:d}',
)
def step_concurrency(context: Context, hosts: int, most: int) -> None:
    _start_hosts(context, hosts, concurrency=most)


@given(
    '{hosts:d} entry hosts and an owner limited to'
    ' {most:d} requests per second',
)
def step_rate(context: Context, hosts: int, most: int) -> None:
    _start_hosts(context, hosts, requests_per_s=most)


@given('the platform is unavailable before any grant')
def step_unavailable(context: Context) -> None:
    context.bench.platform.faults = PlatformFaults(outage='refuse')


@when('{count:d} chats are sent to all hosts in turn and retried if refused')
def step_send(context: Context, count: int) -> None:
    _send(context, count, _TRIES)


@when('{count:d} chats are sent to all hosts in turn, without retries')
def step_send_once(context: Context, count: int) -> None:
    _send(context, count, 1)


@then('every limited chat is answered completely in the end')
def step_whole(context: Context) -> None:
    for reply in context.replies:
        assert reply.body.endswith(b'data: [DONE]\n\n'), reply


@then('the limited chats that were refused have status 429 and run "{run}"')
def step_refused(context: Context, run: str) -> None:
    refused = [one for one in context.replies if one.status != 200]
    assert refused, 'no chat was refused'
    for reply in refused:
        error = reply.document['error']
        assert (reply.status, error['run']) == (429, run), reply
        assert int(reply.headers['Retry-After']) >= 1


@then('the engines never ran more than {most:d} chats at once')
def step_never_more(context: Context, most: int) -> None:
    assert _max_concurrency(context) <= most, _max_concurrency(context)


@then(
    'the engines ran at least {least:d} chats'
    ' and never more than {most:d} at once',
)
def step_concurrency_between(context: Context, least: int, most: int) -> None:
    assert len(_records(context)) >= least
    assert _max_concurrency(context) <= most, _max_concurrency(context)


@then('the engines received at most {most:d} chats')
def step_at_most(context: Context, most: int) -> None:
    assert len(_records(context)) <= most, len(_records(context))


@then('each host has served chats')
def step_each_host(context: Context) -> None:
    hosts = {one['host_id'] for one in _records(context)}
    assert len(hosts) == len(context.bench.hosts), hosts
