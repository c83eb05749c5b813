"""Interfaces to external systems and the types that they exchange."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import Protocol

from guavadyke.adapters.cancellation import CallCancellation
from guavadyke.decisions.fault_reports import ServerFault
from guavadyke.decisions.host_abilities import HostAbility
from guavadyke.decisions.request_permits import Permit, PermitRequest
from guavadyke.decisions.stream_origins import StreamOrigin
from guavadyke.decisions.team_allowances import (
    AllowancePermit,
    AllowanceRequest,
)


class Clock(Protocol):
    """Clock of one host."""

    def monotonic(self) -> float:
        """Return monotonic seconds."""
        ...

    def wall(self) -> float:
        """Return seconds since the epoch, for due times and stored records."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block the calling thread."""
        ...


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One object as stored on the platform.

    A version is the platform's revision at the object's last write; the
    revision increases with every write to any object. ``writers`` holds
    the nonces of the last writes, newest first; it is empty if the nonces
    have not been parsed from the body.
    """

    kind: str
    name: str
    version: int
    # The configuration contains keys, which no representation may show.
    body: bytes = dataclasses.field(repr=False)
    writers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ObjectEvent:
    """A change reported by a watch; ``current`` is None after a delete."""

    name: str
    version: int
    current: StoredObject | None


@dataclasses.dataclass(frozen=True)
class ObjectListing:
    """A page of objects, ordered by name.

    ``revision`` is the platform's revision at the time of the page;
    ``more`` is True if there are objects after the last one.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    more: bool


@dataclasses.dataclass(frozen=True)
class WatchAnswer:
    """Events after a revision.

    ``expired`` is True if the platform no longer has the events; the caller
    then has to list all objects again.
    """

    revision: int
    events: tuple[ObjectEvent, ...]
    expired: bool = False


@dataclasses.dataclass(frozen=True)
class ListedHost:
    """A host on the platform's host list, which lags behind.

    ``role`` is ``entry`` or ``backend``; ``address`` is IP:PORT of the
    peer port for an entry host and of the server for a backend server.
    """

    host_id: str
    role: str
    zone: str
    address: str
    leaving: bool


