"""A small HTTP/1.1 server and client with control over each connection."""

from __future__ import annotations

import contextlib
import json
import socket
import struct
import threading
import urllib.parse
from collections.abc import Callable

RECEIVE_BYTES = 65_536


class Closed(Exception):
    """The connection ended before a whole message was read."""


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, opened: socket.socket) -> None:
        self.opened = opened
        self._buffer = b''

    def line(self) -> bytes:
        while b'\n' not in self._buffer:
            self._more()
        found, _, self._buffer = self._buffer.partition(b'\n')
        return found.rstrip(b'\r')

    def exactly(self, count: int) -> bytes:
        while len(self._buffer) < count:
            self._more()
        found, self._buffer = self._buffer[:count], self._buffer[count:]
        return found

    def headers(self) -> dict[str, str]:
        found = {}
        while line := self.line():
            name, _, text = line.decode('latin-1').partition(':')
            found[name.strip().lower()] = text.strip()
        return found

    def chunk(self) -> bytes:
        """Return the next chunk, empty at the end of the body."""
        size = int(self.line().split(b';')[0], 16)
        found = self.exactly(size)
        self.line()
        return found

    def body(self, headers: dict[str, str]) -> bytes:
        if 'chunked' in headers.get('transfer-encoding', ''):
            return b''.join(iter(self.chunk, b''))
        return self.exactly(int(headers.get('content-length', '0')))

    def _more(self) -> None:
        try:
            piece = self.opened.recv(RECEIVE_BYTES)
        except TimeoutError:
            raise
        except OSError as error:
            raise Closed(repr(error)) from error
        if not piece:
            raise Closed('the connection was closed')
        self._buffer += piece


class Request:
    """One request as received."""

    def __init__(self, channel: Channel, method: str, target: str) -> None:
        self.channel = channel
        self.method = method
        self.target = target
        self.path, _, query = target.partition('?')
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = channel.reader.headers()
        self.body = channel.reader.body(self.headers)


class Channel:
    """A connection that a server has accepted."""

    def __init__(self, opened: socket.socket) -> None:
        self.opened = opened
        self.reader = Reader(opened)
        # A silent channel has lost its way: nothing passes in any direction.
        self.silent = threading.Event()

    def answer(
        self,
        status: int,
        document: object = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        body = json.dumps({} if document is None else document).encode()
        lines = [f'HTTP/1.1 {status} Status']
        stated = {
            'Content-Type': 'application/json',
            'Content-Length': str(len(body)),
            **(headers or {}),
        }
        lines += [f'{name}: {text}' for name, text in stated.items()]
        self.send('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

    def send(self, raw: bytes) -> None:
        if self.silent.is_set():
            self.wait_for_close()
        self.opened.sendall(raw)

    def wait_for_close(self) -> None:
        """Discard what comes until the peer closes a silent channel."""
        while self.opened.recv(RECEIVE_BYTES):
            pass
        raise Closed('a silent channel was closed')

    @property
    def left(self) -> bool:
        """Whether the peer has closed the connection."""
        self.opened.setblocking(False)
        try:
            return self.opened.recv(1, socket.MSG_PEEK) == b''
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            with contextlib.suppress(OSError):
                self.opened.setblocking(True)

    def reset(self) -> None:
        with contextlib.suppress(OSError):
            self.opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            self.opened.shutdown(socket.SHUT_RD)
        with contextlib.suppress(OSError):
            self.opened.close()


class Server:
    """Serves each connection in a thread of its own.

    Args:
        answer: gets each request; answers it on the request's channel.
        ip: loopback address.
    """

    def __init__(
        self, answer: Callable[[Request], None], ip: str = '127.0.0.1'
    ) -> None:
        self._answer = answer
        self._listener = socket.create_server((ip, 0), backlog=512)
        self.address = f'{ip}:{self._listener.getsockname()[1]}'
        self.channels: set[Channel] = set()
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_channels(self) -> int:
        """Let the open channels go silent for good; new ones work."""
        with self._lock:
            for channel in self.channels:
                channel.silent.set()
            return len(self.channels)

    def _accept(self) -> None:
        while True:
            opened, _ = self._listener.accept()
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(opened,), daemon=True
            ).start()

    def _serve(self, opened: socket.socket) -> None:
        channel = Channel(opened)
        with self._lock:
            self.channels.add(channel)
        try:
            while True:
                words = channel.reader.line().decode('latin-1').split(' ')
                request = Request(channel, words[0], words[1])
                if channel.silent.is_set():
                    channel.wait_for_close()
                self._answer(request)
        except (Closed, OSError, ValueError, IndexError):
            pass
        finally:
            with self._lock:
                self.channels.discard(channel)
            with contextlib.suppress(OSError):
                opened.close()


class Answer:
    """An answer as a client sees it.

    ``whole`` is whether the body came to its end; ``broken`` says why not.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.whole = False
        self.broken = ''

    def json(self) -> dict[str, object]:
        return json.loads(self.body)


class ClientChannel:
    """A client's connection, which may be kept for several requests."""

    def __init__(self, address: str, timeout_s: float = 1) -> None:
        ip, _, port = address.rpartition(':')
        self.opened = socket.create_connection((ip, int(port)), timeout_s)
        self.opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = Reader(self.opened)

    def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b'',
        timeout_s: float = 10,
    ) -> Answer:
        """Make a request and read its whole answer, or what comes of it."""
        answer = Answer()
        self.opened.settimeout(timeout_s)
        lines = [f'{method} {target} HTTP/1.1']
        stated = {**headers, 'Content-Length': str(len(body))}
        lines += [f'{name}: {text}' for name, text in stated.items()]
        try:
            self.opened.sendall(
                '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
            )
            self._read(answer)
        except (Closed, OSError, ValueError) as error:
            answer.broken = repr(error)
        return answer

    def _read(self, answer: Answer) -> None:
        answer.status = int(self._reader.line().split()[1])
        answer.headers = self._reader.headers()
        if 'chunked' in answer.headers.get('transfer-encoding', ''):
            while piece := self._reader.chunk():
                answer.body += piece
        else:
            answer.body = self._reader.body(answer.headers)
        answer.whole = True

    def close(self) -> None:
        self.opened.close()


def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 10,
) -> Answer:
    """Make a request on a new connection."""
    try:
        channel = ClientChannel(address)
    except OSError as error:
        answer = Answer()
        answer.broken = repr(error)
        return answer
    with contextlib.closing(channel):
        return channel.call(method, target, headers, body, timeout_s)
