"""Steps of online_silence.feature."""

from __future__ import annotations

import dataclasses
import functools
import json
import threading
import time
import types
from collections.abc import Callable, Mapping
from concurrent import futures

from behave import given, then, when
from behave.runner import Context

from features import builders_online as online
from features import builders_online_pauses as pausing
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.ports import ItemCall, ItemEnd
from guavadyke.decisions.answer_stream import choice_text, event_documents
from guavadyke.errors import GuavadykeError
from guavadyke.filters.base import Answer
from guavadyke.online_service import OnlineService

_CHAT = '/v1/chat/completions'
_SERVICE = f'/v1/services/{pausing.SERVICE}/rooms'
_DONE = b'data: [DONE]\n\n'
_WORDS = ''.join(online.WORDS)
_SETTINGS = types.MappingProxyType({
    'gap_timeout_s': 0.4,
    'first_byte_timeout_s': 0.5,
})
_LEFT_S = 15
_RUN_ONCE = types.MappingProxyType({'guavadyke_idempotent': 'false'})
_NO_HEADERS: Mapping[str, str] = types.MappingProxyType({})
_TOOLS = ({'type': 'function', 'function': {'name': 'stock'}},)


@dataclasses.dataclass(frozen=True)
class _Outcome:
    """What a caller gets: an answer, or the code of an error."""

    text: str
    code: str
    elapsed_s: float
    ended_at: float


class _CutError(Exception):
    """A stream that ends in an error event; its text is the code."""


def _exchange(
    path: str, document: object, left_s: float, headers: Mapping[str, str]
) -> online.Exchange:
    left_ms = str(int(left_s * 1000))
    return online.exchange(
        path, document, **headers, guavadyke_deadline_ms=left_ms
    )


def _chat(
    service: OnlineService,
    left_s: float,
    *,
    headers: Mapping[str, str] = _NO_HEADERS,
    pause_s: float = 0,
    **changes: object,
) -> str:
    exchange = _exchange(_CHAT, online.chat(**changes), left_s, headers)
    body = _read(_handler(service, _CHAT)(exchange), pause_s)
    if 'stream' not in changes:
        return str(json.loads(body)['choices'][0]['message']['content'])
    documents = list(event_documents(body))
    error = documents[-1].get('error')
    if error is not None:
        raise _CutError(error['code'])
    assert body.endswith(_DONE), body
    return ''.join(choice_text(one['choices'][0]) for one in documents)


def _read(answer: Answer, pause_s: float) -> bytes:
    """Return the whole body, with a pause after its first piece."""
    if not pause_s:
        return online.body_of(answer)
    pieces = iter(answer.body)
    first = next(pieces)
    time.sleep(pause_s)
    return b''.join((first, *pieces))


def _service_call(service: OnlineService, left_s: float) -> str:
    exchange = _exchange(_SERVICE, {}, left_s, _NO_HEADERS)
    exchange.path_parts = {'entry': pausing.SERVICE, 'path': 'rooms'}
    answer = _handler(service, '/v1/services/')(exchange)
    body = online.body_of(answer)
    return _WORDS if body == pausing.SERVICE_BODY else repr(body)


def _item(
    service: OnlineService, left_s: float, *, idempotent: bool = True
) -> str:
    call = ItemCall(
        request_id=f'item-{time.monotonic_ns()}',
        job_id='job-1',
        entry_name=pausing.MODEL,
        owner='pesebres',
        body=json.dumps(online.chat()).encode(),
        idempotent=idempotent,
        due=time.time() + left_s,
        timeout_s=left_s,
    )
    result = service.runner.run(call, threading.Event())
    if result.end is not ItemEnd.completed:
        raise _CutError(f'{result.end} {result.reason}')
    assert isinstance(result.response, dict)
    return str(result.response['choices'][0]['message']['content'])


_Send = Callable[[OnlineService, float], str]
_STREAMED = functools.partial(_chat, stream=True)
_KINDS: Mapping[str, _Send] = types.MappingProxyType({
    'streamed chat': _STREAMED,
    'streamed chat that must run once': functools.partial(
        _STREAMED, headers=_RUN_ONCE
    ),
    'streamed chat of several choices': functools.partial(_STREAMED, n=2),
    'streamed chat of a slow caller': functools.partial(_STREAMED, pause_s=1.2),
    'whole chat': _chat,
    'whole chat that must run once': functools.partial(
        _chat, headers=_RUN_ONCE
    ),
    'whole chat with tools': functools.partial(_chat, tools=_TOOLS),
    'service call': _service_call,
    'batch item': _item,
    'batch item that must run once': functools.partial(_item, idempotent=False),
})


def _handler(
    service: OnlineService, prefix: str
) -> Callable[[online.Exchange], Answer]:
    route = next(
        one for one in service.routes() if one.pattern.startswith(prefix)
    )
    return next(iter(route.handlers.values()))


def _outcome(context: Context, kind: str, left_s: float) -> _Outcome:
    began = time.monotonic()
    text = ''
    code = ''
    try:
        text = _KINDS[kind](context.service, left_s)
    except GuavadykeError as error:
        code = str(error.code)
    except _CutError as error:
        code = str(error)
    now = time.monotonic()
    return _Outcome(text, code, now - began, now)


