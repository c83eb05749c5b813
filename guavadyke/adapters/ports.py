"""Ports: what the system asks of the outside, each with narrow methods."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from guavadyke.adapters.cancellation import CallCancellation


class Clock(Protocol):
    """Time as one host sees it."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        ...

    def wall(self) -> float:
        """Return seconds since the epoch, for due times and records."""
        ...

    def sleep(self, seconds: float) -> None:
        """Block the calling thread."""
        ...


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One object as the platform holds it.

    Versions are the platform's revisions: they rise over all objects.
    ``writers`` are the nonces of the last writes, the newest first; they
    are empty where nonces have not been read from the body.
    """

    kind: str
    name: str
    version: int
    body: bytes
    writers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ObjectEvent:
    """A change that a watch reports; ``current`` is None after a delete."""

    name: str
    version: int
    current: StoredObject | None


@dataclasses.dataclass(frozen=True)
class ObjectListing:
    """A page of objects in the order of their names.

    ``revision`` is the platform's revision as of the page; ``more`` says
    whether objects follow after the last one.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    more: bool


@dataclasses.dataclass(frozen=True)
class WatchAnswer:
    """Events after a revision; ``expired`` asks for a new full list."""

    revision: int
    events: tuple[ObjectEvent, ...]
    expired: bool = False


@dataclasses.dataclass(frozen=True)
class ListedHost:
    """A host on the platform's lagging list.

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

    Every method may raise ``PlatformUnavailableError`` (no effect) and,
    if it writes, ``PlatformOutcomeUnknownError`` (the answer was lost).
    """

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None when it is absent."""
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
        """Return objects whose names start with ``prefix``, by name."""
        ...

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        """Create the object.

        Raises:
            ObjectConflictError: it exists already.
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
        """Return the list of live and leaving hosts; it lags."""
        ...


class BackendFault(enum.Enum):
    """How an attempt at a backend server ended badly."""

    not_reached = 'not_reached'
    refused = 'refused'
    broken = 'broken'
    silent = 'silent'
    crossed = 'crossed'


class BackendServerError(Exception):
    """An attempt at a backend server failed.

    Args:
        fault: how it failed.
        message: one sentence for a person.
        not_run: True only with proof that the request did not run.
    """

    def __init__(
        self,
        fault: BackendFault,
        message: str,
        *,
        not_run: bool,
    ) -> None:
        super().__init__(message)
        self.fault = fault
        self.message = message
        self.not_run = not_run


@dataclasses.dataclass(frozen=True)
class BackendCall:
    """One request to one backend server.

    ``path`` starts with a slash. Timeouts are in seconds. ``fresh`` asks
    for a new connection, as retries and non-idempotent calls do. The
    adapter binds ``cancellation`` to the connection before it sends.
    ``server_id`` names the only server that may run the request;
    ``deadline_s`` is what is left of its deadline, 0 without one;
    ``last_event_id`` is the event after which a stream goes on.
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


class BackendAnswer(Protocol):
    """An answer whose body arrives in pieces."""

    @property
    def status(self) -> int:
        """HTTP status."""
        ...

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers, names in lower case."""
        ...

    def chunks(self) -> Iterator[bytes]:
        """Yield pieces of the body as they arrive.

        Raises:
            BackendServerError: the body broke off or went silent.
        """
        ...

    def cancel(self) -> None:
        """Close the connection, which frees the backend server's slot."""
        ...


@dataclasses.dataclass(frozen=True)
class ReportedLoad:
    """What an engine or service reports of itself, late.

    ``age_s`` is the age of the report; ``serves`` names loaded entries.
    """

    running: int
    waiting: int
    slots: int
    leaving: bool
    age_s: float
    serves: tuple[str, ...] = ()


class BackendServers(Protocol):
    """Calls to engines and plain services."""

    def send(self, call: BackendCall) -> BackendAnswer:
        """Send the request and wait for the head of the answer.

        Raises:
            BackendServerError: there is no answer to this request.
        """
        ...

    def load(self, address: str, timeout_s: float) -> ReportedLoad:
        """Ask a backend server for its own report.

        Raises:
            BackendServerError: it does not answer.
        """
        ...


@dataclasses.dataclass(frozen=True)
class LimitDemand:
    """What one host wants of a limit, in the limit's unit.

    ``in_use`` is what cannot be given back at once. The grant that
    answers it carries the same ``sequence``.
    """

    limit_name: str
    demand: float
    sequence: int = 0
    in_use: float = 0


@dataclasses.dataclass(frozen=True)
class LimitGrant:
    """The share of a limit that a host may use for ``valid_s`` seconds.

    They count from the sending of the demand with this ``sequence``.
    """

    limit_name: str
    share: float
    valid_s: float
    sequence: int = 0


@dataclasses.dataclass(frozen=True)
class OnlineCount:
    """Online requests of one host at one backend server."""

    backend_id: str
    in_flight: int
    queued: int


@dataclasses.dataclass(frozen=True)
class BatchCount:
    """Batch items that the sending host has at one backend server."""

    backend_id: str
    in_flight: int


@dataclasses.dataclass(frozen=True)
class PeerNotice:
    """What one entry host tells another outside membership."""

    demands: tuple[LimitDemand, ...] = ()
    grants: tuple[LimitGrant, ...] = ()
    counts: tuple[OnlineCount, ...] = ()
    batch_counts: tuple[BatchCount, ...] = ()


class PeerMessenger(Protocol):
    """Notices between entry hosts: unordered, may be lost or doubled."""

    def send(self, host_id: str, notice: PeerNotice) -> None:
        """Send a notice and do not wait; an unknown host is ignored."""
        ...

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Call ``receive`` with the sender's host id for each notice."""
        ...


@dataclasses.dataclass(frozen=True)
class ItemCall:
    """One batch item that is to run now.

    ``partial`` is text that an earlier, preempted run has produced.
    ``due`` is seconds since the epoch.
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
    """How a run of an item ended.

    ``rejected`` is the backend server's final word on the item; ``retry``
    is a fault that another attempt may not meet and that counts as an
    attempt; ``not_run`` and ``preempted`` count as none; ``unknown`` means
    that it may have run; ``cancelled`` follows from the caller's wish.
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
    """The end of a run of an item; ``response`` is the answer's JSON."""

    end: ItemEnd
    response: object = None
    reason: str = ''
    partial: str = ''


class Cancellation(Protocol):
    """Tells a run that its job was cancelled or its lease is running out."""

    def is_set(self) -> bool:
        """Return whether the run has to end."""
        ...


class ItemRunner(Protocol):
    """Runs batch items on capacity that online requests leave idle."""

    def run(self, call: ItemCall, cancellation: Cancellation) -> ItemResult:
        """Run one item; blocks until it ends or is preempted."""
        ...

    def capacity(self, entry_name: str) -> int:
        """Return how many more items of the entry may start here now."""
        ...
