"""One attempt to forward a request to one backend server."""

from __future__ import annotations

import dataclasses
import functools
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
from guavadyke.controllers.prompt_guard import GuardedRun, PromptGuard
from guavadyke.controllers.server_limits import ServerLimits
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.controllers.stream_origins import StreamOrigins
from guavadyke.decisions.answer_pace import AnswerPace
from guavadyke.decisions.first_event_times import FirstEventTimes
from guavadyke.decisions.forward_routes import ForwardRoute, RouteKind
from guavadyke.decisions.prompt_quarantine import whole_request
from guavadyke.decisions.request_cost import NO_SIZE, RequestSize
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.decisions.teams import Team
from guavadyke.filters.caller_watch import CallerWatch
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import ForwardSettings

_OK = 200


@dataclasses.dataclass(frozen=True)
class ForwardRequest:
    """A request to forward to backend servers.

    ``target`` is the path with its query as received; ``received_at`` and
    ``deadline`` are seconds of the monotonic clock; ``abandoned`` returns
    whether the caller has left; ``last_event_id`` is the event after which
    the caller resumes a stream, 0 for its start; ``prompt_parts`` are the ids
    of the parts of its prompt that other requests may share, in order;
    ``fingerprint`` is the same for all repetitions of the request;
    ``began_as`` is the id of the request that brought the first event of a
    stream that the caller resumes, empty if the caller names none; ``team``
    is the team whose key it carries, None for none; ``size`` is what it states
    of its size.
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
    prompt_parts: tuple[str, ...] = ()
    fingerprint: str = ''
    began_as: str = ''
    team: Team | None = None
    size: RequestSize = NO_SIZE

    @property
    def stream_id(self) -> str:
        """Id of the request that brings, or has brought, the first event."""
        if self.last_event_id and self.began_as:
            return self.began_as
        return self.request_id

    def is_over(self, now: float) -> bool:
        """Return whether its deadline has passed or its caller has left."""
        return now >= self.deadline or self.abandoned()

    @property
    def suspect_parts(self) -> tuple[str, ...]:
        """What may crash a server: shared parts and the request itself."""
        if not self.fingerprint:
            return self.prompt_parts
        return (*self.prompt_parts, whole_request(self.fingerprint))

    @property
    def team_name(self) -> str:
        """Name of its team, empty for none."""
        return '' if self.team is None else self.team.name

    @property
    def prompt_key(self) -> str:
        """Equal for requests whose prompts have all these parts in common."""
        return ','.join(self.prompt_parts)


@dataclasses.dataclass(frozen=True)
class ForwardTools:
    """Settings and services that all forwarded requests of a host share."""

    settings: ForwardSettings
    clock: Clock
    servers: BackendServers
    pool: ServerPool
    prompts: PromptGuard
    origins: StreamOrigins
    limits: ServerLimits
    watch: CallerWatch
    metrics: HostMetrics
    logger: EventLogger
    first_event_times: FirstEventTimes = dataclasses.field(
        default_factory=FirstEventTimes
    )


class ForwardAttempt:
    """One attempt, which holds a lease of a server until it ends.

    Args:
        request: the request.
        route: the route of the request.
        lease: lease of the backend server to use.
        cancellation: cancels the call.
        tools: settings, clock and services that all requests share.
        may_fail_over: whether another server may be tried after this one,
            and there is one.

    Attributes:
        pace: tells since when its answer makes no progress.
        left_silent: whether it ended only because its server was silent.
    """

    def __init__(
        self,
        request: ForwardRequest,
        route: ForwardRoute,
        lease: ServerLease,
        cancellation: CallCancellation,
        tools: ForwardTools,
        *,
        may_fail_over: bool,
    ) -> None:
        self._may_fail_over = may_fail_over
        self._request = request
        self._route = route
        self._lease = lease
        self._cancellation = cancellation
        self._tools = tools
        self._holds_lease = True
        self._started = False
        self._guarded = GuardedRun(
            tools.prompts, request.suspect_parts, tools.clock
        )
        # Without queued requests ahead the server starts at once.
        queued = tools.pool.wait_estimator.queued_requests(lease) > 0
        self._service_began_at = None if queued else lease.taken_at
        self._answer: BackendAnswer | None = None
        self._resumed_after = 0
        self.pace = AnswerPace(
            lease.taken_at, streamed=route.kind is RouteKind.streamed
        )
        self.left_silent = False

    @property
    def server_id(self) -> str:
        """Id of the server."""
        return self._lease.server.server_id

    @property
    def software(self) -> str:
        """Version of the server's software."""
        return self._lease.server.software

    def send(
        self, wait_longer_s: Callable[[], float], last_event_id: int = 0
    ) -> BackendAnswer:
        """Send the request and wait for the response head.

        Args:
            wait_longer_s: called while the server is silent for longer than
                usual; returns for how many seconds more to wait, 0 to leave.
            last_event_id: event after which a stream goes on.

        Raises:
            BackendServerError: the server sent no response.
        """
        self._resumed_after = last_event_id
        if last_event_id and self._lease.placed is not None:
            self._lease.placed.resumed = True
        remaining_s = self._request.deadline - self._tools.clock.monotonic()
        answer = self._tools.servers.send(
            BackendCall(
                request_id=self._request.request_id,
                address=self._lease.server.address,
                method=self._request.method,
                path=self._request.target,
                headers=self._request.headers,
                body=self._request.body,
                connect_timeout_s=min(
                    remaining_s,
                    self._tools.settings.connect_timeout_s,
                ),
                first_byte_timeout_s=self._first_byte_timeout_s(remaining_s),
                gap_timeout_s=remaining_s,
                cancellation=self._cancellation,
                server_id=self.server_id,
                deadline_s=remaining_s,
                last_event_id=last_event_id,
                observe_limit=self._tools.limits.observer(self._lease.server),
                observe_leaving=functools.partial(
                    self._tools.pool.said_leaving, self._lease.server
                ),
                observe_data=self._record_data,
                wait_longer_s=wait_longer_s,
                team=self._request.team_name,
            ),
        )
        self.pace.record_event(self._tools.clock.monotonic())
        self._answer = answer
        return answer

    def silent_s(self, now: float) -> float:
        """Return for how long an answer that has begun makes no progress."""
        return 0 if self._answer is None else self.pace.idle_s(now)

    def leave_silent(self) -> None:
        """Cancel the call, so that the request goes on at another server.

        A call without an answer ends by what ``wait_longer_s`` returns.
        """
        self.left_silent = True
        answer = self._answer
        if answer is not None:
            answer.cancel()

    def record_event(self) -> None:
        """Record an event of the answer; the first one shows the start."""
        self._guarded.progressed()
        now = self._tools.clock.monotonic()
        self.pace.record_event(now)
        if self._lease.placed is not None:
            self._lease.placed.record_event(now)
        if self._started:
            return
        self._started = True
        if self._service_began_at is None:
            self._service_began_at = now
        first_event_s = now - self._lease.taken_at
        self._tools.first_event_times.record(self._route.name, first_event_s)
        self._tools.logger.info(
            'request_started',
            request_id=self._request.request_id,
            route=self._route.name,
            backend_server=self.server_id,
            software=self.software,
            resumed_after=self._resumed_after,
            began_as=self._request.began_as,
            fingerprint=self._request.fingerprint,
            prompt_parts=self._request.prompt_key,
            online_before=self._lease.online_before,
            batch_before=self._lease.batch_before,
            first_event_s=round(first_event_s, 3),
            since_received_s=round(now - self._request.received_at, 3),
        )

    def done(self) -> None:
        """Release the lease after a complete answer.

        The service time goes into the wait estimates.
        """
        if self._answer is not None and self._answer.status == _OK:
            self._guarded.completed()
            if self._lease.placed is not None:
                self._lease.placed.completed = True
        self._answer = None
        if self._service_began_at is not None:
            service_s = self._tools.clock.monotonic() - self._service_began_at
            self._tools.pool.wait_estimator.record_service_time(
                self._lease, service_s
            )
        self._release_lease(None)

    def cause(self, error: BackendServerError) -> BackendServerError:
        """Return why the attempt failed, given how its call has ended."""
        if not self.left_silent:
            return error
        return BackendServerError(
            BackendFault.silent,
            f'{self._lease.server.address} fell silent',
            not_run=False,
        )

    def failed(self, error: BackendServerError) -> None:
        """Release the lease after a failure."""
        if error.not_run:
            self._tools.prompts.trials.not_run(self._lease)
        if (
            self._holds_lease
            and error.disconnected
            and not self._cancellation.cancelled
        ):
            self._guarded.disconnected(self._lease.server.incarnation)
        self._release_lease(self._fault_of(error))

    def close(self) -> None:
        """Cancel an unfinished call and release the lease.

        An unfinished call tells nothing about the health of the server.
        """
        if self._answer is not None:
            self._answer.cancel()
        self._release_lease(BackendFault.refused)

    def _first_byte_timeout_s(self, remaining_s: float) -> float:
        """Return the timeout for the first byte in seconds.

        If another server may be tried and this one has no known queue, it
        is a share of the route's latency target, or more where first events
        usually take long; otherwise it is the time left until the deadline.
        """
        if (
            not self._may_fail_over
            or self._tools.pool.wait_estimator.queued_requests(self._lease)
        ):
            return remaining_s
        return min(remaining_s, self._patience_s() or remaining_s)

    def _patience_s(self) -> float:
        """Return the usual time for a first byte in seconds, 0 if unknown."""
        share = self._tools.settings.patience_share
        target_s = self._route.target_latency_s
        return target_s and self._tools.first_event_times.patience_s(
            self._route.name, share * target_s
        )

    def _record_data(self, count: int) -> None:
        self.pace.record_bytes(count, self._tools.clock.monotonic())
        self._tools.pool.others.heard(self.server_id)

    def _fault_of(self, error: BackendServerError) -> BackendFault:
        """Return what a failure tells of the health of the server."""
        if self._cancellation.cancelled:
            return BackendFault.refused
        now = self._tools.clock.monotonic()
        had_short_time = (
            self.left_silent
            or now - self._lease.taken_at < self._patience_s()
            or (self._may_fail_over and now < self._request.deadline)
        )
        if error.fault is BackendFault.silent and had_short_time:
            # The server may only be busy.
            return BackendFault.broken
        return error.fault

    def _release_lease(self, fault: BackendFault | None) -> None:
        if self._holds_lease:
            self._holds_lease = False
            self._tools.prompts.trials.runs.ended(self._lease)
            self._tools.pool.release(self._lease, fault)