def _trickle(piece: int) -> pausing.Pause:
    return pausing.Pause(piece, _LEFT_S, trickled=1)


def _start(context: Context, engines: pausing.PausingEngines) -> None:
    context.engines = engines
    context.add_cleanup(engines.close)
    context.service = online.online_service(
        HttpBackendServers(),
        snapshot=engines.catalogue,
        online=dict(_SETTINGS),
    )
    context.service.start()
    context.add_cleanup(context.service.close)
    callers = futures.ThreadPoolExecutor()
    context.add_cleanup(callers.shutdown)
    context.callers = callers


@given('1 engine that pauses for {seconds:g} seconds after piece {piece:d}')
def step_engine(context: Context, seconds: float, piece: int) -> None:
    pauses = (pausing.Pause(piece, seconds),)
    _start(context, pausing.PausingEngines(1, pauses))


@given(
    '2 engines, of which the first one asked pauses for {seconds:g} seconds '
    'after piece {piece:d}'
)
def step_first(context: Context, seconds: float, piece: int) -> None:
    pauses = (pausing.Pause(piece, seconds),)
    _start(context, pausing.PausingEngines(2, pauses))


@given(
    '2 engines with one slot that pause for {seconds:g} seconds '
    'after piece {piece:d}'
)
def step_one_slot(context: Context, seconds: float, piece: int) -> None:
    pauses = (pausing.Pause(piece, seconds),) * 2
    _start(context, pausing.PausingEngines(2, pauses, slots=1))


@given(
    '1 engine that pauses for {seconds:g} seconds after piece {piece:d} '
    'of each answer'
)
def step_each_of_one(context: Context, seconds: float, piece: int) -> None:
    pauses = (pausing.Pause(piece, seconds),) * 9
    _start(context, pausing.PausingEngines(1, pauses))


@given(
    '2 engines that pause for {seconds:g} seconds after piece {piece:d} '
    'of each answer'
)
def step_each(context: Context, seconds: float, piece: int) -> None:
    pauses = (pausing.Pause(piece, seconds),) * 9
    _start(context, pausing.PausingEngines(2, pauses))


@given('1 engine that sends a byte now and then after piece {piece:d}')
def step_trickle_of_one(context: Context, piece: int) -> None:
    _start(context, pausing.PausingEngines(1, (_trickle(piece),)))


@given(
    '2 engines, of which the first one asked sends a byte now and then '
    'after piece {piece:d}'
)
def step_trickle(context: Context, piece: int) -> None:
    _start(context, pausing.PausingEngines(2, (_trickle(piece),)))


@given(
    '2 engines, of which the first one asked sends a large event slowly '
    'after piece {piece:d}'
)
def step_large(context: Context, piece: int) -> None:
    pause = pausing.Pause(piece, _LEFT_S, trickled=512, padding=20_480)
    _start(context, pausing.PausingEngines(2, (pause,)))


@when('the host gets a {kind}')
def step_send(context: Context, kind: str) -> None:
    context.outcomes = [_outcome(context, kind, _LEFT_S)]


@when('the host gets {count:d} times a {kind}')
def step_send_many(context: Context, count: int, kind: str) -> None:
    sent = [
        context.callers.submit(_outcome, context, kind, _LEFT_S)
        for _number in range(count)
    ]
    context.outcomes = [one.result() for one in sent]


@when('the host gets, {seconds:g} seconds before its deadline, a {kind}')
def step_send_late(context: Context, seconds: float, kind: str) -> None:
    context.outcomes = [_outcome(context, kind, seconds)]


@when('the host gets first a {first}, then a {second}')
def step_send_two(context: Context, first: str, second: str) -> None:
    sent = context.callers.submit(_outcome, context, first, _LEFT_S)
    time.sleep(1)
    later = _outcome(context, second, _LEFT_S)
    context.outcomes = [sent.result(), later]


@then('each answer is whole')
def step_whole(context: Context) -> None:
    assert {one.text for one in context.outcomes} == {_WORDS}, context.outcomes


@then('each answer is whole within {seconds:g} seconds')
def step_whole_within(context: Context, seconds: float) -> None:
    step_whole(context)
    longest_s = max(one.elapsed_s for one in context.outcomes)
    assert longest_s < seconds, longest_s


@then('the second answer ends before the first one')
def step_order(context: Context) -> None:
    step_whole(context)
    first, second = context.outcomes
    assert second.ended_at < first.ended_at, context.outcomes


@then('it fails after {least:g} to {most:g} seconds as silent')
def step_fails(context: Context, least: float, most: float) -> None:
    outcome = context.outcomes[0]
    assert outcome.code == 'backend_silent', outcome
    assert least <= outcome.elapsed_s < most, outcome


@then('the engines have got {count:d} request')
@then('the engines have got {count:d} requests')
def step_requests(context: Context, count: int) -> None:
    assert context.engines.requests == count, context.engines.requests


@then('no slot is in use')
def step_no_slot(context: Context) -> None:
    servers = context.service.status()['servers']
    assert isinstance(servers, dict)
    used = {
        name: (server['online'], server['batch'])
        for name, server in servers.items()
    }
    assert set(used.values()) == {(0, 0)}, used
