"""Steps of result_pages.feature."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features.builders_result_pages import OwnerAndReader
from guavadyke.decisions.forward_job_records import ForwardItemResult
from guavadyke.errors import PlatformOutcomeUnknownError
from guavadyke.forward_job_documents import PAGE_KIND

_READS = f'read {PAGE_KIND}'


@given('a host that reads the results of a job of another host')
def step_hosts(context: Context) -> None:
    context.hosts = OwnerAndReader()


@when('the owner lists {count:d} results')
@when('the owner lists {count:d} result')
def step_lists(context: Context, count: int) -> None:
    for number in range(count):
        context.hosts.list_result(number)


@when('the owner does not answer')
def step_silent(context: Context) -> None:
    context.hosts.reads.silent = True


@when('the reader waits for {seconds:g} seconds')
def step_pass(context: Context, seconds: float) -> None:
    context.hosts.reader.clock.sleep(seconds)


@when('the owner lists a result whose write takes effect late')
def step_late(context: Context) -> None:
    faults = context.hosts.owner.link.faults
    faults.delay_write_every = 1
    try:
        context.hosts.list_result(0)
    except PlatformOutcomeUnknownError:
        faults.delay_write_every = 0
        return
    raise AssertionError('the write has an answer')


@when('the late write takes effect')
def step_takes_effect(context: Context) -> None:
    context.hosts.platform.apply_late_writes()


@when('the owner does not know the state of the platform')
def step_unsure(context: Context) -> None:
    context.hosts.owner.sure = False


@when('another host takes the job over and lists 1 more result')
def step_taken_over(context: Context) -> None:
    third = build.job_host(context.hosts.platform, 'host-3')
    third.store.claim('job-1', 'host-3', 'host-1')
    third.store.pages('job-1')
    third.store.append(
        'job-1', (ForwardItemResult('item-2', completed=True, text='y'),)
    )
    context.hosts.owner.catch_up()


@then('{reads:d} reads get {count:d} results with {calls:d} platform calls')
def step_read(context: Context, reads: int, count: int, calls: int) -> None:
    before = context.hosts.platform.calls[_READS]
    found = [context.hosts.read() for _number in range(reads)]
    assert set(found) == {count}, found
    made = context.hosts.platform.calls[_READS] - before
    assert made == calls, made


@then('the owner was asked {count:d} time')
@then('the owner was asked {count:d} times')
def step_asked(context: Context, count: int) -> None:
    assert context.hosts.reads.asked == count, context.hosts.reads.asked
