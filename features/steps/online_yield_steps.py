"""Steps of online_yield.feature."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from features import builders_online_bench as bench
from guavadyke.adapters.ports import ItemCall, ItemEnd, ItemResult
from guavadyke.decisions.answer_stream import choice_text, event_documents
from guavadyke.standins.completion_format import answer_text, chat_prompt
from guavadyke.standins.continuous_batching import ContinuousBatchSpec

_ITEM_TOKENS = 60
_CHAT_TOKENS = 8
_MAX_ATTEMPTS = 4000
_TIMEOUT_S = 60
_BUSY_SLOTS = 6
_RETRY_INTERVAL_S = 0.02


def _prompt(number: int) -> list[dict[str, object]]:
    return [{'role': 'user', 'content': f'note {number}'}]


def _item(number: int, attempt: int, partial: str) -> ItemCall:
    body = {'messages': _prompt(number), 'max_tokens': _ITEM_TOKENS}
    return ItemCall(
        request_id=f'item-{number}-{attempt}',
        job_id='job-1',
        entry_name='desk',
        owner='pesebres',
        body=json.dumps(body).encode(),
        idempotent=True,
        due=time.time() + _TIMEOUT_S,
        timeout_s=_TIMEOUT_S,
        partial=partial,
    )


def _run_item(context: Context, number: int) -> ItemResult:
    """Run an item until it ends, on the host with the most capacity."""
    partial = ''
    for attempt in range(_MAX_ATTEMPTS):
        runners = [host.service.runner for host in context.bench.hosts]
        runner = max(runners, key=lambda one: one.capacity('desk'))
        call = _item(number, attempt, partial)
        result = runner.run(call, threading.Event())
        if result.end is ItemEnd.preempted:
            context.preempted += 1
            partial = result.partial
        elif result.end is ItemEnd.not_run:
            time.sleep(_RETRY_INTERVAL_S)
        else:
            return result
    raise AssertionError(f'item {number} never ended')


def _chat(context: Context, host: bench.OnlineHost, number: int) -> bench.Reply:
    request = {
        'model': 'desk',
        'messages': _prompt(number),
        'max_tokens': _CHAT_TOKENS,
        'stream': True,
    }
    return bench.call(host, bench.CHAT, request)


def _wait_for(condition: object) -> None:
    until = time.monotonic() + _TIMEOUT_S
    while not condition():
        assert time.monotonic() < until, 'the condition was not met in time'
        time.sleep(0.01)


@given('{hosts:d} entry hosts before 1 engine of {slots:d} slots')
def step_hosts(context: Context, hosts: int, slots: int) -> None:
    spec = ContinuousBatchSpec(slots=slots, step_s=0.005, step_growth_s=0.0001)
    context.bench = bench.OnlineBench(engines=1, hosts=hosts, batch=spec)
    context.add_cleanup(context.bench.close)
    context.pool = ThreadPoolExecutor(80)
    context.add_cleanup(context.pool.shutdown)
    context.preempted = 0


@given('hosts that lose every notice')
def step_lose(context: Context) -> None:
    context.bench.lose_notices()


@given('{count:d} batch items that run on idle slots')
def step_items(context: Context, count: int) -> None:
    context.items = [
        context.pool.submit(_run_item, context, number)
        for number in range(count)
    ]
    _wait_for(lambda: context.bench.engines[0].batch.running >= _BUSY_SLOTS)


@when('{count:d} chats are sent at once to each host')
def step_burst(context: Context, count: int) -> None:
    context.chats = [
        context.pool.submit(_chat, context, host, number)
        for number in range(count)
        for host in context.bench.hosts
    ]


@then('every chat is answered completely')
def step_whole(context: Context) -> None:
    for number, chat in enumerate(context.chats):
        body = chat.result().body
        assert body.endswith(b'data: [DONE]\n\n'), body
        events = event_documents(body)
        text = ''.join(choice_text(event['choices'][0]) for event in events)
        prompt = _prompt(number // len(context.bench.hosts))
        assert text == answer_text(chat_prompt(prompt), _CHAT_TOKENS), text


@then('no chat waited behind more than {count:d} batch items')
def step_behind(context: Context, count: int) -> None:
    """Count items that started between the first and the last chat."""
    records = context.bench.engines[0].history.records()
    chats = [one for one in records if _is_chat(one)]
    items = [one for one in records if not _is_chat(one)]
    first = min(one['started'] for one in chats)
    last = max(one['started'] for one in chats)
    begun = [one for one in items if first < one['started'] < last]
    assert len(begun) <= count, len(begun)


@then('every batch item completes with its full text')
def step_items_whole(context: Context) -> None:
    for number, item in enumerate(context.items):
        result = item.result()
        assert result.end is ItemEnd.completed, result
        text = result.response['choices'][0]['message']['content']
        prompt = chat_prompt(_prompt(number))
        assert text == answer_text(prompt, _ITEM_TOKENS), (number, text)


@then('some batch items were preempted')
def step_preempted(context: Context) -> None:
    assert context.preempted > 0


def _is_chat(record: dict[str, object]) -> bool:
    return str(record['request_id']).startswith('req-')
