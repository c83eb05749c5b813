"""Steps of result_pages.feature."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features.builders_result_pages import OWNER, TAKER, OwnerAndReader, result
from guavadyke.errors import (
    ObjectConflictError,
    PlatformOutcomeUnknownError,
)
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
    _take_over_and_list(context)
    context.hosts.owner.catch_up()


@when('another host takes the job over unnoticed and lists 1 more result')
def step_taken_over_unnoticed(context: Context) -> None:
    _take_over_and_list(context)


def _take_over_and_list(context: Context) -> None:
    third = build.job_host(context.hosts.platform, TAKER)
    third.store.claim('job-1', TAKER, OWNER)
    third.store.pages('job-1')
    third.store.append('job-1', (result(2),))


@when('the third host reads {count:d} result for a caller')
def step_third_reads(context: Context, count: int) -> None:
    context.hosts.taker.catch_up()
    answer = context.hosts.taker.job_api.results('job-1', 0)
    assert len(answer.listings) == count, answer


@when('the owner reads {count:d} results for a caller')
def step_owner_reads(context: Context, count: int) -> None:
    answer = context.hosts.owner.job_api.results('job-1', 0)
    assert len(answer.listings) == count, answer


@when('the third host takes the job over')
def step_third_takes(context: Context) -> None:
    context.hosts.take_over()


@when('the third host takes the job over and loads its results')
def step_third_loads(context: Context) -> None:
    context.hosts.take_over()
    context.hosts.taker.store.load('job-1')


@when('the owner answers as if it had listed nothing')
def step_answers_less(context: Context) -> None:
    context.hosts.owner.store._pages['job-1'] = []


@when('the owner lists a result that another host follows before the answer')
def step_followed(context: Context) -> None:
    context.hosts.list_result(0)
    context.hosts.list_followed_result(1)


@then('the owner cannot list another result')
def step_cannot_list(context: Context) -> None:
    try:
        context.hosts.owner.store.append('job-1', (result(1),), OWNER)
    except ObjectConflictError:
        return
    raise AssertionError('the result is listed')


@then('a host that has read nothing yet gets {count:d} results')
def step_new_reader(context: Context, count: int) -> None:
    answer = context.hosts.new_reader().job_api.results('job-1', 0)
    assert len(answer.listings) == count, answer


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
