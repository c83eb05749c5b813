"""Builders for forwarded requests and their jobs."""

from __future__ import annotations

import dataclasses
import itertools
import json
import math
import random
from collections.abc import Callable, Collection, Iterator, Mapping

from features.builders_batch_platform import MemoryPlatform, MemoryStore
from guavadyke.adapters.peer_reads import PeerReads
from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendCall,
    BackendFault,
    BackendServerError,
    PeerMessenger,
    PeerNotice,
    ReportedLoad,
    StoredObject,
)
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.forward_job_api import JobApi, JobApiParts
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_store import JobStore
from guavadyke.controllers.host_abilities import HostAbilities
from guavadyke.controllers.item_run import ItemRunTools
from guavadyke.controllers.prompt_guard import PromptGuard
from guavadyke.controllers.server_limits import ServerLimits
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.controllers.stream_origins import StreamOrigins
from guavadyke.decisions.forward_job_records import AcceptedJob, ForwardItem
from guavadyke.decisions.forward_routes import (
    ForwardRoute,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from guavadyke.decisions.load_balancing import LoadBalancer
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.decisions.slot import HostLocation
from guavadyke.errors import PlatformUnavailableError
from guavadyke.filters.caller_watch import CallerWatch
from guavadyke.filters.forward_attempt import ForwardRequest, ForwardTools
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import ForwardSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

SERVICE = 'puddles'
ZONE = 'south-a'
LOOPBACK = '127.0.0.1'
OTHER_ZONE = 'south-b'
DEADLINE_S = 5.0
OBJECTIVE_S = 0.3
EVENTS = 6
NOW = 100.0
COUNT_VALID_S = 1.2


class ManualClock:
    """A clock that advances only by ``sleep`` and by setting ``now``."""

    def __init__(self, now: float = NOW) -> None:
        self.now = now

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


def server(
    name: str,
    *,
    zone: str = ZONE,
    leaving: bool = False,
    slots: int = 8,
) -> ListedServer:
    """Return a backend server."""
    return ListedServer(
        name, SERVICE, f'10.0.0.{name[-1]}:80', zone, slots, leaving
    )


def server_body(one: ListedServer) -> bytes:
    """Return the entry of a server as ``decode_server`` reads it."""
    return json.dumps(dataclasses.asdict(one)).encode()


def decode_server(stored: StoredObject) -> ListedServer | None:
    """Decode an entry that ``server_body`` encoded."""
    return ListedServer(**json.loads(stored.body))


def server_object(one: ListedServer, version: int = 1) -> StoredObject:
    """Return a server's entry as a platform object."""
    return StoredObject('servers', one.server_id, version, server_body(one))


@dataclasses.dataclass(frozen=True)
class AnnouncedCount:
    """A count that a host announces for a server at a time in seconds."""

    host_id: str
    count: int
    at: float


def random_counts(hosts: int, seed: int) -> list[AnnouncedCount]:
    """Return counts of hosts in order of time, some at the same time."""
    rng = random.Random(seed)
    delays = rng.choices((0, 0.03, 0.1, 1.3), (6, 20, 10, 1), k=1000)
    return [
        AnnouncedCount(f'host-{rng.randrange(hosts)}', rng.randrange(4), at)
        for at in itertools.accumulate(delays, initial=NOW)
    ]


def load_balancer(host_id: str, seed: int) -> LoadBalancer:
    """Return the load balancer of a host in ``ZONE``."""
    return LoadBalancer(HostLocation(host_id, ZONE), random.Random(seed))


def pool(
    servers: tuple[ListedServer, ...],
    clock: ManualClock | None = None,
) -> ServerPool:
    """Return a server pool that lists these servers."""
    server_pool = ServerPool(
        HostLocation('host-1', ZONE),
        decode_server,
        clock or ManualClock(),
        random.Random(3),
        EventLogger(),
    )
    server_pool.replace(tuple(map(server_object, servers)), after_outage=False)
    return server_pool


def route(
    kind: RouteKind = RouteKind.streamed,
    *,
    resumable: bool = False,
    max_attempts: int = 2,
    waiting_tokens: int = 0,
    abandon_after_s: float = 0,
) -> ForwardRoute:
    """Return a route to the one service."""
    return ForwardRoute(
        name='replies',
        host='reports.example',
        path_prefix='/reply/',
        kind=kind,
        timeout_s=DEADLINE_S,
        shares=(ServiceShare(SERVICE, 1),),
        target_latency_s=OBJECTIVE_S,
        max_attempts=max_attempts,
        resumable=resumable,
        waiting_tokens=waiting_tokens,
        abandon_after_s=abandon_after_s,
    )


def table(*routes: ForwardRoute, version: int = 1) -> RouteTable:
    """Return a routing table of these routes."""
    return RouteTable(version, routes)


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f'id: {number}\ndata: word {number}\n\n'.encode()


def stream(first: int = 1, last: int = EVENTS) -> bytes:
    """Return the events from ``first`` to ``last``, both included."""
    return b''.join(map(event, range(first, last + 1)))


@dataclasses.dataclass(frozen=True)
class Scripted:
    """What a fake server does with one call.

    ``sent`` is the number of the last event sent before ``fault``; None
    for all events, or for a fault before the answer.
    """

    status: int = 200
    fault: BackendFault | None = None
    not_run: bool = False
    disconnected: bool = False
    sent: int | None = None
    body: bytes = b''
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


class FakeAnswer:
    """An answer that follows a script."""

    def __init__(self, script: Scripted, call: BackendCall) -> None:
        self.status = script.status
        self.headers = {'content-type': 'text/event-stream', **script.headers}
        self.cancelled = False
        self._script = script
        self._after = call.last_event_id

    def chunks(self) -> Iterator[bytes]:
        if self._script.body:
            yield self._script.body
            return
        last = EVENTS if self._script.sent is None else self._script.sent
        for number in range(self._after + 1, last + 1):
            yield event(number)
        if self._script.fault is not None:
            raise BackendServerError(
                self._script.fault,
                'the stream broke',
                not_run=False,
                disconnected=self._script.disconnected,
            )

    def cancel(self) -> None:
        self.cancelled = True


class FakeServers:
    """Backend servers that follow a script per call; default is success."""

    def __init__(self, *scripts: Scripted) -> None:
        self.scripts = list(scripts)
        self.calls: list[BackendCall] = []
        self.answers: list[FakeAnswer] = []

    def send(self, call: BackendCall) -> BackendAnswer:
        self.calls.append(call)
        script = self.scripts.pop(0) if self.scripts else Scripted()
        if script.fault is not None and script.sent is None:
            raise BackendServerError(
                script.fault,
                'scripted',
                not_run=script.not_run,
                disconnected=script.disconnected,
            )
        answer = FakeAnswer(script, call)
        self.answers.append(answer)
        return answer

    def load(self, address: str, timeout_s: float) -> ReportedLoad:
        raise NotImplementedError(address)


def prompt_guard(
    host_id: str = 'host-1', clock: ManualClock | None = None
) -> PromptGuard:
    """Return the prompt guard of a host that knows no other host."""
    return PromptGuard(
        host_id,
        SnapshotCell(FleetSnapshot()),
        clock or ManualClock(),
        EventLogger(),
    )


class RecordingLogger(EventLogger):
    """Keeps the events instead of writing them."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[tuple[str, dict[str, object]]] = []

    def info(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def warning(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def error(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    def named(self, event: str) -> list[dict[str, object]]:
        """Return the fields of the events of one name."""
        return [fields for name, fields in self.events if name == event]


class SilentPeerReads(PeerReads):
    """Reads from hosts that never answer."""

    def __init__(self) -> None:
        """Make no calls."""

    def read(self, address: str, kind: str, name: str) -> StoredObject | None:
        """Get no answer."""
        raise PlatformUnavailableError(f'{address} does not answer')


class SilentMessenger:
    """A messenger whose notices reach nobody."""

    def send(self, host_id: str, notice: PeerNotice) -> None:
        """Lose the notice."""

    def send_all(self, host_ids: Collection[str], notice: PeerNotice) -> None:
        """Lose the notice."""

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Receive nothing."""


def server_limits() -> ServerLimits:
    """Return the limits of servers on a host that knows no other host."""
    return ServerLimits(
        'host-1',
        SnapshotCell(FleetSnapshot()),
        SilentMessenger(),
        ManualClock(),
        EventLogger(),
    )


def host_abilities(
    name: str, fleet: SnapshotCell[FleetSnapshot]
) -> HostAbilities:
    """Return what a host that can run items hears when no other tells it."""
    return HostAbilities(
        name, fleet, SilentMessenger(), ManualClock(), EventLogger()
    )


def stream_origins(server_pool: ServerPool) -> StreamOrigins:
    """Return the origins of streams on a host that knows no other host.

    It has known for long which software versions the servers have.
    """
    origins = StreamOrigins(
        HostLocation('host-1', ZONE),
        SnapshotCell(FleetSnapshot()),
        SilentMessenger(),
        lambda _service, _software: True,
        ManualClock(),
        EventLogger(),
    )
    origins.servers_listed(server_pool._listed_servers)
    origins.recall({}, -math.inf)
    return origins


def item_run_tools(
    server_pool: ServerPool, clock: ManualClock | None = None
) -> ItemRunTools:
    """Return the dependencies of runs of items."""
    return ItemRunTools(
        server_pool,
        prompt_guard(),
        server_limits(),
        clock or ManualClock(),
        SnapshotCell(RouteTable()),
    )


def tools(servers: FakeServers, server_pool: ServerPool) -> ForwardTools:
    """Return the dependencies of forwarded requests."""
    return ForwardTools(
        ForwardSettings(),
        ManualClock(),
        servers,
        server_pool,
        prompt_guard(),
        stream_origins(server_pool),
        server_limits(),
        CallerWatch(),
        HostMetrics(),
        EventLogger(),
    )


def request(
    request_id: str = 'request-1', prompt_parts: tuple[str, ...] = ()
) -> ForwardRequest:
    """Return a request whose deadline is ``DEADLINE_S`` away."""
    return ForwardRequest(
        request_id=request_id,
        method='POST',
        target='/reply/1?x=%20y',
        headers={'Host': 'reports.example'},
        body=b'text',
        received_at=NOW,
        deadline=NOW + DEADLINE_S,
        abandoned=bool,
        prompt_parts=prompt_parts,
    )


def item(number: int, tokens: int = 100) -> ForwardItem:
    """Return an item of a job."""
    return ForwardItem(
        f'item-{number}',
        f'/reply/{number}',
        {'Model': 'm'},
        f'body {number}'.encode(),
        tokens,
    )


def job(
    job_id: str = 'job-1',
    *,
    items: int = 3,
    owner: str = 'host-1',
    accepted_at: float = NOW,
) -> AcceptedJob:
    """Return an accepted job."""
    return AcceptedJob(
        job_id,
        'replies',
        'reports.example',
        accepted_at,
        owner,
        tuple(map(item, range(items))),
    )


def settled(store: MemoryStore) -> WriteConfirmingStore:
    """Return a store that confirms the outcomes of its writes."""
    return WriteConfirmingStore(store, ManualClock(), random.Random(5))


@dataclasses.dataclass
class JobHost:
    """A host's link to the platform with its job store and API."""

    link: MemoryStore
    store: JobStore
    registry: JobRegistry
    fleet: SnapshotCell[FleetSnapshot]
    clock: ManualClock = dataclasses.field(default_factory=ManualClock)
    sure: bool = True
    job_api: JobApi = dataclasses.field(init=False)

    def catch_up(self) -> None:
        """Load all platform objects into the registry."""
        for kind, sink in (
            ('forward-jobs', self.registry.jobs),
            ('forward-progress', self.registry.progress),
        ):
            listing = settled(self.link).list_objects(kind)
            sink.replace(listing.objects, after_outage=False)


def job_host(
    platform: MemoryPlatform,
    name: str = 'host-1',
    messenger: PeerMessenger | None = None,
    peer_reads: PeerReads | None = None,
) -> JobHost:
    """Return a host on a platform, alone without a messenger."""
    link = MemoryStore(platform)
    store = JobStore(settled(link))
    registry = JobRegistry(_ignore_change, EventLogger())
    fleet = SnapshotCell(FleetSnapshot())
    host = JobHost(link, store, registry, fleet)
    parts = JobApiParts(
        name,
        registry,
        store,
        fleet,
        host_abilities(name, fleet),
        messenger or SilentMessenger(),
        host.clock,
        EventLogger(),
        HostMetrics(),
        peer_reads or SilentPeerReads(),
        lambda: host.sure,
    )
    host.job_api = JobApi(parts)
    return host


def _ignore_change() -> None:
    """Do nothing when the registry changes."""
