"""Kept connections to a sound server while other servers fall silent."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import socket
import struct
import threading
import time
from collections import Counter

from features import builders_forward as build
from features import builders_outside as outside
from features.builders_loopback_server import LoopbackServer, requests
from guavadyke.adapters.ports import BackendServerError, BackendServers

BODY = b'whole'
_SILENT_S = 0.02
_LONGEST_S = 0.004
_SLOTS = 64
_NO_LINGER = struct.pack('ii', 1, 0)


class KeepingServer(LoopbackServer):
    """Answers requests on kept connections after up to 4 ms.

    Args:
        name: id of the server.
        resets: whether it resets a connection that is used again.
    """

    def __init__(self, name: str, *, resets: bool = False) -> None:
        self.runs: Counter[str] = Counter()
        self.connections = 0
        self._resets = resets
        self._lock = threading.Lock()
        super().__init__(name, _SLOTS)

    def _serve(self, connection: socket.socket) -> None:
        with self._lock:
            self.connections += 1
            rng = random.Random(self.connections)
        with connection, contextlib.suppress(OSError):
            for number, request in enumerate(requests(connection)):
                request_id = request.headers['request-id']
                with self._lock:
                    self.runs[request_id] += 1
                if number and self._resets:
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
                    )
                    return
                time.sleep(rng.uniform(0, _LONGEST_S))
                connection.sendall(
                    b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n'
                    b'Response-Signature: 3e1b\r\n'
                    b'Content-Length: %d\r\n\r\n%b'
                    % (request_id.encode(), len(BODY), BODY)
                )


class SilentServers:
    """Two servers that never answer and are called all the time.

    Args:
        servers: the adapter that calls them.
    """

    def __init__(self, servers: BackendServers) -> None:
        self._servers = servers
        self._closed = threading.Event()
        self._sockets = [
            socket.create_server((build.LOOPBACK, 0)) for _ in range(2)
        ]
        self._threads = [
            threading.Thread(target=self._call, args=(one,))
            for one in self._sockets
        ]
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Call them no more."""
        self._closed.set()
        for thread in self._threads:
            thread.join()
        for one in self._sockets:
            one.close()

    def _call(self, silent: socket.socket) -> None:
        ip, port = silent.getsockname()
        call = dataclasses.replace(
            outside.backend_call(f'{ip}:{port}', b''),
            first_byte_timeout_s=_SILENT_S,
        )
        while not self._closed.is_set():
            with contextlib.suppress(BackendServerError):
                self._servers.send(call)
