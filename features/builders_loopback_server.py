"""Backend servers over sockets of the loopback."""

from __future__ import annotations

import abc
import contextlib
import dataclasses
import functools
import socket
import threading
from collections.abc import Iterator
from email.message import Message
from http import client
from typing import BinaryIO

from features import builders_forward as build
from guavadyke.decisions.server_registry import ListedServer


@dataclasses.dataclass(frozen=True)
class Request:
    """A request as a server has read it, with its whole body."""

    path: str
    headers: Message
    body: bytes


class LoopbackServer(abc.ABC):
    """Listens, and serves each connection in a thread of its own.

    It accepts connections as soon as it is constructed.

    Args:
        name: id of the server.
        slots: requests that it is listed to run at once.
    """

    def __init__(self, name: str, slots: int = 8) -> None:
        self.name = name
        self._slots = slots
        self._socket = socket.create_server((build.LOOPBACK, 0))
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def address(self) -> str:
        """IP:PORT of the server."""
        ip, port = self._socket.getsockname()
        return f'{ip}:{port}'

    @property
    def listed(self) -> ListedServer:
        """The server as hosts list it."""
        return ListedServer(
            self.name, build.SERVICE, self.address, build.ZONE, self._slots
        )

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()

    @abc.abstractmethod
    def _serve(self, connection: socket.socket) -> None:
        """Serve a connection to its end."""

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            for connection, _address in iter(self._socket.accept, None):
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()


def read_request(received: BinaryIO) -> Request | None:
    """Read a request, None where the connection has ended."""
    line = received.readline()
    if not line:
        return None
    headers = client.parse_headers(received)
    body = received.read(int(headers.get('content-length', '0')))
    return Request(line.split()[1].decode(), headers, body)


def requests(connection: socket.socket) -> Iterator[Request]:
    """Yield the requests of a connection."""
    with connection.makefile('rb') as received:
        yield from iter(functools.partial(read_request, received), None)


def send_chunk(connection: socket.socket, piece: bytes) -> None:
    """Send a chunk of an answer in chunks."""
    connection.sendall(b'%x\r\n%b\r\n' % (len(piece), piece))
