"""Keeps the limits that backend servers name, over all hosts."""

from __future__ import annotations

import functools
import math
import threading
from collections.abc import Callable, Iterable

from guavadyke.adapters.ports import Clock, PeerMessenger, PeerNotice
from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.decisions.request_permits import (
    Permit,
    PermitIssuer,
    PermitRequest,
    PermitStock,
)
from guavadyke.decisions.server_limits import KnownLimits, ServerLimit
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Time in which the issuing host has to answer. Requests go to other servers
# after it.
_ANSWER_S = 0.05
# A server is not asked for again for this time without an answer.
_UNANSWERED_S = 0.2


class ServerLimits:
    """Knows the limits of servers and asks for permits. Thread-safe.

    The permits of a server are issued by one host, which rendezvous hashing
    over the live hosts selects. Other hosts ask it by datagram.

    Args:
        host_id: the id of this host.
        fleet: the other hosts.
        messenger: carries requests for permits and their answers.
        clock: a monotonic clock.
        logger: logs limits that begin, change and end.
    """

    def __init__(
        self,
        host_id: str,
        fleet: SnapshotCell[FleetSnapshot],
        messenger: PeerMessenger,
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self._host_id = host_id
        self._fleet = fleet
        self._messenger = messenger
        self._clock = clock
        self._logger = logger
        self._changed = threading.Condition()
        self._known = KnownLimits()
        self._issuer = PermitIssuer()
        self._stock = PermitStock()
        # Ids of servers whose limits other hosts have to be told.
        self._untold: set[str] = set()
        self._found = threading.Event()

    def start(self) -> None:
        """Start to answer the requests of other hosts."""
        self._messenger.subscribe(self.receive)

    def observer(self, server: ListedServer) -> Callable[[float], None]:
        """Return what to call with the limit in a server's answer.

        Call this before the request is sent. The limit is in requests a
        second, infinity if the answer names none.
        """
        return functools.partial(self._observe, server, self._clock.monotonic())

    def admit(self, server: ListedServer, *, batch: bool = False) -> bool:
        """Return whether one request may be sent to a server now.

        For a server with a limit this waits for the issuing host's answer.
        """
        if not self._known:
            return True
        with self._changed:
            limit = self._known.limit_of(server)
            if limit is None:
                return True
            name = limit.server_id
            if self._stock.take(name, self._clock.monotonic(), batch=batch):
                return True
            if name in self._stock.closed(self._clock.monotonic(), batch=batch):
                return False
        request = PermitRequest(name, limit.per_s, batch)
        issuer = self._issuing_host(name)
        if issuer == self._host_id:
            return self._issue_own(request)
        self._messenger.send(issuer, PeerNotice(permit_requests=(request,)))
        return self._wait_for_answer(request)

    def exhausted(self, *, batch: bool = False) -> dict[str, float]:
        """Return for how long servers take no request, by their ids."""
        if not self._known:
            return {}
        with self._changed:
            return dict(
                self._stock.closed(self._clock.monotonic(), batch=batch)
            )

    def servers_listed(self, servers: Iterable[ListedServer]) -> None:
        """Forget the permits of servers that have started again."""
        if not self._known:
            return
        with self._changed:
            for server in servers:
                known = self._known.find(server.server_id)
                if known is not None and not known.is_of(server):
                    self._stock.drop(server.server_id)

    def receive(self, host_id: str, notice: PeerNotice) -> None:
        """Answer another host's requests, and take its permits."""
        if not notice.permit_requests and not notice.permits:
            return
        with self._changed:
            now = self._clock.monotonic()
            answers = tuple(
                self._issuer.issue(request, host_id, now)
                for request in notice.permit_requests
            )
            for permit in notice.permits:
                self._stock.add(permit, now)
            self._changed.notify_all()
        if answers:
            self._messenger.send(host_id, PeerNotice(permits=answers))

    def apply(self, limit: ServerLimit) -> None:
        """Apply a limit that another host has told."""
        with self._changed:
            before = self._known.find(limit.server_id)
            self._known.name(limit, self._clock.monotonic())
            if limit.is_like(before):
                return
            self._stock.drop(limit.server_id)
        _log_named(self._logger, limit)

    def withdraw(self, server_id: str) -> None:
        """Forget a limit that has ended, as another host has told."""
        with self._changed:
            known = self._known.find(server_id)
            self._known.remove(server_id)
            self._stock.drop(server_id)
        if known is not None:
            self._logger.info('server_limit_ended', backend_server=server_id)

    def wait_for_changes(
        self, timeout_s: float
    ) -> dict[str, ServerLimit | None]:
        """Wait for limits to tell other hosts.

        Returns:
            The limits by the ids of servers, None for one that has ended;
            empty after the timeout.
        """
        self._found.wait(timeout_s)
        self._found.clear()
        with self._changed:
            untold = {name: self._known.find(name) for name in self._untold}
            self._untold = set()
            return untold

    def tell_again(self, server_id: str) -> None:
        """Have a limit told that could not be told now."""
        with self._changed:
            self._untold.add(server_id)

    def _observe(
        self, server: ListedServer, sent_at: float, per_s: float
    ) -> None:
        if math.isinf(per_s):
            self._end(server, sent_at)
            return
        limit = ServerLimit(server.server_id, server.born_ms, per_s)
        with self._changed:
            before = self._known.limit_of(server)
            self._known.name(limit, self._clock.monotonic())
            if limit.is_like(before):
                return
            self._stock.drop(server.server_id)
            self._untold.add(server.server_id)
            self._found.set()
        _log_named(self._logger, limit)

    def _end(self, server: ListedServer, sent_at: float) -> None:
        if not self._known:
            return
        with self._changed:
            if not self._known.name_none(server, sent_at):
                return
            self._stock.drop(server.server_id)
            self._untold.add(server.server_id)
            self._found.set()
        self._logger.info('server_limit_ended', backend_server=server.server_id)

    def _issue_own(self, request: PermitRequest) -> bool:
        with self._changed:
            now = self._clock.monotonic()
            permit = self._issuer.issue(request, self._host_id, now)
            self._stock.add(permit, now)
            return self._stock.take(request.server_id, now, batch=request.batch)

    def _wait_for_answer(self, request: PermitRequest) -> bool:
        name = request.server_id
        until = self._clock.monotonic() + _ANSWER_S
        with self._changed:
            while True:
                now = self._clock.monotonic()
                if self._stock.take(name, now, batch=request.batch):
                    return True
                if name in self._stock.closed(now, batch=request.batch):
                    return False
                if now >= until:
                    break
                self._changed.wait(until - now)
            self._stock.add(
                Permit(name, request.batch, wait_s=_UNANSWERED_S), now
            )
        self._logger.info('server_permit_unanswered', backend_server=name)
        return False

    def _issuing_host(self, server_id: str) -> str:
        hosts = {peer.host_id for peer in self._fleet.current.alive}
        return rendezvous(f'permits/{server_id}', {self._host_id, *hosts})


def _log_named(logger: EventLogger, limit: ServerLimit) -> None:
    logger.info(
        'server_limit_named',
        backend_server=limit.server_id,
        requests_per_s=limit.per_s,
    )
