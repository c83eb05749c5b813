"""Steps of forward_item_starts.feature."""

from __future__ import annotations

import dataclasses
import time

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features.builders_forward_runner import RunnerBench
from features.builders_processes import wait_until
from guavadyke.controllers.item_run import ItemRun, PartialText
from guavadyke.controllers.item_starts import (
    ItemOrder,
    StartRefusal,
    start_items,
)
from guavadyke.decisions.forward_job_items import JobItemTracker
from guavadyke.decisions.forward_job_order import ItemRunTimes, JobOrder
from guavadyke.decisions.forward_job_records import ForwardItem, JobProgress
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.forward_job_documents import JOB_KIND
from guavadyke.settings import ForwardSettings

_WAIT_S = 5.0
_TICK_S = 0.05
_JOB_IDS = ('job-1', 'job-2')
_FIRST = (_JOB_IDS[0], 'item-0')


class _RaisingLimits:
    """Limits of servers whose check raises an unexpected error."""

    def admit(self, _server: ListedServer, *, batch: bool = False) -> bool:
        """Raise the error.

        Raises:
            LookupError: always.
        """
        raise LookupError(batch)


@given('2 jobs of {items:d} items each at one service')
def step_jobs(context: Context, items: int) -> None:
    context.works = [
        JobItemTracker(
            build.job(job_id, items=items, accepted_at=build.NOW + number)
        )
        for number, job_id in enumerate(_JOB_IDS)
    ]
    for work in context.works:
        work.drop_stored(())
    context.asked = []


@when('items start and item 0 of the first job is refused as {refusal}')
def step_first_refused(context: Context, refusal: str) -> None:
    _start(context, StartRefusal(refusal), refused=(_FIRST,))


@when('items start and every item is refused as {refusal}')
def step_all_refused(context: Context, refusal: str) -> None:
    everything = [
        (work.job.job_id, item.item_id)
        for work in context.works
        for item in work.job.items
    ]
    _start(context, StartRefusal(refusal), refused=tuple(everything))


@then('the {count:d} other items start')
def step_others_start(context: Context, count: int) -> None:
    started = [asked for asked in context.asked if asked != _FIRST]
    assert len(started) == count, context.asked


@then('{count:d} item has been asked for')
def step_asked(context: Context, count: int) -> None:
    assert len(context.asked) == count, context.asked


@then('the first job alone reports {refusal}')
def step_first_reports(context: Context, refusal: str) -> None:
    assert context.refusals == {_JOB_IDS[0]: StartRefusal(refusal)}


@then('both jobs report {refusal}')
def step_both_report(context: Context, refusal: str) -> None:
    assert context.refusals == dict.fromkeys(_JOB_IDS, StartRefusal(refusal))


@given('a host that works on jobs, with its log')
def step_logging_host(context: Context) -> None:
    context.bench = RunnerBench(logger=build.RecordingLogger())
    context.add_cleanup(context.bench.close)


@given('its link to the platform ends once the next job is stored')
def step_link_ends(context: Context) -> None:
    context.bench.host.link.faults.cut_after_write_of = JOB_KIND


@when('the link to the platform is back')
def step_link_back(context: Context) -> None:
    context.bench.host.link.faults.clear_faults()


@then('reading its results fails')
def step_not_read(context: Context) -> None:
    assert context.bench.host.link.faults.cut
    logged = context.bench.logger
    assert wait_until(lambda: logged.named('job_write_failed'), _WAIT_S)


@then('the host tells others of no item that waits for a slot')
def step_none_waits(context: Context) -> None:
    for _ in range(10):
        held = context.bench.in_flight().batch_counts
        assert not held, held
        time.sleep(_TICK_S)


@given('a run of an item whose check of limits raises an error')
def step_crashing_run(context: Context) -> None:
    one = build.server('s1')
    context.pool = build.pool((one,))
    job = build.job()
    tools = dataclasses.replace(
        build.item_run_tools(context.pool), limits=_RaisingLimits()
    )
    lease = context.pool.acquire_batch(build.SERVICE, frozenset())
    context.run = ItemRun(job, job.items[0], lease, PartialText(), tools)


@when('it is performed')
def step_performed(context: Context) -> None:
    context.error = None
    try:
        context.run.perform(build.FakeServers(), ForwardSettings())
    except LookupError as error:
        context.error = error


@then('it raises the error')
def step_raises(context: Context) -> None:
    assert context.error is not None


@then('its host has no item in flight and reports no failure of the server')
def step_no_item(context: Context) -> None:
    held = context.pool.load_notice().batch_counts
    assert not held, held
    assert not context.pool.urgent.wait(0).faults


@when('job-1 and job-2 are accepted with {items:d} items each')
def step_accept_both(context: Context, items: int) -> None:
    for job_id in _JOB_IDS:
        context.bench.accept(items, job_id=job_id)


@when('job-1 is cancelled')
def step_cancel(context: Context) -> None:
    context.bench.write_progress(JobProgress(cancelled=True))
    assert wait_until(lambda: _cancelled_runs(context) >= 3, _WAIT_S)


@then('{count:d} runs begin')
def step_runs_begin(context: Context, count: int) -> None:
    calls = context.bench.servers.calls
    assert wait_until(lambda: len(calls) == count, _WAIT_S), len(calls)


@then('job-1 and job-2 have {count:d} whole results each')
def step_whole(context: Context, count: int) -> None:
    def listed() -> list[int]:
        return [
            sum(one.completed for one in context.bench.listed(job_id))
            for job_id in _JOB_IDS
        ]

    assert wait_until(lambda: listed() == [count, count], _WAIT_S), listed()


@then('the runs of job-2 are not cancelled')
def step_go_on(context: Context) -> None:
    assert _cancelled_runs(context) == 3, _cancelled_runs(context)


def _cancelled_runs(context: Context) -> int:
    calls = context.bench.servers.calls
    return sum(call.cancellation.cancelled for call in calls)


def _start(
    context: Context,
    refusal: StartRefusal,
    refused: tuple[tuple[str, str], ...],
) -> None:
    def start(
        work: JobItemTracker, item: ForwardItem, _service: str
    ) -> StartRefusal | None:
        asked = (work.job.job_id, item.item_id)
        context.asked.append(asked)
        if asked in refused:
            return refusal
        work.started(item.item_id)
        return None

    context.refusals = start_items(
        context.works,
        ItemOrder(
            JobOrder(build.table(build.route()), build.NOW),
            ItemRunTimes(),
            lambda _work, _item: 0,
        ),
        build.NOW,
        start,
    )
