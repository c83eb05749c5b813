"""Every path on which a backend server's answer is passed on."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import json
import threading
import time
import types
from collections.abc import Callable, Mapping

from features import builders_forward as build
from features import builders_online as online
from features.builders_loopback_server import LoopbackServer
from features.builders_stranded import StrandedHost
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.engine_order_client import EngineOrderClient
from guavadyke.adapters.ports import (
    BackendServerError,
    BackendServers,
    ItemCall,
    ItemEnd,
)
from guavadyke.catalogue import parse_entry
from guavadyke.client import Client
from guavadyke.controllers.item_run import ItemRun, PartialText, RunEnd
from guavadyke.decisions.forward_routes import RouteKind
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.filters.forward import Forwarder
from guavadyke.platform.engine_adapter import EngineDialect
from guavadyke.settings import ForwardSettings
from guavadyke.snapshots import CatalogueSnapshot

_SERVICE = 'open-booking'
_TIMEOUT_S = 5.0
_TUNNELLED = 'tunnelled '


@dataclasses.dataclass(frozen=True)
class Passed:
    """What came of an answer: whether it passes for whole, and what it is."""

    whole: bool
    seen: str


def pass_on(path: str, server: LoopbackServer, upload: bytes) -> Passed:
    """Send an upload to a server on a path and return what came of it."""
    try:
        return Passed(whole=True, seen=_PATHS[path][0](server, upload))
    except (GuavadykeError, BackendServerError) as error:
        return Passed(whole=False, seen=repr(error))


def names(*, tunnelled: bool) -> tuple[str, ...]:
    """Return the names of the paths through another host, or of the others.

    Those through another host replace how all connections are made.
    """
    return tuple(
        name for name in _PATHS if name.startswith(_TUNNELLED) == tunnelled
    )


def proper_body(path: str) -> bytes:
    """Return the body of a proper answer to a request on a path."""
    return _PATHS[path][1]


def proper_answer(path: str, first: str) -> bytes:
    """Return a proper answer but for its first lines.

    Args:
        path: the path on which it is sent.
        first: a status line, or several heads and a status line.
    """
    body = proper_body(path)
    return (
        f'{first}\r\nContent-Type: text/event-stream\r\n'
        f'Response-Signature: 3e1b\r\nContent-Length: {len(body)}\r\n'
        'Connection: close\r\n\r\n'
    ).encode() + body


def _forwarded(kind: RouteKind, server: LoopbackServer, upload: bytes) -> str:
    return _forward(
        kind, server, upload, HttpBackendServers(dialect=EngineDialect())
    )


def _forward(
    kind: RouteKind,
    server: LoopbackServer,
    upload: bytes,
    servers: BackendServers,
) -> str:
    request = dataclasses.replace(build.request(), body=upload)
    tools = build.tools(servers, build.pool((server.listed,)))
    answer = Forwarder(
        request, build.route(kind, max_attempts=1), tools
    ).answer()
    return f'{answer.status} {online.body_of(answer)!r}'


def _tunnelled(kind: RouteKind, server: LoopbackServer, upload: bytes) -> str:
    host = StrandedHost(helpers=1, cut=0)
    try:
        host.change_link('refused')
        for relay in host.relays:
            relay.servers_listed([server.listed])
        return _forward(kind, server, upload, host.servers)
    finally:
        host.close()


def _item(server: LoopbackServer, upload: bytes) -> str:
    run = ItemRun(
        build.job(),
        dataclasses.replace(build.item(0), body=upload),
        ServerLease(server.listed, batch=True, taken_at=build.NOW),
        PartialText(),
        build.item_run_tools(build.pool((server.listed,))),
    )
    outcome = run.perform(
        HttpBackendServers(dialect=EngineDialect()), ForwardSettings()
    )
    if outcome.end is not RunEnd.completed:
        raise GuavadykeError(ErrorCode.backend_failed, str(outcome))
    return outcome.partial.text


def _load(server: LoopbackServer, _upload: bytes) -> str:
    return repr(HttpBackendServers().load(server.address, _TIMEOUT_S))


def _order(server: LoopbackServer, _upload: bytes) -> str:
    servers = HttpBackendServers()
    return repr(EngineOrderClient(servers, 'host-1').state(server.address))


def _catalogue(server: LoopbackServer) -> CatalogueSnapshot:
    base = online.catalogue()
    documents = {
        f'{role}-0': {
            'kind': 'backend_server',
            'role': role,
            'zone': 'cali-norte',
            'address': server.address,
            'serves': [entry],
            'slots': 4,
        }
        for role, entry in (('engine', 'desk'), ('service', _SERVICE))
    }
    service = {'kind': 'service', 'owner': 'pesebres', 'idempotent': True}
    return dataclasses.replace(
        base,
        entries={**base.entries, _SERVICE: _parse(service)},
        backend_servers={
            name: _parse(document) for name, document in documents.items()
        },
    )


def _parse(document: object) -> object:
    return parse_entry(json.dumps(document).encode())


def _own(
    target: str, server: LoopbackServer, document: object, **parts: str
) -> str:
    service = online.online_service(
        HttpBackendServers(), snapshot=_catalogue(server)
    )
    exchange = online.exchange(target, document, guavadyke_deadline_ms='2000')
    exchange.path_parts = parts
    prefix = '/v1/services/' if parts else target
    route = next(
        one for one in service.routes() if one.pattern.startswith(prefix)
    )
    handler = next(iter(route.handlers.values()))
    service.start()
    with contextlib.closing(service):
        answer = handler(exchange)
        body = online.body_of(answer)
    if b'"error"' in body:
        raise GuavadykeError(ErrorCode.backend_failed, body.decode())
    return f'{answer.status} {body!r}'


def _chat(server: LoopbackServer, upload: bytes, **changes: object) -> str:
    message = {'role': 'user', 'content': upload.decode()}
    document = online.chat(messages=[message], **changes)
    return _own('/v1/chat/completions', server, document)


def _service(server: LoopbackServer, upload: bytes) -> str:
    return _own(
        f'/v1/services/{_SERVICE}/rooms',
        server,
        {'text': upload.decode()},
        entry=_SERVICE,
        path='rooms',
    )


def _own_item(entry_name: str, server: LoopbackServer, upload: bytes) -> str:
    service = online.online_service(
        HttpBackendServers(), snapshot=_catalogue(server)
    )
    message = {'role': 'user', 'content': upload.decode()}
    call = ItemCall(
        request_id='item-1',
        job_id='job-1',
        entry_name=entry_name,
        owner='pesebres',
        body=json.dumps(online.chat(messages=[message])).encode(),
        idempotent=False,
        due=time.time() + _TIMEOUT_S,
        timeout_s=_TIMEOUT_S,
    )
    service.start()
    with contextlib.closing(service):
        result = service.runner.run(call, threading.Event())
    if result.end is not ItemEnd.completed:
        raise GuavadykeError(ErrorCode.backend_failed, repr(result))
    return repr(result.response)


def _client(server: LoopbackServer, upload: bytes) -> str:
    client = Client(f'http://{server.address}', 'key', _TIMEOUT_S)
    answer = client.expect('POST', '/v1/batches', upload)
    return f'{answer.status} {answer.body!r}'


def _client_events(server: LoopbackServer, upload: bytes) -> str:
    client = Client(f'http://{server.address}', 'key', _TIMEOUT_S)
    return repr(list(client.events('/v1/chat/completions', upload)))


_EVENTS = build.stream()
_DONE = b'data: [DONE]\n\n'
_CHAT_EVENTS = b''.join((
    *(
        online.encode_event({
            'id': 'c',
            'choices': [{'index': 0, 'delta': {'content': word}}],
        })
        for word in online.WORDS
    ),
    online.encode_event({
        'id': 'c',
        'choices': [{'index': 0, 'delta': {}, 'finish_reason': 'stop'}],
    }),
    _DONE,
))
_LOAD = b'{"running":0,"waiting":0,"slots":4,"leaving":false,"age_s":0}'
_PATHS: Mapping[str, tuple[Callable[[LoopbackServer, bytes], str], bytes]] = (
    types.MappingProxyType({
        'idempotent request': (
            functools.partial(_forwarded, RouteKind.idempotent),
            _EVENTS,
        ),
        'non-idempotent request': (
            functools.partial(_forwarded, RouteKind.non_idempotent),
            _EVENTS,
        ),
        'stream': (functools.partial(_forwarded, RouteKind.streamed), _EVENTS),
        'tunnelled request': (
            functools.partial(_tunnelled, RouteKind.idempotent),
            _EVENTS,
        ),
        'tunnelled stream': (
            functools.partial(_tunnelled, RouteKind.streamed),
            _EVENTS,
        ),
        'item': (_item, _EVENTS),
        'load report': (_load, _LOAD),
        'order state': (_order, b'{"fencing":1}'),
        'chat': (_chat, _CHAT_EVENTS),
        'streamed chat': (
            functools.partial(_chat, stream=True),
            _CHAT_EVENTS,
        ),
        'buffered chat': (
            functools.partial(_chat, tools=[{'type': 'function'}]),
            b'{"choices":[]}',
        ),
        'service call': (_service, b'{"room":1}'),
        'item of a model': (
            functools.partial(_own_item, 'desk'),
            _CHAT_EVENTS,
        ),
        'item of a service': (
            functools.partial(_own_item, _SERVICE),
            b'{"room":1}',
        ),
        'client call': (_client, b'{"room":1}'),
        'client stream': (_client_events, b'data: {}\n\ndata: [DONE]\n\n'),
    })
)
