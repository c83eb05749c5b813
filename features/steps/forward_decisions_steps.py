"""Steps of forward_decisions.feature."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
import types
from collections.abc import Iterable, Iterator

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features.builders_load_notices import NoticeSending
from guavadyke.adapters.ports import (
    BackendFault,
    BatchCount,
    OnlineCount,
    PeerNotice,
)
from guavadyke.controllers.forward_job_runner import newest_to_cancel
from guavadyke.controllers.item_run import ItemRun, PartialText
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.fault_reports import FaultReports, ServerFault
from guavadyke.decisions.first_event_times import FirstEventTimes
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_ownership import (
    AbsenceTracker,
    HostView,
    batch_hosts,
    check_quota,
    choose_owner,
    jobs_to_take_over,
)
from guavadyke.decisions.forward_job_records import JobView
from guavadyke.decisions.forward_routes import (
    ForwardRoute,
    RouteTable,
    ServiceShare,
    newer_table,
    split_host,
)
from guavadyke.decisions.load_balancing import ANY_SERVER
from guavadyke.decisions.remote_counts import RemoteCounts
from guavadyke.decisions.server_registry import ServerLease, ServerRegistry
from guavadyke.decisions.server_sent_events import EventParser

_PREFIXES = ('/', '/reply/', '/reply/urgent/')
_REQUESTS = 2000
_ATTEMPTS = 3
_END_RUN = types.MappingProxyType({
    'failed': lambda work, now: work.failed('item-0', _ATTEMPTS, now),
    'broken': lambda work, now: work.broken('item-0', now),
    'preempted': lambda work, _now: work.preempted('item-0'),
    'rejected': lambda work, _now: work.rejected('item-0'),
    'completed': lambda work, _now: work.completed('item-0', 'text'),
})


@given(
    'routes of reports.example with the prefixes '
    '/ and /reply/ and /reply/urgent/',
)
def step_routes(context: Context) -> None:
    context.routes = build.table(
        *(
            dataclasses.replace(build.route(), name=prefix, path_prefix=prefix)
            for prefix in _PREFIXES
        )
    )


@then('the path {path} at {host} matches route {expected}')
def step_route_of_path(
    context: Context, host: str, path: str, expected: str
) -> None:
    found = context.routes.match(split_host(host), path)
    name = found.name if found else 'nothing'
    assert name == expected


@given('a configuration of version {version:d} is in force')
def step_version_in_force(context: Context, version: int) -> None:
    context.tables = [RouteTable(version)]


@when('versions 6, 9, 8 and 9 are offered')
def step_offered(context: Context) -> None:
    for version in (6, 9, 8, 9):
        in_force = newer_table(context.tables[-1], RouteTable(version))
        context.tables.append(in_force)


@then('the versions in force were 7, 9, 9 and 9')
def step_in_force(context: Context) -> None:
    versions = [table.version for table in context.tables[1:]]
    assert versions == [7, 9, 9, 9]


@given('a route that splits 90 to 10 between two services')
def step_split(context: Context) -> None:
    shares = (ServiceShare('large', 90), ServiceShare('small', 10))
    context.route = dataclasses.replace(build.route(), shares=shares)


@then('of 2000 requests 4 to 16 in 100 go to the smaller share')
def step_shares(context: Context) -> None:
    chosen = collections.Counter(_services(context.route))
    assert 0.04 * _REQUESTS < chosen['small'] < 0.16 * _REQUESTS, chosen


@then('a request that is retried goes to the same service')
def step_same_service(context: Context) -> None:
    assert _services(context.route) == _services(context.route)


@then('a stream in pieces of {size:d} bytes yields complete events')
def step_stream_pieces(context: Context, size: int) -> None:
    whole = build.stream()
    splitter = EventParser()
    events = [
        one
        for start in range(0, len(whole), size)
        for one in splitter.feed(whole[start : start + size])
    ]
    assert [one.event_id for one in events] == list(range(1, build.EVENTS + 1))
    assert b''.join(one.raw for one in events) == whole
    assert events[0].data == b'word 1'
    assert not splitter.partial


@given('a list of servers s1 and s2 before an outage')
def step_listed(context: Context) -> None:
    context.servers = ServerRegistry()
    context.servers.replace(
        (build.server('s1'), build.server('s2')),
        build.NOW,
        after_outage=False,
    )


@when('the first list after the outage holds s1 only')
def step_after_outage(context: Context) -> None:
    context.servers.replace(
        (build.server('s1'),),
        build.NOW,
        after_outage=True,
    )


@when('a list without an outage holds s1 only')
def step_no_outage(context: Context) -> None:
    context.servers.replace(
        (build.server('s1'),),
        build.NOW,
        after_outage=False,
    )


@then('s1 and s2 may get work {seconds:g} seconds later')
def step_both_listed(context: Context, seconds: float) -> None:
    assert _listed_ids(context, seconds) == {'s1', 's2'}


@then('s1 may get work {seconds:g} seconds later')
def step_only_s1_listed(context: Context, seconds: float) -> None:
    assert _listed_ids(context, seconds) == {'s1'}


@when(
    '{hosts:d} hosts that exchange their counts place {count:d} '
    'requests on {servers:d} servers',
)
def step_place_requests(
    context: Context, hosts: int, count: int, servers: int
) -> None:
    listed = [build.server(f's{number}') for number in range(servers)]
    balancers = {
        f'h{number}': build.load_balancer(f'h{number}', number)
        for number in range(hosts)
    }
    context.placed = collections.Counter()
    turns = itertools.islice(itertools.cycle(balancers.items()), count)
    for number, (host_id, balancer) in enumerate(turns):
        chosen = balancer.choose_online(
            listed,
            frozenset(),
            f'prompt-{number}',
            build.NOW,
        )
        balancer.own_online[chosen.server_id] += 1
        context.placed[chosen.server_id] += 1
        for other_id, other in balancers.items():
            if other_id != host_id:
                other.online_elsewhere.record_count(
                    host_id,
                    chosen.server_id,
                    balancer.own_online[chosen.server_id],
                    build.NOW,
                )


@then('no server has more than {most:d} requests')
def step_max_requests(context: Context, most: int) -> None:
    assert max(context.placed.values()) <= most, context.placed


@given(
    'a server s1 in the own zone with {count:d} requests '
    'and s2 elsewhere with none',
)
def step_two_zones(context: Context, count: int) -> None:
    context.listed = [
        build.server('s1'),
        build.server('s2', zone=build.OTHER_ZONE),
    ]
    context.balancer = build.load_balancer('h1', 2)
    context.balancer.own_online['s1'] = count


@then('an online request is placed at {expected}')
def step_chosen_server(context: Context, expected: str) -> None:
    chosen = context.balancer.choose_online(
        context.listed,
        frozenset(),
        'prompt',
        build.NOW,
    )
    assert chosen.server_id == expected


@when('batch items start until no slot is left')
def step_start_batch(context: Context) -> None:
    while True:
        chosen = context.balancer.choose_batch(
            context.listed,
            frozenset(),
            build.NOW,
        )
        if chosen is None:
            break
        context.balancer.own_batch[chosen.server_id] += 1


@then('s1 has {first:d} of them and s2 has {second:d}')
def step_batch_at_servers(context: Context, first: int, second: int) -> None:
    own_batch = context.balancer.own_batch
    assert (own_batch['s1'], own_batch['s2']) == (first, second), own_batch


@when('another host reports {count:d} online requests at s1')
def step_online_reported(context: Context, count: int) -> None:
    context.balancer.online_elsewhere.record_count('h2', 's1', count, build.NOW)


@then('the host has to preempt {count:d} items at s1 and none at s2')
def step_host_preempts(context: Context, count: int) -> None:
    first, second = context.listed
    assert context.balancer.preemptions_due(first, build.NOW) == count
    assert not context.balancer.preemptions_due(second, build.NOW)


@when(
    '{hosts:d} hosts with {items:d} items each start what they may '
    'on {servers:d} servers',
)
def step_many_batch(
    context: Context,
    hosts: int,
    items: int,
    servers: int,
) -> None:
    context.listed = [build.server(f's{number}') for number in range(servers)]
    context.balancers = {
        f'h{number}': build.load_balancer(f'h{number}', number)
        for number in range(hosts)
    }
    _exchange_batch_counts(context, {ANY_SERVER: items})
    # All hosts start items before they receive the counts of the others.
    for balancer in context.balancers.values():
        for _ in range(items):
            chosen = balancer.choose_batch(
                context.listed,
                frozenset(),
                build.NOW,
            )
            if chosen is not None:
                balancer.own_batch[chosen.server_id] += 1
    _exchange_batch_counts(context, {})


@when('{count:d} online requests come to each server')
def step_online_at_each_server(context: Context, count: int) -> None:
    for balancer, one in itertools.product(
        context.balancers.values(),
        context.listed,
    ):
        balancer.online_elsewhere.record_count(
            'front', one.server_id, count, build.NOW
        )


@when('s1 refuses an item')
def step_refuses(context: Context) -> None:
    context.balancer.own_waiting = 2
    context.balancer.refused('s1', build.NOW)


@then('each server has {count:d} of them')
def step_each_has(context: Context, count: int) -> None:
    items_by_server = _batch_totals(context)
    assert set(items_by_server.values()) == {count}, items_by_server


@then('no host has to preempt an item')
def step_no_surplus(context: Context) -> None:
    assert not any(_preemptions_by_server(context).values())


@then('all hosts together have to preempt {count:d} items at each server')
def step_all_hosts_preempt(context: Context, count: int) -> None:
    preemptions = _preemptions_by_server(context)
    assert set(preemptions.values()) == {count}, preemptions


@then('an item goes to s2 at once and to either a second later')
def step_paused_after_refusal(context: Context) -> None:
    at_once = {
        context.balancer.choose_batch(
            context.listed,
            frozenset(),
            build.NOW,
        ).server_id
        for _ in range(10)
    }
    later = {
        context.balancer.choose_batch(
            context.listed,
            frozenset(),
            build.NOW + 1,
        ).server_id
        for _ in range(20)
    }
    assert at_once == {'s2'}
    assert later == {'s1', 's2'}


@given('open jobs of which h1 has {first:d}, h2 has {second:d} and h3 has none')
def step_jobs(context: Context, first: int, second: int) -> None:
    owners = itertools.chain(
        itertools.repeat('h1', first),
        itertools.repeat('h2', second),
    )
    context.jobs = {
        f'job-{number}': JobView(build.job(f'job-{number}', owner=owner))
        for number, owner in enumerate(owners)
    }
    context.absences = AbsenceTracker()
    context.now = build.NOW


@then('the owner of a new job is {expected}')
def step_new_job(context: Context, expected: str) -> None:
    chosen = choose_owner('new', 'h1', ('h2', 'h3'), context.jobs.values())
    assert chosen == expected


@when('h1 is absent for {seconds:d} second')
@when('h1 is absent for {seconds:d} seconds')
def step_absent(context: Context, seconds: int) -> None:
    owners = {view.owner for view in context.jobs.values()}
    view = HostView(frozenset(('h2', 'h3')), frozenset(('h1',)))
    for half_seconds in range(2 * seconds + 1):
        context.lost = context.absences.update(
            owners, view, build.NOW + half_seconds / 2
        )


@then('no job is taken over')
def step_none_taken_over(context: Context) -> None:
    assert not context.lost


@then('h2 and h3 take over each job once')
def step_taken_over(context: Context) -> None:
    live_hosts = ('h2', 'h3')
    taken_over = [
        view.job.job_id
        for me in live_hosts
        for view in jobs_to_take_over(
            context.jobs.values(), context.lost, me, live_hosts
        )
    ]
    assert sorted(taken_over) == sorted(context.jobs)


@then('a job of 300 tokens fits a limit of 900 and not one of 899')
def step_quota(context: Context) -> None:
    assert check_quota('replies', 300, 900, context.jobs).fits
    verdict = check_quota('replies', 300, 899, context.jobs)
    assert not verdict.fits
    assert verdict.excess == 1


@then('any job fits where there is no limit')
def step_no_limit(context: Context) -> None:
    assert check_quota('replies', 10**9, 0, context.jobs).fits


@given('a forwarded job of one item with 3 attempts')
def step_job_items(context: Context) -> None:
    context.work = JobItemTracker(build.job(items=1))
    context.work.drop_stored(())
    context.now = build.NOW


@when('runs of the item end as {answers}')
def step_runs_end(context: Context, answers: str) -> None:
    work = context.work
    for answer in answers.split(', '):
        context.now += 10
        started = [item.item_id for item in work.startable_items(context.now)]
        assert started == ['item-0']
        work.started('item-0')
        assert not list(work.startable_items(context.now))
        _END_RUN[answer](work, context.now)


@when('the job is {seconds:d} seconds old and is abandoned after 20')
def step_job_age(context: Context, seconds: int) -> None:
    route = build.route(abandon_after_s=20)
    wall = build.NOW + seconds
    context.work.give_up_overdue(route, context.now, wall)


@when("the job's route has been missing for {seconds:d} seconds")
def step_route_missing(context: Context, seconds: int) -> None:
    for now in (build.NOW, build.NOW + seconds):
        context.work.give_up_overdue(None, now, now)


@then('the item is {state}')
def step_item_state(context: Context, state: str) -> None:
    unlisted = context.work.unstored_results
    if state == 'waiting':
        assert not unlisted
        assert list(context.work.startable_items(context.now + 10))
        return
    assert len(unlisted) == 1
    assert unlisted[0].completed is (state == 'done')
    assert not list(context.work.startable_items(context.now + 10))


def _exchange_batch_counts(context: Context, counts: dict[str, int]) -> None:
    """Exchange the counts of batch items between all hosts."""
    pairs = itertools.permutations(context.balancers.items(), 2)
    for (_me, balancer), (other_id, other) in pairs:
        for name, count in {**other.own_batch, **counts}.items():
            balancer.batch_elsewhere.record_count(
                other_id, name, count, build.NOW
            )


def _batch_totals(context: Context) -> collections.Counter[str]:
    return sum(
        (balancer.own_batch for balancer in context.balancers.values()),
        collections.Counter(),
    )


def _preemptions_by_server(context: Context) -> dict[str, int]:
    return {
        one.server_id: sum(
            balancer.preemptions_due(one, build.NOW)
            for balancer in context.balancers.values()
        )
        for one in context.listed
    }


def _services(route: ForwardRoute) -> list[str]:
    return [
        route.service_of(f'request-{number}') for number in range(_REQUESTS)
    ]


def _listed_ids(context: Context, seconds: float) -> set[str]:
    listed = context.servers.current(build.NOW + seconds)
    return {server.server_id for server in listed}


@when('s2 is full of {count:d} batch items')
def step_full_of_items(context: Context, count: int) -> None:
    context.balancer.own_batch['s2'] = count


@when('{used:d} of the 16 slots were used by online requests a moment ago')
def step_peak(context: Context, used: int) -> None:
    _sample_peak(context, used, build.NOW - 1)


@when('{used:d} of the 16 slots were used by online requests 20 seconds ago')
def step_old_peak(context: Context, used: int) -> None:
    _sample_peak(context, used, build.NOW - 20)


@when('a job is due soon')
def step_pressing(context: Context) -> None:
    context.balancer.pressing = True


@when('more items wait than can run')
def step_backlog(context: Context) -> None:
    context.balancer.own_waiting = 100


@when('nothing else happens')
def step_nothing_else(context: Context) -> None:
    context.balancer.own_waiting = 0


@when('{reporters} report that s1 fails')
def step_reports(context: Context, reporters: str) -> None:
    zones = {
        'one host of the own zone': (build.ZONE,),
        'two hosts of the own zone': (build.ZONE, build.ZONE),
        'two hosts of another zone': (build.OTHER_ZONE, build.OTHER_ZONE),
        'hosts of two zones': (build.ZONE, build.OTHER_ZONE),
    }[reporters]
    for number, zone in enumerate(zones):
        context.balancer.fault_reports.report(
            's1', f'host-{number}', zone, build.NOW - 0.1, 2
        )


@when('a host reports that s1 answers')
def step_answers_again(context: Context) -> None:
    assert context.balancer.fault_reports.withdraw('s1')


@when('{count:d} hosts learn that a server fails')
def step_hosts_learn(context: Context, count: int) -> None:
    context.reports = [
        FaultReports(build.ZONE, random.Random(number))
        for number in range(count)
    ]
    for reports, reporter in itertools.product(context.reports, 'ab'):
        reports.report('s1', reporter, build.ZONE, build.NOW, count)


@then('they use it again over at least {seconds:d} seconds')
def step_return_over(context: Context, seconds: int) -> None:
    counts = _avoiding(context)
    assert counts[0] == len(context.reports), counts
    assert counts[seconds] > 0, counts


@then('no more than {count:d} of them within a second')
def step_return_rate(context: Context, count: int) -> None:
    counts = _avoiding(context)
    drops = [before - after for before, after in itertools.pairwise(counts)]
    assert max(drops) <= count, drops


@given('{count:d} live hosts')
def step_live_hosts(context: Context, count: int) -> None:
    context.hosts = [f'h{number}' for number in range(count)]


@then('the jobs of all hosts go to the same {count:d} hosts')
def step_few_owners(context: Context, count: int) -> None:
    owners = {
        choose_owner(f'job-{number}', me, context.hosts, ())
        for number in range(500)
        for me in context.hosts[:: len(context.hosts) // 2]
    }
    assert len(owners) == count, owners


@given('first events usually take {usual:g} seconds')
def step_usual(context: Context, usual: float) -> None:
    context.times = FirstEventTimes()
    for _ in range(50):
        context.times.record('replies', usual)


@then(
    'a repeatable request with an objective of 0.3 seconds {does} '
    'after {seconds:g} seconds',
)
def step_moves_on(context: Context, does: str, seconds: float) -> None:
    patience_s = context.times.patience_s('replies', 0.5 * 0.3)
    assert (seconds > patience_s) == (does == 'moves on'), patience_s


@given('{count:d} runs of items at a server, of which {cancelled:d} end')
def step_runs(context: Context, count: int, cancelled: int) -> None:
    one = build.server('s1')
    job = build.job(items=count)
    context.runs = [
        ItemRun(
            job,
            item,
            ServerLease(one, batch=True, taken_at=number),
            PartialText(),
            build.item_run_tools(build.pool((one,))),
        )
        for number, item in enumerate(job.items)
    ]
    for run in context.runs[count - cancelled :]:
        run.cancellation.cancel()


@then('{count:d} more are cancelled so that {slots:d} slots become free')
def step_cancelled(context: Context, count: int, slots: int) -> None:
    chosen = newest_to_cancel(context.runs, slots)
    running = [run for run in context.runs if not run.cancellation.cancelled]
    expected = running[len(running) - count :]
    assert chosen == list(reversed(expected)), chosen


@given('a host with a server that another host has filled with items')
def step_filled(context: Context) -> None:
    context.pool = build.pool((build.server('s1'),))
    context.pool.record_notice(
        'host-2', PeerNotice(batch_counts=(BatchCount('s1', 8),))
    )


@given('a host whose own items fill a server')
def step_own_items(context: Context) -> None:
    context.pool = build.pool((build.server('s1'),))
    context.woken = []
    context.pool.urgent.on_own_items(lambda: context.woken.append('woken'))
    for _ in range(7):
        context.pool.acquire_batch(build.SERVICE, frozenset())


@given(
    'a host that has just started, '
    'with a request that runs for {seconds:g} seconds'
)
def step_just_started(context: Context, seconds: float) -> None:
    clock = build.ManualClock()
    context.pool = build.pool((build.server('s1'),), clock)
    context.pool.acquire_online(build.SERVICE, frozenset(), 'first')
    clock.sleep(seconds)


@then(
    'a refused caller may return as soon as at a host '
    'where requests take {seconds:g} seconds'
)
def step_returns_as_soon(context: Context, seconds: float) -> None:
    experienced = build.pool((build.server('s1'),))
    lease = experienced.acquire_online(build.SERVICE, frozenset(), 'first')
    assert lease is not None
    experienced.wait_estimator.record_service_time(lease, seconds)
    notice = PeerNotice(counts=(OnlineCount('s1', 100, 0),))
    experienced.record_notice('host-2', notice)
    started_s, experienced_s = itertools.starmap(
        _retry_s, ((context.pool, 'next'), (experienced, 'next'))
    )
    assert started_s <= experienced_s, (started_s, experienced_s)


def _retry_s(pool: ServerPool, key: str) -> float:
    """Return after how many seconds a caller that is refused may return."""
    lease = pool.acquire_online(build.SERVICE, frozenset(), key)
    assert lease is not None
    return pool.wait_estimator.estimate_retry_after_s(lease, 0)


@when('it sends an online request there')
def step_online_there(context: Context) -> None:
    context.pool.acquire_online(build.SERVICE, frozenset(), 'key')


@when('another host reports {count:d} online requests there')
def step_reported_online(context: Context, count: int) -> None:
    context.pool.record_notice(
        'host-2', PeerNotice(counts=(OnlineCount('s1', count, 0),))
    )


@when('another host reports {count:d} online requests at another server')
def step_reported_at_another(context: Context, count: int) -> None:
    context.pool.record_notice(
        'host-2', PeerNotice(counts=(OnlineCount('s2', count, 0),))
    )


@then('the other host is to be told at once')
def step_told_at_once(context: Context) -> None:
    news = context.pool.urgent.wait(0)
    assert news.contended == {'host-2': {'s1'}}, news


@then('it looks at once which of its items to preempt')
def step_looks(context: Context) -> None:
    assert context.woken, context.woken


@then('it has looked once which of its items to preempt')
def step_looked_once(context: Context) -> None:
    assert len(context.woken) == 1, context.woken


@when('a request fails because the server is not reached')
def step_not_reached(context: Context) -> None:
    lease = context.pool.acquire_online(build.SERVICE, frozenset(), 'key')
    context.pool.release(lease, BackendFault.not_reached)


@when('a later request is answered')
def step_later_answered(context: Context) -> None:
    context.pool.record_notice(
        'host-2',
        PeerNotice(faults=(ServerFault('s1', build.ZONE, failing=True),)),
    )
    context.pool.urgent.wait(0)
    lease = context.pool.acquire_online(build.SERVICE, frozenset(), 'key')
    context.pool.release(lease)


@then('all hosts are told that the server {state}')
def step_all_told(context: Context, state: str) -> None:
    faults = context.pool.urgent.wait(0).faults
    assert [one.failing for one in faults] == [state == 'fails'], faults


@given('random counts that {hosts:d} hosts announce for a server')
def step_random_counts(context: Context, hosts: int) -> None:
    context.announced = build.random_counts(hosts, seed=1)


@then('each sum is that of the counts of the last 1.2 seconds')
def step_sums(context: Context) -> None:
    for counts, valid, at in _replayed(context.announced):
        assert counts.total('s1', at) == sum(valid.values()), at


@then('each count by host is the last one of this host')
def step_by_host(context: Context) -> None:
    for counts, valid, at in _replayed(context.announced):
        expected = {host: count for host, count in valid.items() if count}
        assert counts.by_host('s1', at) == expected, at


@then('an earlier sum is known as long as it is remembered')
def step_earlier_sum(context: Context) -> None:
    sums: list[tuple[float, int]] = []
    for counts, valid, at in _replayed(context.announced):
        known = (before for before in reversed(sums) if before[0] <= at - 1)
        since, total = next(known, (at, 0))
        expected = total if at - 1 - since <= build.COUNT_VALID_S else 0
        assert counts.total_at('s1', at - 1) == expected, at
        sums.append((at, sum(valid.values())))


def _replayed(
    announced: Iterable[build.AnnouncedCount],
) -> Iterator[tuple[RemoteCounts, dict[str, int], float]]:
    """Yield the counts, those that are valid, and the time of each one."""
    counts = RemoteCounts()
    last: dict[str, build.AnnouncedCount] = {}
    for one in announced:
        counts.record_count(one.host_id, 's1', one.count, one.at)
        last[one.host_id] = one
        valid = {
            host_id: known.count
            for host_id, known in last.items()
            if one.at - known.at <= build.COUNT_VALID_S
        }
        yield counts, valid, one.at


@given('a host of a fleet of {hosts:d} hosts')
def step_large_fleet(context: Context, hosts: int) -> None:
    context.sending = NoticeSending(hosts)


@when('it starts a request and sends its counts')
def step_sends_counts(context: Context) -> None:
    context.sending.send()


@when('{count:d} hosts leave and it starts a request and sends its counts')
def step_hosts_leave(context: Context, count: int) -> None:
    context.sending.remove(count)
    context.sending.send()


@then('all hosts that run batch items are among the receivers')
def step_batch_hosts_told(context: Context) -> None:
    sending = context.sending
    chosen = set(batch_hosts({'host-1', *sending.others})) - {'host-1'}
    assert chosen <= sending.receivers, chosen - sending.receivers
    assert len(sending.receivers) < len(sending.others), sending.receivers


@then('no host that left is among them')
def step_none_that_left(context: Context) -> None:
    sending = context.sending
    assert sending.receivers <= sending.others, sending.receivers


def _sample_peak(context: Context, used: int, at: float) -> None:
    context.balancer.online_peaks.sample(
        context.listed, lambda _server_id: used // 2, at
    )


def _avoiding(context: Context) -> list[int]:
    """Return how many hosts avoid the server at the start of each second."""
    return [
        sum(one.avoids('s1', build.NOW + second) for one in context.reports)
        for second in range(10)
    ]