class PlatformStore(Protocol):
    """The platform's object API.

    Every method may raise ``PlatformUnavailableError``: the call had no
    effect. A write may also raise ``PlatformOutcomeUnknownError``: the
    answer was lost, so the write may have taken effect.
    """

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        ...

    def list_objects(
        self,
        kind: str,
        *,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
        bodies: bool = True,
    ) -> ObjectListing:
        """Return a page of objects whose names start with ``prefix``.

        The page holds up to ``limit`` objects, ordered by name, that come
        after the name ``after``. Without ``bodies`` their bodies are empty.
        """
        ...

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        """Create the object.

        Raises:
            ObjectConflictError: the object exists already.
        """
        ...

    def update(
        self,
        kind: str,
        name: str,
        body: bytes,
        version: int,
    ) -> StoredObject:
        """Replace the object if it still has ``version``.

        Raises:
            ObjectConflictError: it has another version or is absent.
        """
        ...

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object if it still has ``version``.

        Raises:
            ObjectConflictError: it has another version or is absent.
        """
        ...

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Wait up to ``wait_s`` seconds for changes after ``revision``."""
        ...

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return the live and leaving hosts; the list lags behind."""
        ...


class BackendFault(enum.Enum):
    """Why a call to a backend server failed.

    ``not_reached``: no connection; ``refused``: the server rejected the
    request; ``broken``: the connection broke or the answer was malformed;
    ``silent``: a timeout; ``crossed``: the answer belongs to another request.
    """

    not_reached = 'not_reached'
    refused = 'refused'
    broken = 'broken'
    silent = 'silent'
    crossed = 'crossed'


class BackendServerError(Exception):
    """A call to a backend server failed.

    Args:
        fault: why it failed.
        message: human-readable description.
        not_run: True only if it is certain that the request did not run.
        disconnected: whether the connection ended before the answer did, as
            it does when the server ends.
    """

    def __init__(
        self,
        fault: BackendFault,
        message: str,
        *,
        not_run: bool,
        disconnected: bool = False,
    ) -> None:
        super().__init__(message)
        self.fault = fault
        self.message = message
        self.not_run = not_run
        self.disconnected = disconnected


@dataclasses.dataclass(frozen=True)
class BackendCall:
    """One request to one backend server.

    ``path`` starts with a slash. Timeouts are in seconds. ``fresh`` asks
    for a new connection, as retries and non-idempotent calls do. The
    adapter binds ``cancellation`` to the connection before it sends.
    ``server_id`` names the only server that may run the request;
    ``deadline_s`` is what is left of its deadline, 0 without one;
    ``last_event_id`` is the event after which a stream goes on. The adapter
    calls ``observe_limit`` with the requests a second that the server takes
    from all hosts, as its answer says; infinity if it names no limit. It
    calls ``observe_leaving`` for an answer in which the server says that it
    leaves, and ``observe_data`` with the bytes of each part of the body. While
    no byte of the answer has come in ``first_byte_timeout_s``, it calls
    ``wait_longer_s``, which returns for how many seconds more to wait, 0 to
    give the call up as silent; such a call may take ``gap_timeout_s`` to send.
    ``team`` names the team that the request belongs to, empty for none;
    ``names_team`` is whether the host states the team, so that the server gets
    no headers of the caller that do.
    """

    request_id: str
    address: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    connect_timeout_s: float
    first_byte_timeout_s: float
    gap_timeout_s: float
    fresh: bool = False
    cancellation: CallCancellation | None = None
    server_id: str = ''
    deadline_s: float = 0
    last_event_id: int = 0
    observe_limit: Callable[[float], object] | None = None
    observe_leaving: Callable[[], object] | None = None
    observe_data: Callable[[int], object] | None = None
    wait_longer_s: Callable[[], float] | None = None
    team: str = ''
    names_team: bool = False


class BackendAnswer(Protocol):
    """An answer whose body is read incrementally."""

    @property
    def status(self) -> int:
        """HTTP status code."""
        ...

    @property
    def headers(self) -> Mapping[str, str]:
        """Response headers; names are in lower case."""
        ...

    def chunks(self) -> Iterator[bytes]:
        """Yield pieces of the body as they arrive.

        Raises:
            BackendServerError: the body was truncated or stalled.
        """
        ...

    def cancel(self) -> None:
        """Close the connection, which frees the backend server's slot."""
        ...


@dataclasses.dataclass(frozen=True)
class ReportedLoad:
    """The load that an engine or service reports about itself.

    The report lags behind by ``age_s`` seconds. ``serves`` holds the names
    of the catalogue entries that are loaded.
    """

    running: int
    waiting: int
    slots: int
    leaving: bool
    age_s: float
    serves: tuple[str, ...] = ()


class BackendServers(Protocol):
    """Client for calls to engines and plain services."""

    def send(self, call: BackendCall) -> BackendAnswer:
        """Send the request and wait for the status line and headers.

        Raises:
            BackendServerError: the request failed, or the answer was rejected.
        """
        ...

    def load(self, address: str, timeout_s: float) -> ReportedLoad:
        """Fetch the load that a backend server reports about itself.

        Raises:
            BackendServerError: the call failed or the report is malformed.
        """
        ...


@dataclasses.dataclass(frozen=True)
class LimitDemand:
    """One host's demand for a share of a limit, in the limit's unit.

    ``in_use`` is the amount that the host cannot release at once. The grant
    that answers the demand has the same ``sequence``.
    """

    limit_name: str
    demand: float
    sequence: int = 0
    in_use: float = 0


