"""Steps of forward_placement.feature."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import json
import random

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_placement as placing
from guavadyke.adapters.peer_datagram_codec import (
    PeerDatagram,
    decode_datagram,
    encode_datagram,
)
from guavadyke.adapters.ports import (
    BackendFault,
    BatchCount,
    OnlineCount,
    PeerNotice,
    StoredObject,
)
from guavadyke.controllers.item_run import ItemRun, PartialText, RunEnd
from guavadyke.decisions.object_versions import CatalogueMark
from guavadyke.decisions.remote_work import RemoteWork
from guavadyke.decisions.request_cost import (
    CostModel,
    Observation,
    RequestSize,
)
from guavadyke.decisions.server_speed import MethodSwitch
from guavadyke.errors import GuavadykeError
from guavadyke.filters.forward import Forwarder
from guavadyke.forward_job_documents import decode_job, encode_job
from guavadyke.log import EventLogger
from guavadyke.platform.configuration import ConfigurationDecoder
from guavadyke.platform.request_size import stated_size
from guavadyke.settings import ForwardSettings

_MEAN_COST_S = 1.5
_EXACT = 1e-6


def _numbers(text: str) -> list[float]:
    return [float(one) for one in text.replace(' and ', ', ').split(', ')]


def _give_servers(context: Context, text: str, **options: float) -> None:
    context.speeds = _numbers(text)
    context.servers = [
        placing.server(number) for number in range(1, len(context.speeds) + 1)
    ]
    context.host = placing.Host(1, context.servers, **options)


def _server(context: Context, name: str) -> object:
    return next(one for one in context.servers if one.server_id == name)


@given('a host and servers of the speeds {speeds}')
def step_host(context: Context, speeds: str) -> None:
    _give_servers(context, speeds)


@given('a host with a spread of {spread:g} and servers of the speeds {speeds}')
def step_host_spread(context: Context, spread: float, speeds: str) -> None:
    _give_servers(context, speeds, spread=spread)
    # Without a spread nothing is observed, so that nothing can be learned.
    context.host.learn_speeds = _place_all


def _place_all(servers: object, speeds: object, rounds: int) -> None:
    """Learn nothing."""


@given('a host whose servers of the speeds {speeds} hold {memory:d} tokens')
def step_host_memory(context: Context, speeds: str, memory: int) -> None:
    _give_servers(context, speeds, memory=memory)


@when('each has completed {count:d} requests')
def step_learn(context: Context, count: int) -> None:
    context.host.learn_speeds(context.servers, context.speeds, count)


@when(
    'each has completed {count:d} requests with random waits of up to '
    '{most:g} s'
)
def step_learn_waits(context: Context, count: int, most: float) -> None:
    rng = random.Random(1)
    for one in context.servers * count:
        context.host.learn(one, 1, wait_s=rng.choice((0, most)))


@when(
    'each has completed {count:d} answers without events of {low:g} to '
    '{high:g} s'
)
def step_learn_whole(
    context: Context, count: int, low: float, high: float
) -> None:
    rng = random.Random(1)
    for one in context.servers * count:
        context.host.learn(one, 1, events=0, wait_s=rng.choice((low, high)))


@when('{name} completes {count:d} requests at the speed {speed:g}')
def step_learn_one(
    context: Context, name: str, count: int, speed: float
) -> None:
    context.host.learn(_server(context, name), speed, count)


@when('{name} starts again')
def step_restart(context: Context, name: str) -> None:
    context.servers = [
        dataclasses.replace(one, born_ms=2) if one.server_id == name else one
        for one in context.servers
    ]
    context.host.list(context.servers)


@when('{seconds:d} seconds pass without requests')
def step_pass(context: Context, seconds: int) -> None:
    context.host.clock.sleep(seconds)


@then('the learned speed of {name} is {low:g} to {high:g} times that of s1')
def step_ratio(context: Context, name: str, low: float, high: float) -> None:
    learned = map(context.host.speed, context.servers)
    speeds = dict(
        zip((one.server_id for one in context.servers), learned, strict=True)
    )
    assert low <= speeds[name] / speeds['s1'] <= high, speeds


@then('the learned speed of {name} is 1')
def step_usual(context: Context, name: str) -> None:
    assert context.host.speed(_server(context, name)) == 1


@then('the learned speed of {name} is below {bound:g}')
def step_below(context: Context, name: str, bound: float) -> None:
    speed = context.host.speed(_server(context, name))
    assert speed < bound, speed


@then('the learned speed of {name} is above {bound:g}')
def step_above(context: Context, name: str, bound: float) -> None:
    speed = context.host.speed(_server(context, name))
    assert speed > bound, speed


@then('requests are placed by {method}')
def step_method(context: Context, method: str) -> None:
    assert context.host.by_work == (method == 'work')
    lease = context.host.acquire()
    context.host.pool.release(lease)
    counted = context.host.metrics.counters().get(
        f'placements_by_work_{build.SERVICE}', 0
    )
    assert bool(counted) or method == 'counts', counted


@then('a request costs less time at {name}')
def step_chosen(context: Context, name: str) -> None:
    leases = [context.host.acquire(str(number)) for number in range(6)]
    chosen = collections.Counter(one.server.server_id for one in leases)
    assert chosen[name] >= 5, chosen


@then('both choices agree in {count:d} random states below the spread')
def step_agree(context: Context, count: int) -> None:
    servers = [placing.server(number) for number in range(1, 9)]
    for seed in range(count):
        clock = build.ManualClock()
        new = placing.Host(1, servers, clock=clock)
        old = placing.Host(1, servers, clock=clock, spread=0)
        rng = random.Random(seed)
        new.learn_speeds(servers, rng.choices((0.9, 1, 1.1), k=8), 2)
        for loaded in (new, old):
            _load(loaded, servers, random.Random(seed))
        assert not new.by_work
        for key in map(str, range(4)):
            chosen = [host.acquire(key).server for host in (new, old)]
            assert chosen[0] == chosen[1], (seed, key)


def _load(host: placing.Host, servers: list, rng: random.Random) -> None:
    """Let another host report random counts, with their work."""
    notice = PeerNotice(
        counts=tuple(
            OnlineCount(
                one.server_id, rng.randrange(12), 0, rng.randrange(9000)
            )
            for one in servers
        )
    )
    host.pool.record_notice('host-2', notice)
    for service in itertools.repeat(build.SERVICE, rng.randrange(8)):
        host.pool.acquire_batch(service, frozenset())


@then('ratios of {ratios} give the methods {methods}')
def step_hysteresis(context: Context, ratios: str, methods: str) -> None:
    switch = MethodSwitch(placing.SPREAD)
    found = []
    for ratio in _numbers(ratios):
        switch.update(ratio)
        found.append('work' if switch.by_work else 'counts')
    assert found == methods.replace(' and ', ', ').split(', '), found


@given('a cost model and answers of {events:d} events for hints of {hint:d}')
def step_model(context: Context, events: int, hint: int) -> None:
    context.costs = CostModel()
    _answer(context, 50, events, placing.size(hint))


def _answer(
    context: Context, count: int, events: int, stated: RequestSize
) -> None:
    seen = Observation(0.1, events, (events - 1) * placing.EVENT_S)
    for one in itertools.repeat(seen, count):
        context.costs.observe(stated, 0, one)


@when('{count:d} answers of the team {team} have {events:d} events')
def step_team(context: Context, count: int, team: str, events: int) -> None:
    stated = dataclasses.replace(placing.size(), team=team)
    context.before = context.costs.expect(placing.size()).events
    _answer(context, count, events, stated)


@then('the expected events of the team {team} are those of its route')
def step_team_route(context: Context, team: str) -> None:
    stated = dataclasses.replace(placing.size(), team=team)
    expected = context.costs.expect(stated).events
    assert expected == context.costs.expect(placing.size()).events
    assert placing.HINT < expected < context.before, expected


@then('the expected events of the team {team} are {events:d}')
def step_team_events(context: Context, team: str, events: int) -> None:
    stated = dataclasses.replace(placing.size(), team=team)
    assert round(context.costs.expect(stated).events) == events


@then('the expected events for a hint of {hint:d} are {events:d}')
def step_events(context: Context, hint: int, events: int) -> None:
    expected = context.costs.expect(placing.size(hint)).events
    assert round(expected) == events, expected


@then(
    'the expected events for a hint of {hint:d} with a maximum of {most:d} '
    'are {events:d}'
)
def step_most_events(
    context: Context, hint: int, most: int, events: int
) -> None:
    expected = context.costs.expect(placing.size(hint, most)).events
    assert expected == events, expected


@then('a request with {events:d} events so far still costs {left:d} events')
def step_left(context: Context, events: int, left: int) -> None:
    cost = context.costs.expect(placing.size())
    assert round(cost.after(events) / cost.event_s) == left


@given('a cost model of {per_ms:g} ms for each uncached prompt token')
def step_prompt_model(context: Context, per_ms: float) -> None:
    context.costs = CostModel()
    for tokens in (100, 500, 900, 2000):
        context.costs.observe(
            RequestSize(tokens, 40, 10, (), 'replies', ''),
            0,
            Observation(0.02 + tokens * per_ms / 1000, 5, 0.1),
        )


@then(
    'a prompt of {tokens:d} tokens costs {less:g} s less where they are cached'
)
def step_cached(context: Context, tokens: int, less: float) -> None:
    stated = RequestSize(tokens, 40, 10, (), 'replies', '')
    costs = [
        context.costs.expect(stated, cached).total_s for cached in (0, tokens)
    ]
    assert abs(costs[0] - costs[1] - less) < less / 100, costs


@given('a report of {count:d} requests with {work:d} s of work')
def step_report(context: Context, count: int, work: int) -> None:
    context.remote = RemoteWork()
    context.remote.record('host-2', 's1', count, work, build.NOW)


@given('a report of {count:d} requests without their work')
def step_report_without(context: Context, count: int) -> None:
    context.remote = RemoteWork()
    context.remote.record('host-2', 's1', count, None, build.NOW)


def _left(context: Context, seconds: float) -> float:
    server = placing.server(1)
    now = build.NOW + seconds
    left: float = context.remote.remaining_s(server, 4, 1, _MEAN_COST_S, now)
    return left


@then('{work:d} s of work are left {seconds:g} s later')
def step_work_left(context: Context, work: int, seconds: float) -> None:
    assert abs(_left(context, seconds) - work) < _EXACT


@then('the requests have the mean cost {seconds:g} s later')
def step_work_lost(context: Context, seconds: float) -> None:
    assert abs(_left(context, seconds) - 4 * _MEAN_COST_S) < _EXACT


@then('their work is that of {count:d} requests of mean cost')
def step_work_mean(context: Context, count: int) -> None:
    assert abs(_left(context, 0) - count * _MEAN_COST_S) < _EXACT


@then('a notice with work of {work:d} ms and one without are read as sent')
def step_codec(context: Context, work: int) -> None:
    sent = PeerNotice(
        counts=(OnlineCount('s1', 3, 0, work), OnlineCount('s2', 1, 0))
    )
    datagram = PeerDatagram(
        'host-2',
        1,
        'boot',
        1,
        1,
        CatalogueMark(),
        platform_reachable=True,
        notice=sent,
    )
    read = decode_datagram(encode_datagram(datagram)).notice
    assert read == sent, read


@then('a request at s1 is reported without its work')
def step_no_work(context: Context) -> None:
    assert _reported(context) is None


@then('a request at s1 is reported with its work')
def step_some_work(context: Context) -> None:
    reported = _reported(context)
    cost_ms = 1000 * placing.HINT * placing.EVENT_S
    assert reported is not None
    assert 0.5 * cost_ms < reported < 2 * cost_ms, reported


def _reported(context: Context) -> int | None:
    lease = context.host.acquire(excluded=('s2', 's3'))
    counts = context.host.pool.load_notice().counts
    context.host.pool.release(lease)
    work_ms: int | None = counts[0].work_ms
    return work_ms


@when('{count:d} requests of {tokens:d} tokens are placed')
def step_place(context: Context, count: int, tokens: int) -> None:
    assert tokens == placing.size().memory_tokens
    context.leases = [
        context.host.acquire(str(number)) for number in range(count)
    ]


@then(
    'no server holds more than {memory:d} tokens and {count:d} requests have '
    'no server'
)
def step_memory(context: Context, memory: int, count: int) -> None:
    held = collections.Counter(
        one.server.server_id for one in context.leases if one is not None
    )
    most = max(held.values()) * placing.size().memory_tokens
    assert most <= memory, held
    assert context.leases.count(None) == count, held


@then('an item of {tokens:d} tokens has no server')
def step_item_memory(context: Context, tokens: int) -> None:
    lease = context.host.pool.acquire_batch(
        build.SERVICE, frozenset(), None, placing.size()
    )
    assert lease is None


@given(
    '{hosts:d} hosts that have learned {count:d} servers of the speeds {speeds}'
)
def step_fleet(context: Context, hosts: int, count: int, speeds: str) -> None:
    cycle = _numbers(speeds)
    context.servers = [placing.server(number) for number in range(count)]
    all_speeds = [cycle[number % len(cycle)] for number in range(count)]
    context.hosts = [
        placing.Host(number, context.servers) for number in range(hosts)
    ]
    for learner in context.hosts:
        learner.learn_speeds(context.servers, all_speeds, 5)


@when('each places a request by the same reports')
def step_herd(context: Context) -> None:
    context.chosen = collections.Counter(
        host.acquire(f'key-{host.name}').server.server_id
        for host in context.hosts
    )


@then('no server gets more than {most:d} requests')
def step_no_herd(context: Context, most: int) -> None:
    assert max(context.chosen.values()) <= most, context.chosen


@when('items fill all servers')
def step_items(context: Context) -> None:
    acquire = context.host.pool.acquire_batch
    started = iter(lambda: acquire(build.SERVICE, frozenset()), None)
    assert sum(1 for _lease in started)
    _load_with_items(context)


def _load_with_items(context: Context) -> None:
    """Let another host report items in the slots that are kept free."""
    load = context.host.pool.load_notice().batch_counts
    held = {one.backend_id: one.in_flight for one in load}
    context.host.pool.record_notice(
        'host-2',
        PeerNotice(
            batch_counts=tuple(
                BatchCount(
                    one.server_id, one.slots - held.get(one.server_id, 0)
                )
                for one in context.servers
            )
        ),
    )


@then('a request is still placed and {count:d} item has to yield')
def step_yield(context: Context, count: int) -> None:
    lease = context.host.acquire()
    assert lease is not None
    wait_s = context.host.pool.wait_estimator.estimate_wait_s(lease)
    due = context.host.pool.items_to_preempt()
    assert wait_s == 0, wait_s
    assert sum(due.values()) == count, due


@then(
    'the counts "{counts}" and the hint "{hint}" are read as {prompt:d}, '
    '{maximum:d} and {tokens:d}'
)
def step_stated(
    _context: Context,
    counts: str,
    hint: str,
    prompt: int,
    maximum: int,
    tokens: int,
) -> None:
    headers = {
        'token-counts': counts,
        'length-hint': hint,
        'prompt-prefix': 'intro:40,shared:x,own:7',
    }
    stated = stated_size(headers, build.route(), None)
    parts = (('intro', 40), ('shared', 0))
    assert stated == RequestSize(
        prompt, maximum, tokens, parts, 'replies', ''
    ), stated


@when(
    'a stream and an item have whole answers of {events:d} events for hints '
    'of {hint:d}'
)
def step_whole(context: Context, events: int, hint: int) -> None:
    assert events == build.EVENTS
    context.host = placing.Host(1, [placing.server(1)])
    servers = build.FakeServers()
    assert _forward(context, servers, hint)
    lease = context.host.pool.acquire_batch(
        build.SERVICE, frozenset(), None, placing.size(hint)
    )
    run = ItemRun(
        build.job(),
        build.item(0),
        lease,
        PartialText(),
        build.item_run_tools(context.host.pool),
    )
    assert run.perform(servers, ForwardSettings()).end is RunEnd.completed
    assert lease.placed.completed and lease.placed.events == events


@when('a stream breaks off after {events:d} events for a hint of {hint:d}')
def step_broken(context: Context, events: int, hint: int) -> None:
    context.host = placing.Host(1, [placing.server(1)])
    script = build.Scripted(fault=BackendFault.broken, sent=events)
    assert not _forward(context, build.FakeServers(script), hint)


def _forward(context: Context, servers: build.FakeServers, hint: int) -> bool:
    """Forward a streamed request; return whether its answer was whole."""
    tools = build.tools(servers, context.host.pool)
    request = dataclasses.replace(build.request(), size=placing.size(hint))
    answer = Forwarder(request, build.route(max_attempts=1), tools).answer()
    try:
        return b''.join(answer.body) == build.stream()
    except GuavadykeError:
        return False


@then('{events:d} events are expected for a hint of {hint:d}')
def step_expected(context: Context, events: int, hint: int) -> None:
    lease = context.host.acquire(hint=hint)
    assert round(lease.placed.cost.events) == events, lease.placed


@then('an item with a size and one of the release before are read as stored')
def step_stored(_context: Context) -> None:
    stated = RequestSize(60, 40, 10, (('intro', 40),), 'replies', 'owls')
    job = dataclasses.replace(build.job(items=1), route='replies', team='owls')
    items = tuple(dataclasses.replace(item, size=stated) for item in job.items)
    job = dataclasses.replace(job, items=items)
    body = encode_job(job)
    assert decode_job(job.job_id, body) == job
    document = json.loads(body)
    document['items'][0].pop('size')
    older = decode_job(job.job_id, json.dumps(document).encode())
    assert older.items[0].size == RequestSize(route='replies', team='owls')


@then(
    'a configuration with services of {memory:d} tokens and without an engine '
    'is read'
)
def step_configuration(_context: Context, memory: int) -> None:
    document = {
        'Version': 3,
        'Routes': [],
        'Services': [
            {'Name': 'engines', 'Engine': {'Slots': 8, 'KvTokens': memory}},
            {'Name': 'plain'},
        ],
    }
    stored = StoredObject('config', 'main', 1, json.dumps(document).encode())
    table = ConfigurationDecoder(EventLogger())(stored)
    assert table is not None
    assert table.memory_tokens == {'engines': memory}, table
