"""One attempt to forward a request to one backend server."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

from guavadyke.adapters.cancellation import CallCancellation
from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendCall,
    BackendFault,
    BackendServerError,
    BackendServers,
    Clock,
)
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.forward_routes import ForwardRoute
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.filters.caller_watch import CallerWatch
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import ForwardSettings


@dataclasses.dataclass(frozen=True)
class ForwardRequest:
    """A request as it goes on to backend servers.

    ``target`` is path and query as they came; ``received_at`` and
    ``deadline`` are seconds of the monotonic clock; ``last_event_id`` is
    the event after which the caller wants a stream, 0 for its start;
    ``prompt_key`` is equal for requests whose prompts share parts.
    """

    request_id: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    received_at: float
    deadline: float
    abandoned: Callable[[], bool]
    last_event_id: int = 0
    prompt_key: str = ''


@dataclasses.dataclass(frozen=True)
class ForwardTools:
    """What all forwarded requests of a host share."""

    settings: ForwardSettings
    clock: Clock
    servers: BackendServers
    pool: ServerPool
    watch: CallerWatch
    metrics: HostMetrics
    logger: EventLogger


class Attempt:
    """An attempt that holds a place at a server until it ends.

    Args:
        request: the request.
        route: its route.
        lease: the place.
        cancellation: ends the call from outside.
        tools: what requests share.
        hurried: whether another server may be tried after this one.
    """

    def __init__(
        self,
        request: ForwardRequest,
        route: ForwardRoute,
        lease: ServerLease,
        cancellation: CallCancellation,
        tools: ForwardTools,
        *,
        hurried: bool,
    ) -> None:
        self._hurried = hurried
        self._request = request
        self._route = route
        self._lease = lease
        self._cancellation = cancellation
        self._tools = tools
        self._held = True
        # A place without a queue is held from the start.
        queued = tools.pool.waits.queued_requests(lease) > 0
        self._began_at = None if queued else lease.taken_at
        self._answer: BackendAnswer | None = None

    @property
    def server_id(self) -> str:
        """Id of the server."""
        return self._lease.server.server_id

    def send(self, last_event_id: int = 0) -> BackendAnswer:
        """Send the request and wait for the head of the answer.

        Raises:
            BackendServerError: there is no answer to this request.
        """
        left_s = self._request.deadline - self._tools.clock.monotonic()
        gap_s = left_s
        if self._route.repeatable:
            gap_s = min(left_s, self._tools.settings.silence_s)
        self._answer = self._tools.servers.send(
            BackendCall(
                request_id=self._request.request_id,
                address=self._lease.server.address,
                method=self._request.method,
                path=self._request.target,
                headers=self._request.headers,
                body=self._request.body,
                connect_timeout_s=min(
                    left_s,
                    self._tools.settings.connect_timeout_s,
                ),
                first_byte_timeout_s=self._patience_s(left_s),
                gap_timeout_s=gap_s,
                cancellation=self._cancellation,
                server_id=self.server_id,
                deadline_s=left_s,
                last_event_id=last_event_id,
            ),
        )
        return self._answer

    def began(self) -> None:
        """Note that the server has begun to answer."""
        if self._began_at is None:
            self._began_at = self._tools.clock.monotonic()

    def done(self) -> None:
        """Give the place back after a whole answer."""
        self._answer = None
        if self._began_at is not None:
            held_s = self._tools.clock.monotonic() - self._began_at
            self._tools.pool.waits.record_service_time(self._lease, held_s)
        self._give_back(None)

    def failed(self, error: BackendServerError) -> None:
        """Give the place back after a fault."""
        self._give_back(error)

    def close(self) -> None:
        """End the attempt whatever it is at; the server is set free."""
        if self._answer is not None:
            self._answer.cancel()
        self._give_back(None)

    def _patience_s(self, left_s: float) -> float:
        """Return how long the first byte may take, in seconds.

        It is short where another server may be tried and this one is not
        known to have a queue.
        """
        if not self._hurried or self._tools.pool.waits.queued_requests(
            self._lease
        ):
            return left_s
        share = self._tools.settings.patience_share
        objective_s = self._route.target_latency_s
        return min(left_s, share * objective_s) if objective_s else left_s

    def _give_back(self, error: BackendServerError | None) -> None:
        if not self._held:
            return
        self._held = False
        # A call that was ended from outside says nothing of the server.
        blamed = error is not None and not self._cancellation.cancelled
        fault = error.fault if error is not None and blamed else None
        if fault is BackendFault.silent and self._hurried:
            # The server was given little time and may just be busy.
            fault = BackendFault.broken
        self._tools.pool.give_back(self._lease, fault)
