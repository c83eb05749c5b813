"""A server that frames requests as their headers say, and requests for it."""

from __future__ import annotations

import base64
import collections
import contextlib
import dataclasses
import json
import socket
import types
from collections.abc import Iterable, Mapping
from typing import BinaryIO

from features import builders_forward as build
from features import builders_users_platform as users
from features.builders_loopback_server import LoopbackServer
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.ports import BackendCall
from guavadyke.controllers.item_run import ItemRun, PartialText, RunOutcome
from guavadyke.decisions.forward_job_records import ForwardItem
from guavadyke.decisions.request_headers import header_key
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.platform.engine_adapter import EngineDialect
from guavadyke.platform.job_submission import parse_items
from guavadyke.settings import ForwardSettings

ITEM_ID = 'item-0'
SMUGGLED_ID = 'f00dfeed00000001'
# Ends a body in chunks at once; the request that follows is one of its own.
SMUGGLING_BODY = (
    b'0\r\n\r\n'
    b'POST /inner HTTP/1.1\r\n'
    b'Host: reports.example\r\n'
    b'Request-Id: %b\r\n'
    b'Content-Length: 0\r\n'
    b'\r\n'
) % SMUGGLED_ID.encode()
# What servers get of an item of ``build.item`` or of a call without it.
SENT_KEYS = frozenset((
    'accept-encoding',
    'content-length',
    'expect-instance',
    'host',
    'model',
    'request-id',
    'user-agent',
))
CONNECTION_HEADERS = types.MappingProxyType({
    'Connection': 'close, X-Hop',
    'Content-Length': '3',
    'Expect': '100-continue',
    'HTTP2-Settings': 'AAMA',
    'Keep-Alive': 'timeout=9',
    'Proxy-Authenticate': 'Basic',
    'Proxy-Authorization': 'Basic YTpi',
    'Proxy-Connection': 'close',
    'TE': 'trailers',
    'Trailer': 'X-Sum',
    'Transfer-Encoding': 'chunked',
    'Upgrade': 'h2c',
})
# A server that waits for the rest of a body gives the connection up.
_READ_S = 1.0
_ANSWER = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Response-Signature: 3e1b\r\n'
    b'Content-Length: %d\r\n\r\n%b'
)


@dataclasses.dataclass(frozen=True)
class FramedRequest:
    """A request as a server has read it; headers by their keys."""

    headers: Mapping[str, list[str]]
    body: bytes


class FramingServer(LoopbackServer):
    """Reads requests like a lenient HTTP/1.1 server: chunks before a length.

    Spaces around names of headers and underscores in them are of no account.
    ``got`` has the requests of all connections in order.
    """

    def __init__(self, name: str) -> None:
        self.got: list[FramedRequest] = []
        super().__init__(name)

    def _serve(self, connection: socket.socket) -> None:
        event = build.event(1)
        connection.settimeout(_READ_S)
        with (
            connection,
            connection.makefile('rb') as source,
            contextlib.suppress(OSError, ValueError),
        ):
            while source.readline():
                self.got.append(_read_request(source))
                connection.sendall(_ANSWER % (len(event), event))


def _read_request(source: BinaryIO) -> FramedRequest:
    headers = collections.defaultdict(list)
    for line in iter(source.readline, b'\r\n'):
        name, _colon, text = line.decode('latin-1').partition(':')
        headers[header_key(name)].append(text.strip())
    if 'chunked' in ','.join(headers['transfer-encoding']):
        return FramedRequest(headers, _read_chunks(source))
    length = int((headers['content-length'] or ['0'])[0])
    return FramedRequest(headers, source.read(length))


def _read_chunks(source: BinaryIO) -> bytes:
    body = b''
    while size := int(source.readline(), 16):
        body += source.read(size)
        source.readline()
    while source.readline().strip():
        """Skip the trailers."""
    return body


def parse_headers(text: str) -> dict[str, str]:
    """Return the headers of a text like ``A: 1; B: 2``."""
    lines = (line.split(': ', 1) for line in text.split('; '))
    return dict(lines)


