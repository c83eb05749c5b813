"""Steps of forward_request_headers.feature."""

from __future__ import annotations

import types

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_forward_processes as processes
from features import builders_request_headers as requests
from features import builders_users_platform as users
from guavadyke.controllers.item_run import RunEnd
from guavadyke.errors import ErrorCode, GuavadykeError

_RUNS = 2
_ODD_LINES = types.MappingProxyType({
    'a control character in its path': b'GET %b1\x01 HTTP/1.1',
    'a path outside ASCII': b'GET %b\xe4 HTTP/1.1',
    'a method that is no token': b'G(T %b1 HTTP/1.1',
})


@given('a server that reads bodies as its headers say')
def step_server(context: Context) -> None:
    context.server = requests.FramingServer('s1')
    context.add_cleanup(context.server.close)


@when('an item with {headers} and a request in its body runs there twice')
def step_smuggling_item(context: Context, headers: str) -> None:
    _run_twice(context, headers, requests.SMUGGLING_BODY)


@when('an item with {headers} and no body runs there twice')
def step_empty_item(context: Context, headers: str) -> None:
    _run_twice(context, headers, b'')


@then('the server has got the item twice and nothing else')
def step_got_item(context: Context) -> None:
    ends = {outcome.end for outcome in context.outcomes}
    assert ends == {RunEnd.completed}, context.outcomes
    got = context.server.got
    assert len(got) == _RUNS, got
    assert {request.body for request in got} == {context.body}
    for request in got:
        sent = {key: text for key, text in request.headers.items() if text}
        assert sent.keys() == requests.SENT_KEYS, sent
        assert all(len(texts) == 1 for texts in sent.values()), sent
        assert sent['request-id'] == [requests.ITEM_ID]
        assert sent['host'] == [build.job().host]
        assert sent['expect-instance'] == ['s1']
        assert sent['accept-encoding'] == ['identity']
        assert sent['content-length'] == [str(len(context.body))]


@when("a call of the product's own interface has the headers of a connection")
def step_own_call(context: Context) -> None:
    requests.call_with_headers(
        context.server, requests.CONNECTION_HEADERS, b'body'
    )


@then('the server has got one request with the length of its body alone')
def step_got_call(context: Context) -> None:
    assert len(context.server.got) == 1
    request = context.server.got[0]
    assert request.body == b'body'
    assert request.headers['content-length'] == ['4']
    others = {name.lower() for name in requests.CONNECTION_HEADERS}
    found = {key for key, texts in request.headers.items() if texts}
    assert found & others == {'content-length'}, found


@when('a job is submitted whose items have headers of all kinds')
def step_submit_all_kinds(context: Context) -> None:
    headers = {
        **requests.CONNECTION_HEADERS,
        'model': 'm',
        'Token-Counts ': '540,400',
        'X-Note': '1',
        'X-Hop': '1',
        'HOST': 'other.example',
        'request-id': requests.SMUGGLED_ID,
        'Accept_Encoding': 'gzip',
        'Deadline-Ms': '1',
        'expect-instance': 's2',
        'Last-Event-Id': '3',
    }
    context.items = requests.submitted_items(Headers=headers)


@then('its items keep Model, Token-Counts and X-Note and no other header')
def step_kept(context: Context) -> None:
    assert len(context.items) == 1
    item = context.items[0]
    assert item.headers == {
        'model': 'm',
        'Token-Counts': '540,400',
        'X-Note': '1',
    }
    assert item.size.prompt_tokens == 540


@when('a job is submitted whose item has {what}')
def step_submit_odd(context: Context, what: str) -> None:
    context.error = None
    try:
        requests.submitted_items(**requests.odd_item(what))
    except GuavadykeError as error:
        context.error = error


@then('it is refused with a finding at {place}')
def step_refused(context: Context, place: str) -> None:
    assert context.error is not None
    assert context.error.code is ErrorCode.bad_request
    found = context.error.findings[0].place
    assert found == place, context.error.findings


@then('it is accepted')
def step_accepted(context: Context) -> None:
    assert context.error is None, context.error.findings


@given('a caller port before a server')
def step_caller_port(context: Context) -> None:
    context.fleet = processes.UsersFleet()
    context.add_cleanup(context.fleet.close)
    context.fleet.start(1, 1)


@when('a caller sends a request with {what}')
def step_odd_line(context: Context, what: str) -> None:
    daemon = context.fleet.daemons[0]
    context.status = requests.exchange_raw(
        (daemon.ip, daemon.front),
        (
            _ODD_LINES[what] % users.STREAM_PREFIX.encode(),
            b'Host: %b' % users.HOST.encode(),
            b'Request-Id: r-1',
            b'Connection: close',
        ),
    )


@then('it is answered 400 and the server has got nothing')
def step_answered_400(context: Context) -> None:
    assert context.status == 400, context.status
    assert not context.fleet.engines[0].requests


@when('a caller names X-Hop and Model in Connection')
def step_names_headers(context: Context) -> None:
    answer = context.fleet.daemons[0].call(
        'POST',
        f'{users.STREAM_PREFIX}1',
        body=b'text',
        headers={
            'Request-Id': 'r-1',
            'Model': 'm',
            'X-Hop': '1',
            'X-Note': '2',
            'Connection': 'close, x-hop, Model',
        },
    )
    assert answer.status == 200, answer.data


@then('the server gets Model and X-Note and no X-Hop')
def step_got_named(context: Context) -> None:
    got = context.fleet.engines[0].requests
    assert len(got) == 1
    names = {'model', 'x-note', 'x-hop', 'connection'}
    found = {
        name: text for name, text in got[0].headers.items() if name in names
    }
    assert found == {'model': 'm', 'x-note': '2'}, found


def _run_twice(context: Context, headers: str, body: bytes) -> None:
    servers = requests.platform_servers()
    context.body = body
    context.outcomes = [
        requests.run_stored_item(
            context.server, servers, requests.parse_headers(headers), body
        )
        for _ in range(_RUNS)
    ]