@dataclasses.dataclass(frozen=True)
class LimitGrant:
    """The share of a limit that a host may use for ``valid_s`` seconds.

    The time starts when the demand with this ``sequence`` was sent.
    """

    limit_name: str
    share: float
    valid_s: float
    sequence: int = 0


@dataclasses.dataclass(frozen=True)
class OnlineCount:
    """Number of online requests that one host has at one backend server.

    ``work_ms`` is their remaining work in slot-milliseconds at a server of
    usual speed, None if the host does not report it.
    """

    backend_id: str
    in_flight: int
    queued: int
    work_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class BatchCount:
    """Number of batch items that one host has at one backend server."""

    backend_id: str
    in_flight: int


@dataclasses.dataclass(frozen=True)
class PeerNotice:
    """Message between entry hosts with what they tell and ask each other.

    It is independent of the membership protocol. ``stream_queries`` hold the
    ids of streams whose origins the sender asks for, ``ended_jobs`` those of
    cancelled jobs.
    """

    demands: tuple[LimitDemand, ...] = ()
    grants: tuple[LimitGrant, ...] = ()
    counts: tuple[OnlineCount, ...] = ()
    batch_counts: tuple[BatchCount, ...] = ()
    faults: tuple[ServerFault, ...] = ()
    permit_requests: tuple[PermitRequest, ...] = ()
    permits: tuple[Permit, ...] = ()
    stream_origins: tuple[StreamOrigin, ...] = ()
    stream_queries: tuple[StreamOrigin, ...] = ()
    abilities: tuple[HostAbility, ...] = ()
    ended_jobs: tuple[str, ...] = ()
    allowance_requests: tuple[AllowanceRequest, ...] = ()
    allowance_permits: tuple[AllowancePermit, ...] = ()


class PeerMessenger(Protocol):
    """Sends notices between entry hosts.

    Notices may arrive out of order, twice or not at all.
    """

    def send(self, host_id: str, notice: PeerNotice) -> None:
        """Send a notice without waiting; an unknown host is ignored."""
        ...

    def send_all(self, host_ids: Collection[str], notice: PeerNotice) -> None:
        """Send a notice to several hosts; it is encoded only once."""
        ...

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Call ``receive`` with the sender's host id for each notice."""
        ...


@dataclasses.dataclass(frozen=True)
class ItemCall:
    """One batch item to run.

    ``partial`` is the text produced by an earlier, preempted run. ``due``
    is in seconds since the epoch.
    """

    request_id: str
    job_id: str
    entry_name: str
    owner: str
    body: bytes
    idempotent: bool
    due: float
    timeout_s: float
    partial: str = ''


class ItemEnd(enum.Enum):
    """How a run of a batch item ended.

    ``rejected``: the backend server rejected the item permanently.
    ``retry``: a transient fault; the run counts as an attempt.
    ``not_run``, ``preempted``: the run does not count as an attempt.
    ``unknown``: the item may have run.
    ``cancelled``: the caller cancelled the job.
    """

    completed = 'completed'
    rejected = 'rejected'
    retry = 'retry'
    not_run = 'not_run'
    preempted = 'preempted'
    unknown = 'unknown'
    cancelled = 'cancelled'


@dataclasses.dataclass(frozen=True)
class ItemResult:
    """Result of a run of a batch item; ``response`` is the parsed JSON."""

    end: ItemEnd
    response: object = None
    reason: str = ''
    partial: str = ''


class Cancellation(Protocol):
    """Signals a run that its job was cancelled or its lease is about to end."""

    def is_set(self) -> bool:
        """Return whether the run has to stop."""
        ...


class ItemRunner(Protocol):
    """Runs batch items on capacity that online requests do not use."""

    def run(self, call: ItemCall, cancellation: Cancellation) -> ItemResult:
        """Run one item; block until it ends or is preempted."""
        ...

    def capacity(self, entry_name: str) -> int:
        """Return how many more items of the entry this host may start now."""
        ...
