"""Steps of forward_answer_ends.feature."""

from __future__ import annotations

import dataclasses

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_framed_server as framed
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.controllers.item_run import ItemRun, PartialText, RunEnd
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.errors import GuavadykeError
from guavadyke.filters.forward import Forwarder
from guavadyke.settings import ForwardSettings

_UNFRAMED = 'to the end'
# Bytes of the last event that arrive.
_TORN_BYTES = 9


@given(
    'a {kind} route and a server that answers with neither a length nor chunks'
)
def step_unframed(context: Context, kind: str) -> None:
    answer = framed.answer_bytes(_UNFRAMED, build.stream())
    _add_servers(context, kind, framed.FramedServer('s1', [answer]))


@given(
    'a {kind} route and a server that answers with neither a length nor '
    'chunks and resets'
)
def step_reset(context: Context, kind: str) -> None:
    answer = framed.answer_bytes(_UNFRAMED, build.stream())
    _add_servers(context, kind, framed.FramedServer('s1', [answer], reset=True))


@given(
    'a {kind} route and a server whose stream {framing} ends inside its last '
    'event'
)
def step_torn(context: Context, kind: str, framing: str) -> None:
    body = build.stream(last=build.EVENTS - 1)
    torn = body + build.event(build.EVENTS)[:_TORN_BYTES]
    answer = framed.answer_bytes(framing, torn)
    _add_servers(context, kind, framed.FramedServer('s1', [answer]))


@given('a {kind} route and a server whose head breaks off {place}')
def step_broken_head(context: Context, kind: str, place: str) -> None:
    answer = framed.broken_head(place)
    _add_servers(context, kind, framed.FramedServer('s1', [answer]))


@given('a streamed route and a server whose chunks end {place}')
def step_broken_chunks(context: Context, place: str) -> None:
    answer = framed.broken_chunks(place, build.stream())
    _add_servers(context, 'streamed', framed.FramedServer('s1', [answer]))


@given('another server that answers with {odd}')
def step_other_odd(context: Context, odd: str) -> None:
    if odd == 'neither a length nor chunks from there on':
        _add_plain_server(context)
        return
    context.odd_server = framed.FramedServer('s2', [framed.odd_answer(odd)])
    context.add_cleanup(context.odd_server.close)
    remote = dataclasses.replace(
        context.odd_server.listed, zone=build.OTHER_ZONE
    )
    context.pool.put(build.server_object(remote, version=2))


@when('an item is run at one after the other')
def step_item_twice(context: Context) -> None:
    step_item(context)
    first = context.outcome
    run = ItemRun(
        build.job(),
        build.item(0),
        ServerLease(context.odd_server.listed, batch=True, taken_at=build.NOW),
        first.partial,
        build.item_run_tools(context.pool),
    )
    context.outcome = run.perform(HttpBackendServers(), ForwardSettings())


@then('no run has the text')
def step_no_text(context: Context) -> None:
    assert context.outcome.end is RunEnd.broken, context.outcome
    pieces = b''.join(context.outcome.partial.pieces)
    assert framed.ODD_TEXT not in pieces, pieces


@then('the caller has got the events before it and nothing else')
def step_only_events(context: Context) -> None:
    assert context.body == build.stream(last=build.EVENTS - 1), context.body


def _add_servers(
    context: Context, kind: str, server: framed.FramedServer
) -> None:
    context.add_cleanup(server.close)
    resumable = kind == 'resumable stream'
    context.route = build.route(
        RouteKind('streamed' if resumable else kind),
        resumable=resumable,
        max_attempts=2 if resumable else 1,
    )
    context.listed = server.listed
    context.pool = build.pool((server.listed,))


@when('a request is sent to it')
def step_send(context: Context) -> None:
    tools = build.tools(HttpBackendServers(), context.pool)
    context.body = b''
    context.error = None
    try:
        answer = Forwarder(build.request(), context.route, tools).answer()
        if isinstance(answer.body, bytes):
            context.body = answer.body
        else:
            for event in answer.body:
                context.body += event
    except GuavadykeError as error:
        context.error = error


@when('an item is run at it')
def step_item(context: Context) -> None:
    run = ItemRun(
        build.job(),
        build.item(0),
        ServerLease(context.listed, batch=True, taken_at=build.NOW),
        PartialText(),
        build.item_run_tools(context.pool),
    )
    context.outcome = run.perform(HttpBackendServers(), ForwardSettings())


@then('the caller gets the whole answer')
def step_whole(context: Context) -> None:
    assert context.error is None, context.error
    assert context.body == build.stream(), context.body


@then('the answer breaks off')
def step_breaks_off(context: Context) -> None:
    assert context.error is not None, context.body
    assert build.stream().startswith(context.body)


@then('the run is completed')
def step_completed(context: Context) -> None:
    assert context.outcome.end is RunEnd.completed, context.outcome


@then('the run is broken and has all events but the last')
def step_broken(context: Context) -> None:
    assert context.outcome.end is RunEnd.broken, context.outcome
    assert context.outcome.partial.last_id == build.EVENTS - 1


def _add_plain_server(context: Context) -> None:
    answer = framed.answer_bytes(_UNFRAMED, build.stream(build.EVENTS))
    other = framed.FramedServer('s2', [answer])
    context.add_cleanup(other.close)
    # The first server is preferred, as it is in the host's zone.
    remote = dataclasses.replace(other.listed, zone=build.OTHER_ZONE)
    context.pool.put(build.server_object(remote, version=2))
