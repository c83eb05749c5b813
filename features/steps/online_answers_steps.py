"""Steps of online_answers.feature."""

import json
import types

from behave import given, then, when
from behave.runner import Context

from features import builders_online as online
from guavadyke.decisions.answer_stream import choice_text, event_documents

_CHAT = '/v1/chat/completions'
_DONE = b'data: [DONE]\n\n'
_FAULTS = types.MappingProxyType({
    'whole': online.whole_stream,
    'broken': online.broken_stream,
    'short': online.short_stream,
    'crossed': online.crossed_stream,
    'unfinished': online.unfinished_stream,
})


def _send_chat(context: Context, **headers: str) -> None:
    service = online.online_service(context.servers)
    routes = {route.pattern: route.handlers for route in service.routes()}
    request = online.chat(stream=context.streamed, max_tokens=12)
    exchange = online.exchange(_CHAT, request, **headers)
    context.body = online.body_of(routes[_CHAT]['POST'](exchange))


def _answer_text(context: Context) -> str:
    if not context.streamed:
        whole = json.loads(context.body)
        assert whole['choices'][0]['finish_reason'] == 'stop', whole
        return str(whole['choices'][0]['message']['content'])
    assert context.body.endswith(_DONE), context.body
    assert context.body.count(_DONE) == 1
    events = list(event_documents(context.body))
    assert len({event['id'] for event in events}) == 1, events
    return ''.join(choice_text(event['choices'][0]) for event in events)


@given('an engine whose first stream is {fault}')
def step_engine(context: Context, fault: str) -> None:
    context.servers = online.FakeServers(_FAULTS[fault])


@when('a caller asks for a {shape} chat')
def step_chat(context: Context, shape: str) -> None:
    context.streamed = shape == 'streamed'
    _send_chat(context)


@when('a caller asks for a streamed chat that is not idempotent')
def step_non_idempotent(context: Context) -> None:
    context.streamed = True
    _send_chat(context, guavadyke_idempotent='false')


@then('the caller receives every word once and the end mark')
def step_every_word(context: Context) -> None:
    assert _answer_text(context) == ''.join(online.WORDS), context.body


@then('the engines received {calls:d} calls')
def step_calls(context: Context, calls: int) -> None:
    assert len(context.servers.calls) == calls, context.servers.calls


@then('the stream ends in an error with run "{run}" and without an end mark')
def step_error(context: Context, run: str) -> None:
    assert _DONE not in context.body
    last = list(event_documents(context.body))[-1]
    assert last['error']['run'] == run, last
