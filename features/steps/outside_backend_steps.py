"""Steps of outside_backend.feature: completions and faults."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from features import builders_outside as builders
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.ports import BackendServerError
from guavadyke.standins.continuous_batching import ContinuousBatchSpec
from guavadyke.standins.engine import EngineSpec, EngineStandin
from guavadyke.standins.faults import BackendFaults

STEP_S = 0.004
LONGEST_S = 10
PLAIN_PROMPT = 'free shepherds:'


def start_engine(context: Context, spec: EngineSpec) -> EngineStandin:
    standin = EngineStandin(ip=builders.LOOPBACK, spec=spec)
    standin.start()
    context.add_cleanup(standin.close)
    context.servers = HttpBackendServers()
    context.engine = standin
    return standin


def ask(context: Context, body: bytes, **fields: object) -> None:
    """Ask the engine and keep its answer, or the error, in the context."""
    call = builders.backend_call(context.engine.address, body, **fields)
    context.error = None
    context.body = b''
    try:
        answer = context.servers.send(call)
        context.status = answer.status
        context.body = b''.join(answer.chunks())
    except BackendServerError as error:
        context.error = error


@given('an engine stand-in')
def step_engine(context: Context) -> None:
    start_engine(context, EngineSpec(batch=ContinuousBatchSpec(step_s=STEP_S)))


@given('an engine stand-in with {slots:d} slots')
def step_engine_slots(context: Context, slots: int) -> None:
    start_engine(
        context,
        EngineSpec(batch=ContinuousBatchSpec(slots=slots, step_s=STEP_S)),
    )


@when(
    'a streamed completion of {tokens:d} tokens is asked'
    ' by each of {hosts:d} hosts',
)
def step_hosts(context: Context, tokens: int, hosts: int) -> None:
    context.tokens = tokens
    body = builders.chat_body(stream=True, max_tokens=tokens)
    context.asked = [_Asked(context, body) for _ in range(hosts)]
    for number, asked in enumerate(context.asked):
        asked.start(f'entry-{number}')
    wait_until(lambda: context.engine.batch.running == hosts)


class _Asked:
    """A call in a thread of its own, with its own error and body."""

    def __init__(self, context: Context, body: bytes) -> None:
        self.engine = context.engine
        self.servers = context.servers
        self.error: BackendServerError | None = None
        self.body = b''
        self._sent = body
        self._thread = threading.Thread()

    def start(self, host_id: str) -> None:
        headers = {'Guavadyke-Host': host_id}
        self._thread = threading.Thread(
            target=ask,
            args=(self, self._sent),
            kwargs={'headers': headers},
        )
        self._thread.start()

    def join(self) -> None:
        self._thread.join(LONGEST_S)
        assert not self._thread.is_alive()


def wait_until(holds: Callable[[], bool]) -> None:
    until = time.monotonic() + LONGEST_S
    while not holds():
        assert time.monotonic() < until, 'it did not come to hold'
        time.sleep(0.005)


@when('the engine cuts the first host off by {cut} meanwhile')
def step_cut(context: Context, cut: str) -> None:
    context.engine.faults = BackendFaults(cut_hosts=('entry-0',), cut=cut)


@then("the first host's call fails as {end}, the other's is whole")
def step_first_cut(context: Context, end: str) -> None:
    for asked in context.asked:
        asked.join()
    first, other = context.asked
    assert first.error is not None, first.body
    assert first.error.fault.value == end, first.error.message
    assert other.error is None, other.error
    text = builders.streamed_text(other.body)
    assert text == builders.whole_text(context.tokens), text


@then('the text before the end mark is whole, and comes again after it')
def step_doubled(context: Context) -> None:
    assert context.error is None, context.error
    before, _mark, after = context.body.partition(b'data: [DONE]\n\n')
    whole = builders.whole_text(4)
    assert builders.streamed_text(before) == whole
    assert builders.streamed_text(after) == whole


@then('it took at least {seconds:g} seconds')
def step_late(context: Context, seconds: float) -> None:
    record = context.engine.history.records()[-1]
    assert record['ended'] - record['started'] >= seconds, record


@given("the engine's faults are {document}")
def step_faults(context: Context, document: str) -> None:
    context.engine.faults = BackendFaults.model_validate_json(document)


@given('the engine is closed')
def step_closed(context: Context) -> None:
    context.engine.close()


@when('a {shape} completion of {tokens:d} tokens is asked of the engine')
def step_ask(context: Context, shape: str, tokens: int) -> None:
    context.streamed = shape == 'streamed'
    body = builders.chat_body(stream=context.streamed, max_tokens=tokens)
    ask(context, body)


@then("the engine's answer is whole with {tokens:d} tokens")
def step_whole(context: Context, tokens: int) -> None:
    assert context.error is None, context.error
    expected = builders.whole_text(tokens)
    text = answered_text(context)
    assert text == expected, text
    assert expected.count('·') == tokens
    if context.streamed:
        assert context.body.endswith(b'data: [DONE]\n\n')


def answered_text(context: Context) -> str:
    if context.streamed:
        return builders.streamed_text(context.body)
    choice = json.loads(context.body)['choices'][0]
    return choice['message']['content']


@when('a {shape} {path} is resumed after {sent:d} of {total:d} tokens')
def step_resume(
    context: Context,
    shape: str,
    path: str,
    sent: int,
    total: int,
) -> None:
    context.streamed = shape == 'streamed'
    context.sent = sent
    limits = {'stream': context.streamed, 'max_tokens': total - sent}
    if path == 'chat':
        body = builders.resumed_chat_body(sent, **limits)
        context.expected = builders.whole_text(total)
        ask(context, body)
    else:
        body = builders.resumed_text_body(PLAIN_PROMPT, sent, **limits)
        context.expected = builders.plain_text(PLAIN_PROMPT, total)
        ask(context, body, path=builders.COMPLETION_PATH)


@then('the resumed answer has just the {count:d} tokens that were missing')
def step_resumed(context: Context, count: int) -> None:
    assert context.error is None, context.error
    text = builders.any_text(context.body, streamed=context.streamed)
    tokens = context.expected.split('·')[context.sent : -1]
    assert text == ''.join(f'{one}·' for one in tokens), text
    assert len(tokens) == count


@then('the call fails as {end} and {proof} that it did not run')
def step_fails(context: Context, end: str, proof: str) -> None:
    assert context.error is not None, context.body
    assert context.error.fault.value == end, context.error.message
    assert context.error.not_run is (proof == 'has the proof')


@then("the engine's answer has {tokens:d} tokens and no end mark")
def step_no_end_mark(context: Context, tokens: int) -> None:
    assert context.error is None, context.error
    text = builders.streamed_text(context.body)
    assert text == builders.whole_text(tokens), text
    assert b'[DONE]' not in context.body


@then("events {first:d} to {last:d} of the answer carry another request's id")
def step_crossed_events(context: Context, first: int, last: int) -> None:
    events = builders.stream_events(context.body)
    crossed = [
        number
        for number, event in enumerate(events)
        if not event['id'].endswith('-req-1')
    ]
    expected = list(range(first, len(events)))
    assert crossed == expected, crossed
    assert last < len(events)


@when('{count:d} whole completions are asked of the engine in turn')
def step_in_turn(context: Context, count: int) -> None:
    context.streamed = False
    context.outcomes = []
    for number in range(count):
        ask(
            context,
            builders.chat_body(
                messages=builders.question(number),
                max_tokens=3,
            ),
            request_id=f'req-{number}',
        )
        context.outcomes.append((context.error, context.status, context.body))


@then('each of them is its own answer or a fault')
def step_own_answers(context: Context) -> None:
    own = 0
    for number, (error, _status, body) in enumerate(context.outcomes):
        if error is not None:
            continue
        own += 1
        expected = builders.question_text(number, 3)
        assert builders.any_text(body, streamed=False) == expected
        assert json.loads(body)['id'].endswith(f'-req-{number}')
    assert own > 0


@then('their statuses are {statuses}')
def step_statuses(context: Context, statuses: str) -> None:
    found = ', '.join(str(status) for _error, status, _ in context.outcomes)
    assert found == statuses, found


@when('a completion marked "{marker}" is asked of the engine {count:d} times')
def step_marked(context: Context, marker: str, count: int) -> None:
    context.ends = []
    for _ in range(count):
        ask(context, builders.chat_body(metadata={'standin': marker}))
        context.ends.append(
            context.error.fault.value if context.error else context.status,
        )


@then('each time it ends as {end}')
def step_ends(context: Context, end: str) -> None:
    assert {str(one) for one in context.ends} == {end}, context.ends
