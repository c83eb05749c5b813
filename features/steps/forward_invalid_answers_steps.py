"""Steps of forward_invalid_answers.feature."""

from __future__ import annotations

import dataclasses
import functools
import itertools
import re
from collections.abc import Callable
from concurrent import futures

from behave import given, then, when
from behave.runner import Context

from features import builders_answer_paths as paths
from features import builders_forward as build
from features import builders_framed_server as framed
from features.builders_early_server import EarlyServer
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.errors import GuavadykeError, RunStatus
from guavadyke.filters.forward import Forwarder
from guavadyke.platform.engine_adapter import EngineDialect

_UNFRAMED = 'to the end'
_KIB = 1024
_TEXT = b'text'
# More than the requests of one call and its further attempts.
_ANSWERS = 8
_BAD_STATUS = 'HTTP/1.1 600 OK'
_LENGTH = re.compile(rb'Content-Length: \d+')


@given(
    'an upload of {size:d} KiB to a server whose answer is {end} before it '
    'has read it'
)
def step_early(context: Context, size: int, end: str) -> None:
    context.upload = b'x' * (size * _KIB)
    context.server_for = lambda path: EarlyServer(
        framed.answer_bytes(_UNFRAMED, paths.proper_body(path)), end
    )


@given(
    'an upload of {size:d} KiB to a server that ends its answer and then '
    'reads it'
)
def step_reads_on(context: Context, size: int) -> None:
    context.upload = b'x' * (size * _KIB)
    context.server_for = lambda path: framed.FramedServer(
        's1', [framed.answer_bytes(_UNFRAMED, paths.proper_body(path))]
    )


@given('a server that answers an item with status 200 and no event')
def step_no_event(context: Context) -> None:
    context.upload = _TEXT
    context.server_for = lambda _path: framed.FramedServer(
        's1', [framed.answer_bytes('with a length', b'')]
    )


@when('it is sent {times:d} times as {path}')
def step_send(context: Context, times: int, path: str) -> None:
    context.passed = [_pass_on(context, path) for _time in range(times)]


@when('an answer that begins with {head} is sent on every path')
def step_every_path(context: Context, head: str) -> None:
    context.passed = _on_every_path(functools.partial(_answered, head=head))


@when('an answer with {line} in place of its length is sent on every path')
def step_no_length(context: Context, line: str) -> None:
    context.passed = _on_every_path(functools.partial(_unclear, line=line))


@when('an answer that begins with {head} is sent as {path}')
def step_one_path(context: Context, head: str, path: str) -> None:
    context.passed = [_answered(path, head)]


@then('none of the answers passes for whole')
def step_none(context: Context) -> None:
    whole = [one for one in context.passed if one.whole]
    assert not whole, whole


@then('all of the answers pass for whole')
def step_all(context: Context) -> None:
    broken = [one for one in context.passed if not one.whole]
    assert not broken, broken


@given(
    'a server that answers with status 600 and another that answers properly'
)
def step_two(context: Context) -> None:
    first, second = (
        framed.FramedServer(
            name, [paths.proper_answer('idempotent request', status)]
        )
        for name, status in (('s1', _BAD_STATUS), ('s2', 'HTTP/1.1 200 OK'))
    )
    context.add_cleanup(first.close)
    context.add_cleanup(second.close)
    # The first server is preferred, as it is in the host's zone.
    remote = dataclasses.replace(second.listed, zone=build.OTHER_ZONE)
    context.pool = build.pool((first.listed, remote))
    context.second = second


@when('a request of a {kind} route is sent to both')
def step_both(context: Context, kind: str) -> None:
    tools = build.tools(
        HttpBackendServers(dialect=EngineDialect()), context.pool
    )
    route = build.route(RouteKind(kind))
    context.error = None
    try:
        context.answer = Forwarder(build.request(), route, tools).answer()
    except GuavadykeError as error:
        context.error = error


@then('it is answered by the other server')
def step_answered(context: Context) -> None:
    assert context.error is None, context.error
    assert context.answer.body == build.stream(), context.answer


@then('it fails, and may have run')
def step_fails(context: Context) -> None:
    assert context.error is not None, context.answer
    assert context.error.code.run is not RunStatus.not_run, context.error
    assert not context.second.requests


def _pass_on(context: Context, path: str) -> paths.Passed:
    server = context.server_for(path)
    try:
        return paths.pass_on(path, server, context.upload)
    finally:
        server.close()


def _on_every_path(
    send: Callable[[str], paths.Passed],
) -> list[paths.Passed]:
    passed = [send(path) for path in paths.names(tunnelled=True)]
    with futures.ThreadPoolExecutor() as pool:
        return [*passed, *pool.map(send, paths.names(tunnelled=False))]


def _answered(path: str, head: str) -> paths.Passed:
    """Send a request to a server whose answers begin with heads."""
    first = head.replace(', ', '\r\n\r\n')
    answer = (
        paths.proper_body(path)
        if head == 'no status line'
        else paths.proper_answer(path, first)
    )
    return _sent(path, answer)


def _unclear(path: str, line: str) -> paths.Passed:
    """Send a request to a server whose answers have a line for their length."""
    answer = paths.proper_answer(path, 'HTTP/1.1 200 OK')
    return _sent(path, _LENGTH.sub(line.encode(), answer, count=1))


def _sent(path: str, answer: bytes) -> paths.Passed:
    server = framed.FramedServer('s1', itertools.repeat(answer, _ANSWERS))
    try:
        return paths.pass_on(path, server, _TEXT)
    finally:
        server.close()
