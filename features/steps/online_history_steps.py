"""Steps of online_history.feature.

They compare the responses to callers with the engines' run histories.
"""

import collections
import dataclasses
import itertools
import json
import random
import time
import types
from concurrent.futures import ThreadPoolExecutor

import urllib3
from behave import given, then, when
from behave.runner import Context

from features import builders_online_bench as bench
from guavadyke.decisions.answer_stream import choice_text, event_documents
from guavadyke.standins.completion_format import answer_text, chat_prompt
from guavadyke.standins.continuous_batching import ContinuousBatchSpec
from guavadyke.standins.faults import BackendFaults

_CHATS = 100
_RESERVATIONS = 20
_TOKENS = 12
_LONG_TOKENS = 3000
_CALLERS = 12
_SEED = 11
_TIMEOUT_S = 20
_DONE = b'data: [DONE]\n\n'
_SPEC = ContinuousBatchSpec(slots=8, step_s=0.003, step_growth_s=0.0001)
_FAULTS = types.MappingProxyType({
    'healthy': BackendFaults(),
    'breaking': BackendFaults(broken_after=5, probability=0.5),
    'ending early': BackendFaults(ended_after=5, probability=0.5),
    'silent midway': BackendFaults(silent_after=5, probability=0.3),
    'mixing streams': BackendFaults(crossed_after=4, probability=0.5),
    'refusing': BackendFaults(refuse=True),
})


@dataclasses.dataclass(frozen=True)
class _Result:
    """The response to one request; ``key`` is empty for chats."""

    number: int
    key: str
    streamed: bool
    reply: bench.Reply


def _prompt(number: int) -> list[dict[str, object]]:
    return [{'role': 'user', 'content': f'is costume {number} free?'}]


def _chat(context: Context, number: int, host: int) -> None:
    streamed = bool(number % 2)
    request = {
        'model': 'desk',
        'messages': _prompt(number),
        'max_tokens': _TOKENS,
        'stream': streamed,
    }
    reply = bench.call(context.bench.hosts[host], bench.CHAT, request)
    context.results.append(_Result(number, '', streamed, reply))


def _reserve(context: Context, number: int, host: int) -> None:
    key = f'key-{number}'
    reply = bench.call(
        context.bench.hosts[host],
        f'{bench.BOOKING}/{number}',
        {'number': number},
        idempotency_key=key,
    )
    context.results.append(_Result(number, key, streamed=False, reply=reply))


def _text(result: _Result) -> str | None:
    """Return the text of a complete answer, None for an error."""
    if result.reply.status != 200:
        return None
    if not result.streamed:
        choice = result.reply.document['choices'][0]
        return str(choice['message']['content'])
    if not result.reply.body.endswith(_DONE):
        last = list(event_documents(result.reply.body))[-1]
        assert 'error' in last, 'the answer is neither complete nor an error'
        return None
    events = event_documents(result.reply.body)
    return ''.join(choice_text(event['choices'][0]) for event in events)


def _records(context: Context) -> list[dict[str, object]]:
    histories = [engine.history.records() for engine in context.bench.engines]
    return list(itertools.chain.from_iterable(histories))


@given('entry hosts before four engines and a booking service')
def step_bench(context: Context) -> None:
    context.bench = bench.OnlineBench(
        engines=4,
        batch=_SPEC,
        online={'gap_timeout_s': 0.4, 'first_byte_timeout_s': 2},
    )
    context.add_cleanup(context.bench.close)
    context.results = []


@given('one engine that is {fault}')
def step_fault(context: Context, fault: str) -> None:
    engine = context.bench.engines[0]
    if fault == 'stopped':
        engine.close()
    else:
        engine.faults = _FAULTS[fault]


@when('callers send chats and reservations concurrently and resend some')
def step_send(context: Context) -> None:
    rng = random.Random(_SEED)
    calls = [(_chat, number) for number in range(_CHATS)]
    calls.extend((_reserve, number) for number in range(_RESERVATIONS))
    calls.extend((_reserve, number) for number in range(_RESERVATIONS))
    rng.shuffle(calls)
    with ThreadPoolExecutor(_CALLERS) as pool:
        sent = [
            pool.submit(call, context, number, rng.randrange(2))
            for call, number in calls
        ]
    for one in sent:
        one.result()


@when('a caller disconnects while its long chat is streamed')
def step_disconnect(context: Context) -> None:
    request = {
        'model': 'desk',
        'messages': _prompt(0),
        'max_tokens': _LONG_TOKENS,
        'stream': True,
    }
    pool = urllib3.PoolManager(retries=False)
    response = pool.request(
        'POST',
        f'{context.bench.hosts[0].url}{bench.CHAT}',
        body=json.dumps(request).encode(),
        headers={'Authorization': f'Bearer {bench.CALLER_KEY}'},
        timeout=_TIMEOUT_S,
        preload_content=False,
    )
    assert response.read(64)
    response.close()
    pool.clear()


@then('every complete answer belongs to its own request')
def step_own_answer(context: Context) -> None:
    for result in context.results:
        if result.key:
            continue
        text = _text(result)
        expected = answer_text(chat_prompt(_prompt(result.number)), _TOKENS)
        assert text in {None, expected}, (result.number, text, expected)


@then('no chat that was reported as not run has run')
def step_not_run(context: Context) -> None:
    ran = {str(one['request_id']).split('.')[0] for one in _records(context)}
    for result in context.results:
        if result.reply.status == 200:
            continue
        error = result.reply.document['error']
        if error['run'] == 'not_run' and not result.key:
            assert error['request_id'] not in ran, error


@then('no key and no reservation ran twice')
def step_at_most_once(context: Context) -> None:
    runs = context.bench.service.runs
    assert len(runs) == _RESERVATIONS, runs
    assert set(runs.values()) == {1}, runs
    answers = collections.defaultdict(set)
    for result in context.results:
        if result.key and result.reply.status == 200:
            answers[result.key].add(result.reply.body)
    assert all(len(bodies) == 1 for bodies in answers.values()), answers


@then('the attempts are at most {ratio:f} times the chats')
def step_attempts(context: Context, ratio: float) -> None:
    attempts = len(_records(context))
    assert attempts <= ratio * _CHATS, attempts


@then('at least {least:d} in 100 chats were answered completely')
def step_complete(context: Context, least: int) -> None:
    chats = [result for result in context.results if not result.key]
    whole = sum(_text(result) is not None for result in chats)
    assert whole >= least, (whole, len(chats))


@then('the engines are idle before the chat could have ended')
def step_idle(context: Context) -> None:
    until = time.monotonic() + _SPEC.step_s * _LONG_TOKENS / 2
    engines = context.bench.engines
    while any(engine.batch.running for engine in engines):
        assert time.monotonic() < until, 'the slot was not freed'
        time.sleep(0.01)