def run_stored_item(
    server: FramingServer,
    servers: HttpBackendServers,
    headers: Mapping[str, str],
    body: bytes,
) -> RunOutcome:
    """Run an item that was stored with any headers."""
    item = build.item(0)
    item = dataclasses.replace(
        item, headers={**item.headers, **headers}, body=body
    )
    run = ItemRun(
        dataclasses.replace(build.job(), items=(item,)),
        item,
        ServerLease(server.listed, batch=True, taken_at=build.NOW),
        PartialText(),
        build.item_run_tools(build.pool((server.listed,))),
    )
    return run.perform(servers, ForwardSettings())


def platform_servers() -> HttpBackendServers:
    """Return the client of servers of the users' platform."""
    return HttpBackendServers(dialect=EngineDialect())


def call_with_headers(
    server: FramingServer, headers: Mapping[str, str], body: bytes
) -> None:
    """Send a call of the product's own interface and read the answer."""
    answer = HttpBackendServers().send(
        BackendCall(
            'r-1',
            server.address,
            'POST',
            '/rooms',
            headers,
            body,
            connect_timeout_s=1,
            first_byte_timeout_s=1,
            gap_timeout_s=1,
        )
    )
    collections.deque(answer.chunks(), maxlen=0)


def submitted_items(**changes: object) -> tuple[ForwardItem, ...]:
    """Return the items of a submission with one item that is changed."""
    item = {
        'Id': ITEM_ID,
        'Path': f'{users.JOB_PREFIX}3/0',
        'Headers': {'Model': 'm', 'Token-Counts': '540,400'},
        'Body': base64.b64encode(b'text').decode(),
        'Tokens': 940,
        **changes,
    }
    body = json.dumps({'Items': [item]}).encode()
    return parse_items(body, build.route(), None)


def odd_item(what: str) -> dict[str, object]:
    """Return the fields of an item that are changed as a feature names it."""
    headers = _ODD_HEADERS.get(what)
    if headers is not None:
        return {'Headers': headers}
    field, text = _ODD_TEXTS[what]
    return {field: text}


_ODD_HEADERS = types.MappingProxyType({
    'a header name with a space within': {'X Note': '1'},
    'an empty header name': {'': '1'},
    'a header name with a colon': {'X:Note': '1'},
    'a header name with a line break': {'X-Note\r\nModel': '1'},
    'a header value with a line break': {'X-Note': '1\r\nModel: n'},
    'a header value with a folded line': {'X-Note': '1\r\n 2'},
    'a header value with a null character': {'X-Note': '1\0'},
    'a header value outside Latin-1': {'X-Note': '\u6c34'},
    'a header twice with different values': {'X-Note': '1', 'x_note': '2'},
    'a header value in Latin-1': {'X-Note': 'l\xe4tt\xe4k\xf6'},
    'an empty header value': {'X-Note': ''},
    'a header twice with the same value': {'X-Note': '1', 'x-note ': '1'},
})
_ODD_TEXTS = types.MappingProxyType({
    'a path with a space': ('Path', '/a b'),
    'a path with a line break': ('Path', '/a\r\nX: 1'),
    'a path with a control character': ('Path', '/a\x7f'),
    'a path outside ASCII': ('Path', '/l\xe4tt'),
    'an empty path': ('Path', ''),
    'a path with a query': ('Path', '/a?x=%20y&z={1}'),
    'an empty id': ('Id', ''),
    'an id with a space': ('Id', 'a b'),
    'an id with a line break': ('Id', 'a\r\nX: 1'),
    'an id outside ASCII': ('Id', 'l\xe4tt'),
})


def exchange_raw(address: tuple[str, int], lines: Iterable[bytes]) -> int:
    """Send the head of a request as it is; return the status of the answer."""
    head = b'\r\n'.join((*lines, b'', b''))
    with (
        socket.create_connection(address, timeout=5) as connection,
        connection.makefile('rb') as source,
    ):
        connection.sendall(head)
        return int(source.readline().split()[1])
