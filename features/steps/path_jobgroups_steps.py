"""Steps of path_jobgroups.feature."""

import collections

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as some

from guavadyke.catalogue import BackendServerEntry, ModelEntry
from guavadyke.decisions.job_assignment import (
    JobSelector,
    OpenJob,
    host_rank,
    hosts_by_entry,
)
from guavadyke.snapshots import CatalogueSnapshot

_ENTRY = 'chat'
_ZONES = ('north', 'south', 'west')
_HYPOTHESIS_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
)


@given('{hosts:d} live hosts and {jobs:d} open jobs of {chunks} chunk')
@given('{hosts:d} live hosts and {jobs:d} open jobs of {chunks} chunks')
def step_fleet_of_jobs(
    context: Context,
    hosts: int,
    jobs: int,
    chunks: str,
) -> None:
    count = 1 if chunks == 'one' else int(chunks)
    context.group_hosts = tuple(f'host-{number}' for number in range(hosts))
    context.hosts_by_entry = {_ENTRY: context.group_hosts}
    context.open_jobs = [
        OpenJob(f'job-{number}', _ENTRY, count) for number in range(jobs)
    ]


@given('the entry is served in one of 3 zones only')
def step_one_zone(context: Context) -> None:
    context.zone_of = {
        host_id: _ZONES[number % len(_ZONES)]
        for number, host_id in enumerate(context.group_hosts)
    }
    server = BackendServerEntry(
        zone=_ZONES[1],
        address='127.0.0.1:1',
        serves=(_ENTRY,),
    )
    entry = ModelEntry(owner='pesebres', model='small')
    catalogue = CatalogueSnapshot(
        entries={_ENTRY: entry},
        backend_servers={'engine': server},
    )
    context.hosts_by_entry = hosts_by_entry(catalogue, context.zone_of)


@when('each host selects its jobs')
def step_select(context: Context) -> None:
    context.selected = {
        host_id: JobSelector(host_id).select_jobs(
            context.open_jobs, context.hosts_by_entry
        )
        for host_id in context.group_hosts
    }


@then('each job has at least {count:d} hosts')
def step_hosts_of_jobs(context: Context, count: int) -> None:
    hosts = collections.Counter(
        job_id for selected in context.selected.values() for job_id in selected
    )
    assert set(hosts) == {job.job_id for job in context.open_jobs}
    assert min(hosts.values()) >= count, min(hosts.values())


@then('each job has at least {count:d} hosts, all of that zone')
def step_hosts_of_zone(context: Context, count: int) -> None:
    step_hosts_of_jobs(context, count)
    zones = {
        context.zone_of[host_id]
        for host_id, selected in context.selected.items()
        if selected
    }
    assert zones == {_ZONES[1]}, zones


@then('no host has more than {count:d} jobs')
def step_most_jobs(context: Context, count: int) -> None:
    assert max(map(len, context.selected.values())) <= count


@when('a host finds no work {times:d} times')
def step_find_nothing(context: Context, times: int) -> None:
    context.job_selector = JobSelector(context.group_hosts[0])
    for _ in range(times):
        context.job_selector.record_search(work=False)


@then('it selects all {count:d} jobs')
def step_all_jobs(context: Context, count: int) -> None:
    selected = context.job_selector.select_jobs(
        context.open_jobs, context.hosts_by_entry
    )
    assert len(selected) == count, selected


@then('after it has found work it selects {count:d}')
def step_fewer_jobs(context: Context, count: int) -> None:
    context.job_selector.record_search(work=True)
    selected = context.job_selector.select_jobs(
        context.open_jobs, context.hosts_by_entry
    )
    assert len(selected) == count, len(selected)


@when("hypothesis removes hosts from a host's view of the fleet")
def step_views(context: Context) -> None:
    context.first_host_selects = _HYPOTHESIS_SETTINGS(
        hypothesis_given(
            missing=some.sets(some.integers(0, 29), max_size=29),
            job=some.text('abcdef', min_size=1, max_size=8),
        )(_first_host_selects),
    )


@then("a job's first-ranked host of the whole fleet selects it")
def step_first_host(context: Context) -> None:
    context.first_host_selects()


def _first_host_selects(missing: set[int], job: str) -> None:
    hosts = tuple(f'host-{number}' for number in range(30))
    first = min(hosts, key=lambda host_id: host_rank(job, host_id, hosts))
    seen = tuple(
        host_id
        for number, host_id in enumerate(hosts)
        if number not in missing or host_id == first
    )
    selector = JobSelector(first)
    others = [OpenJob(f'other-{number}', _ENTRY, 1) for number in range(99)]
    selected = selector.select_jobs(
        [*others, OpenJob(job, _ENTRY, 1)],
        {_ENTRY: seen},
    )
    first_ranked = [
        other for other in others if _is_first(other.job_id, first, seen)
    ]
    assert job in selected or len(first_ranked) >= len(selected), selected


def _is_first(job: str, host_id: str, hosts: tuple[str, ...]) -> bool:
    return host_rank(job, host_id, hosts) == 0
