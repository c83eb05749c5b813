"""Steps of online_border.feature about many connections."""

import contextlib
import itertools
import resource
import socket

from behave import given, then, when
from behave.runner import Context

from features import builders_online as online
from guavadyke.adapters.clock import SystemClock
from guavadyke.http_application import HttpApplication
from guavadyke.http_server import HttpServer, HttpServerSettings
from guavadyke.log import EventLogger
from guavadyke.settings import ListenSettings

_PLACE = '127.0.0.1'
_FILES = 4096
_CONNECTIONS = 2000
_TIMEOUT_S = 10
_REQUEST = b'GET /health/live HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'


@given('a caller port that holds {count:d} idle connections')
def step_connections(context: Context, count: int) -> None:
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(_FILES, hard), hard))
    service = online.online_service(online.FakeServers())
    application = HttpApplication(
        service.routes(),
        SystemClock(),
        EventLogger(),
    )
    listen = ListenSettings.model_validate({'ip': _PLACE, 'port': 0})
    server = HttpServer(
        application,
        HttpServerSettings(listen, threads=4, connections=_CONNECTIONS),
    )
    server.start()
    context.add_cleanup(server.close)
    context.port = server.port
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    places = itertools.repeat((_PLACE, context.port), count)
    for place in places:
        stack.enter_context(socket.create_connection(place, _TIMEOUT_S))


@when('a caller asks for its health')
def step_health(context: Context) -> None:
    place = (_PLACE, context.port)
    with socket.create_connection(place, _TIMEOUT_S) as connection:
        connection.sendall(_REQUEST)
        context.answer = connection.makefile('rb').read()


@then('the caller port answers that it lives')
def step_lives(context: Context) -> None:
    assert context.answer.startswith(b'HTTP/1.1 200'), context.answer
