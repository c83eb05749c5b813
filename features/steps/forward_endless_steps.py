"""Steps of forward_endless.feature."""

from __future__ import annotations

import collections
import contextlib
import threading
import time

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features import builders_outside as outside
from features.builders_endless import EndlessServer
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.engine_order_client import EngineOrderClient
from guavadyke.adapters.platform import HttpPlatformStore
from guavadyke.adapters.ports import BackendFault, BackendServerError
from guavadyke.controllers.item_run import ItemRun, PartialText, RunEnd
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.errors import (
    GuavadykeError,
    PlatformUnavailableError,
    RunStatus,
)
from guavadyke.filters.attempts import check_status
from guavadyke.filters.forward import Forwarder
from guavadyke.settings import ForwardSettings, PlatformSettings

_TIMEOUT_S = 30
_CALL_S = 2.0


@given('a server that sends {shape} until its caller closes')
def step_server(context: Context, shape: str) -> None:
    context.server = EndlessServer(shape)
    context.add_cleanup(context.server.close)
    context.error = None


@when('a {kind} request is sent to it')
def step_request(context: Context, kind: str) -> None:
    pool = build.pool((context.server.listed,))
    forwarder = Forwarder(
        build.request(),
        build.route(RouteKind(kind), max_attempts=1),
        build.tools(HttpBackendServers(), pool),
    )
    try:
        forwarder.answer()
    except GuavadykeError as error:
        context.error = error


@when('an item is run there')
def step_item(context: Context) -> None:
    clock = build.ManualClock()
    run = ItemRun(
        build.job(),
        build.item(0),
        ServerLease(context.server.listed, batch=True, taken_at=build.NOW),
        PartialText(),
        build.item_run_tools(build.pool((context.server.listed,)), clock),
    )
    outcomes = []
    thread = threading.Thread(
        target=lambda: outcomes.append(
            run.perform(HttpBackendServers(), ForwardSettings())
        ),
    )
    thread.start()
    until = time.monotonic() + _TIMEOUT_S
    while thread.is_alive() and time.monotonic() < until:
        # Passes the time as the job runner's ticks do.
        thread.join(0.1)
        clock.sleep(1)
        run.stop_if_stalled(clock.monotonic())
    context.outcomes = outcomes


@when('a call to it is cancelled after {seconds:g} seconds without a read')
def step_slow_reader(context: Context, seconds: float) -> None:
    answer = HttpBackendServers().send(
        outside.backend_call(context.server.address, b'')
    )
    pieces = answer.chunks()
    next(pieces)
    time.sleep(seconds)
    answer.cancel()
    with contextlib.suppress(BackendServerError):
        collections.deque(pieces, maxlen=0)


@when('the {call} is read from it')
def step_call(context: Context, call: str) -> None:
    read = {
        'load': lambda servers, at: servers.load(at, _CALL_S),
        'order state': lambda servers, at: EngineOrderClient(
            servers, 'host-1'
        ).state(at),
        'error text': lambda servers, at: check_status(
            servers.send(outside.backend_call(at, b''))
        ),
    }[call]
    try:
        read(HttpBackendServers(), context.server.address)
    except BackendServerError as error:
        context.error = error


@then('the call fails')
def step_call_fails(context: Context) -> None:
    assert context.error.fault is BackendFault.broken, context.error


@when('an object is read from it as the platform')
def step_platform(context: Context) -> None:
    store = HttpPlatformStore(
        PlatformSettings.model_validate({
            'url': f'http://{context.server.address}',
        })
    )
    with contextlib.suppress(PlatformUnavailableError):
        context.read = store.read('things', 'one')
        return
    context.error = 'unavailable'


@then('the request fails, and may have run')
def step_fails(context: Context) -> None:
    assert context.error is not None
    assert context.error.code.run is not RunStatus.not_run, context.error


@then('the run is broken and the item may go on elsewhere')
def step_broken(context: Context) -> None:
    ends = [one.end for one in context.outcomes]
    assert ends in ([RunEnd.broken], [RunEnd.failed]), ends


@then('the platform counts as unavailable')
def step_unavailable(context: Context) -> None:
    assert context.error == 'unavailable'


@then('the server sees its connection closed')
def step_closed(context: Context) -> None:
    assert context.server.wait_until_closed()
