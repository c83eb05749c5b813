"""Steps of forward_jobs.feature."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform
from features.machines.forward_jobs import ForwardJobsMachine
from guavadyke.decisions.forward_job_records import ForwardItemResult
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.forward_job_documents import JOB_KIND, PAGE_KIND

_EXAMPLES = 60
_STEPS = 40
_ITEMS = 3


@given('two hosts on one platform')
def step_hosts(context: Context) -> None:
    context.platform = MemoryPlatform()
    context.first = build.job_host(context.platform, 'host-1')
    context.second = build.job_host(context.platform, 'host-2')
    context.error = None


@when('a job is submitted at both hosts and again at the first')
def step_submit_often(context: Context) -> None:
    for host in (context.first, context.second, context.first):
        _submit(host)


@when('a job is submitted at the first host')
def step_submit(context: Context) -> None:
    try:
        _submit(context.first)
    except GuavadykeError as error:
        context.error = error


@when('it is submitted again at the second host, whose quota it exceeds')
def step_submit_over_quota(context: Context) -> None:
    _submit(context.second, waiting_tokens=1)


@then('another job that exceeds the quota is limit_exceeded')
def step_over_quota(context: Context) -> None:
    code = _code_of(lambda: _submit(context.second, 'job-2', waiting_tokens=1))
    assert code is ErrorCode.limit_exceeded


@when('the first host is cut off from the platform')
def step_lose(context: Context) -> None:
    context.first.link.faults.cut = True


@when(
    'the first host is cut off from the platform once its next job is written'
)
def step_cut_after_write(context: Context) -> None:
    context.first.link.faults.lose_answer_every = 1
    context.first.link.faults.cut_after_write_of = JOB_KIND


@when('it is cancelled at both hosts')
def step_cancel(context: Context) -> None:
    context.first.job_api.cancel('job-1')
    context.second.job_api.cancel('job-1')


@when('results of items {first:d} and {second:d} are listed at the first host')
def step_list(context: Context, first: int, second: int) -> None:
    context.first.store.append('job-1', (_listing(first), _listing(second)))


@when('the first host lists item 1 with a delayed write')
def step_late(context: Context) -> None:
    faults = context.first.link.faults
    faults.delay_write_every = 1
    code = _code_of(
        lambda: context.first.store.append('job-1', (_listing(1),)),
    )
    assert code is ErrorCode.outcome_unknown
    faults.delay_write_every = 0
    assert context.platform.late


@when('results of items 0 and 1 are listed at the second host')
def step_list_second(context: Context) -> None:
    context.second.store.append('job-1', (_listing(0), _listing(1)))


@when('the delayed write takes effect')
def step_apply_late_writes(context: Context) -> None:
    context.platform.apply_late_writes()


@then('each host reads the same results, item 1 once')
def step_same_results(context: Context) -> None:
    first = context.first.job_api.results('job-1', 0).listings
    assert first == context.second.job_api.results('job-1', 0).listings
    assert sorted(one.item_id for one in first) == ['item-0', 'item-1']


@when('both hosts list results of all items in different orders')
def step_list_both(context: Context) -> None:
    in_order = tuple(map(_listing, range(_ITEMS)))
    context.first.store.append('job-1', (_listing(0),))
    context.second.store.append('job-1', tuple(reversed(in_order)))
    context.first.store.append('job-1', in_order)


@when('results of 30,000 bytes of all items are listed one by one')
def step_list_large(context: Context) -> None:
    for number in range(_ITEMS):
        context.first.store.append('job-1', (_listing(number, 'x' * 30_000),))


@then('every submission is accepted and the platform holds one job')
@then('the platform holds one job')
def step_one_job(context: Context) -> None:
    assert len(context.platform.of_kind(JOB_KIND)) == 1


@then('the platform holds no job')
def step_no_job(context: Context) -> None:
    assert not context.platform.of_kind(JOB_KIND)


@then('the platform holds {count:d} pages')
def step_pages(context: Context, count: int) -> None:
    assert len(context.platform.of_kind(PAGE_KIND)) == count


@then('the second host reads it with {total:d} items and no result')
def step_read_empty(context: Context, total: int) -> None:
    answer = context.second.job_api.results('job-1', 0)
    assert answer.total == total
    assert not answer.listings


@then('the second host returns the body of each item')
def step_bodies(context: Context) -> None:
    for number in range(_ITEMS):
        body = context.second.job_api.body('job-1', f'item-{number}')
        assert body == f'body {number}'.encode()


@then('an unknown job is {code}')
def step_unknown(context: Context, code: str) -> None:
    calls = (
        lambda: context.first.job_api.results('other', 0),
        lambda: context.first.job_api.body('other', 'item-1'),
        lambda: context.first.job_api.cancel('other'),
    )
    assert {_code_of(call) for call in calls} == {ErrorCode(code)}


@then('the submission ends with {code}')
def step_submission_ends(context: Context, code: str) -> None:
    assert context.error is not None
    assert context.error.code is ErrorCode(code), context.error.code


@then('both hosts see it cancelled')
def step_cancelled(context: Context) -> None:
    for host in (context.first, context.second):
        host.catch_up()
        assert not host.registry.view('job-1').open


@then('the {which} host reads items {one:d} and {two:d} from position 0')
def step_reads_two(context: Context, which: str, one: int, two: int) -> None:
    answer = getattr(context, which).job_api.results('job-1', 0)
    assert answer.listings == (_listing(one), _listing(two))


@then('the second host reads item {number:d} from position 1')
def step_reads_one(context: Context, number: int) -> None:
    answer = context.second.job_api.results('job-1', 1)
    assert answer.listings == (_listing(number),)


@then('reading position 2 at the first host is platform_unavailable')
def step_read_unavailable(context: Context) -> None:
    code = _code_of(lambda: context.first.job_api.results('job-1', 2))
    assert code is ErrorCode.platform_unavailable


@then('each host reads each item once, in the same order')
def step_same_order(context: Context) -> None:
    first = context.first.job_api.results('job-1', 0).listings
    second = context.second.job_api.results('job-1', 0).listings
    assert first == second
    assert len(first) == _ITEMS
    assert len({one.item_id for one in first}) == _ITEMS


@then('the state machine of forwarded jobs finds no violation')
def step_machine(_context: Context) -> None:
    run_state_machine_as_test(
        ForwardJobsMachine,
        settings=settings(
            max_examples=_EXAMPLES,
            stateful_step_count=_STEPS,
            deadline=None,
            derandomize=True,
        ),
    )


def _submit(
    host: build.JobHost, job_id: str = 'job-1', waiting_tokens: int = 0
) -> None:
    route = build.route(waiting_tokens=waiting_tokens)
    host.job_api.submit(job_id, route, route.host, build.job().items)


def _listing(number: int, text: str = 'done') -> ForwardItemResult:
    return ForwardItemResult(f'item-{number}', completed=True, text=text)


def _code_of(call: object) -> ErrorCode | None:
    try:
        call()
    except GuavadykeError as error:
        return error.code
    return None
