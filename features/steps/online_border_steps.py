"""Steps of online_border.feature."""

import json
import socket
import types

import urllib3
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from features import builders_online as online
from features import builders_online_bench as bench
from guavadyke.errors import ErrorCode, GuavadykeError, RunStatus

_OVERSIZE_BYTES = 1_200_000
_TIMEOUT_S = 10
_SETTINGS = settings(
    max_examples=250,
    derandomize=True,
    deadline=None,
    database=None,
)
_leaves = st.one_of(st.none(), st.booleans(), st.integers(), st.text())
_values = st.recursive(
    _leaves,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=6,
)
_message = st.fixed_dictionaries({
    'role': st.sampled_from(('user', 'system', 'nobody')),
    'content': st.text(max_size=12) | _values,
})
_documents = st.fixed_dictionaries(
    {},
    optional={
        'model': st.sampled_from(('desk', 'nightly', 'booking', 'x')) | _values,
        'messages': st.lists(_message, max_size=2) | _values,
        'stream': st.booleans() | _values,
        'max_tokens': st.integers(-2, 20) | _values,
    },
)
_bodies = st.binary(max_size=60) | _documents.map(
    lambda document: json.dumps(document).encode(),
)
_headers = st.fixed_dictionaries(
    {},
    optional={
        'guavadyke_idempotent': st.sampled_from(('true', 'false', 'maybe')),
        'guavadyke_deadline_ms': st.sampled_from(('900', '0', '-1', '²', 'x')),
    },
)
_REQUESTS = types.MappingProxyType({
    'no key': ('POST', bench.CHAT, {'Authorization': ''}),
    'a wrong key': ('POST', bench.CHAT, {'Authorization': 'Bearer no'}),
    'a wrong method': ('DELETE', bench.CHAT, {}),
    'an unknown model': ('POST', bench.CHAT, {}),
    'an unknown path': ('POST', '/v1/nothing', {}),
    'an oversize body': ('POST', bench.CHAT, {}),
})


def _right(body: bytes, headers: dict[str, str]) -> bool:
    """Say whether a request is right, simply and apart from the product."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return False
    if not isinstance(document, dict) or document.get('model') != 'desk':
        return False
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        return False
    stream = document.get('stream')
    flagged = stream is None or isinstance(stream, bool)
    heard = all(map(_right_message, messages))
    return heard and flagged and _right_rest(document, headers)


def _right_rest(document: dict[str, object], headers: dict[str, str]) -> bool:
    tokens = document.get('max_tokens')
    counted = tokens is None or (
        isinstance(tokens, int) and not isinstance(tokens, bool) and tokens >= 1
    )
    return (
        counted
        and headers.get('guavadyke_idempotent') != 'maybe'
        and headers.get('guavadyke_deadline_ms') in {None, '900'}
    )


def _right_message(message: object) -> bool:
    if not isinstance(message, dict):
        return False
    content = message.get('content')
    parts = isinstance(content, list) and all(
        isinstance(part, dict) for part in content
    )
    known = message.get('role') in {'user', 'system'}
    return known and (content is None or isinstance(content, str) or parts)


def _answered(
    servers: online.FakeServers,
    body: bytes,
    headers: dict[str, str],
) -> GuavadykeError | None:
    service = online.online_service(servers)
    routes = {route.pattern: route.handlers for route in service.routes()}
    exchange = online.exchange(bench.CHAT, body, **headers)
    try:
        online.body_of(routes[bench.CHAT]['POST'](exchange))
    except GuavadykeError as error:
        return error
    return None


@when('random requests come to the caller port')
def step_random(context: Context) -> None:
    context.wrong = []
    context.reached = 0

    @_SETTINGS
    @examples(body=_bodies, headers=_headers)
    def check(body: bytes, headers: dict[str, str]) -> None:
        servers = online.FakeServers()
        error = _answered(servers, body, headers)
        if _right(body, headers):
            assert error is None, (body, headers, error)
            return
        assert error is not None, (body, headers)
        context.wrong.append(error)
        context.reached += len(servers.calls)

    check()


@then('each wrong one was answered 4xx with findings and "{run}"')
def step_wrong(context: Context, run: str) -> None:
    assert context.wrong
    for error in context.wrong:
        assert 400 <= error.code.status < 500, error.code
        assert error.findings, error.code
        assert error.run is RunStatus(run), error.code


@then('nothing wrong reached a backend server')
def step_reached(context: Context) -> None:
    assert not context.reached


@when('a chat comes with a wrong body and two wrong headers')
def step_several(context: Context) -> None:
    context.error = _answered(
        online.FakeServers(),
        json.dumps({'model': 'desk', 'stream': 'yes'}).encode(),
        {'guavadyke_deadline_ms': 'soon', 'guavadyke_idempotent': 'maybe'},
    )


@then('the refusal names "{one}", "{two}", "{three}" and "{four}"')
def step_names(
    context: Context,
    one: str,
    two: str,
    three: str,
    four: str,
) -> None:
    assert context.error.code is ErrorCode.bad_request
    places = {finding.place for finding in context.error.findings}
    assert places == {one, two, three, four}, places


@given('an entry host before engines')
def step_host(context: Context) -> None:
    context.bench = bench.OnlineBench(engines=1, hosts=1)
    context.add_cleanup(context.bench.close)


@when('a caller sends half a header')
def step_half(context: Context) -> None:
    place = urllib3.util.parse_url(context.bench.hosts[0].url)
    with socket.create_connection((place.host, place.port)) as connection:
        connection.settimeout(_TIMEOUT_S)
        connection.sendall(b'POST /v1/chat HTTP/1.1\r\nHost\r\n\r\n')
        received = connection.makefile('rb').read()
    head, _blank, body = received.partition(b'\r\n\r\n')
    context.reply = bench.Reply(int(head.split()[1]), {}, body)


@when('a caller sends {what}')
def step_sends(context: Context, what: str) -> None:
    method, path, headers = _REQUESTS[what]
    document = online.chat(model='x')
    if what == 'an oversize body':
        document = online.chat(padding='x' * _OVERSIZE_BYTES)
    context.reply = bench.call(
        context.bench.hosts[0],
        path,
        document,
        method=method,
        **headers,
    )


@then('the border answers {status:d} "{code}" with run "{run}"')
def step_border(context: Context, status: int, code: str, run: str) -> None:
    error = context.reply.document['error']
    found = (context.reply.status, error['code'], error['run'])
    assert found == (status, code, run), context.reply
    assert error['findings'], context.reply
