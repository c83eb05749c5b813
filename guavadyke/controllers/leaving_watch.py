"""Detects leaving backend servers and applies operators' drain commands."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import CancelledError, ThreadPoolExecutor

import pykka

from guavadyke.adapters.ports import (
    BackendServerError,
    BackendServers,
    Clock,
    ListedHost,
)
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue import BackendServerEntry
from guavadyke.controllers.assignment import RendezvousAssignment
from guavadyke.controllers.catalogue_edits import (
    CatalogueEdit,
    CatalogueEditor,
    EditAuthor,
    EditCondition,
)
from guavadyke.controllers.membership_messages import (
    ContactAddresses,
    LeavingObservations,
)
from guavadyke.decisions.leaving_servers import (
    LeavingMark,
    LeavingObservation,
    LeavingSource,
)
from guavadyke.errors import GuavadykeError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell

_POLL_INTERVAL_S = 1.0
_HOST_LIST_INTERVAL_S = 20.0
_LOAD_TIMEOUT_S = 0.5
_POLL_THREADS = 8
_HOST_LIST_KEY = 'host-list'
# When the host closes, the pool and the actor may end before this thread.
_POLL_ERRORS = (
    GuavadykeError,
    RuntimeError,
    CancelledError,
    pykka.ActorDeadError,
)


@dataclasses.dataclass(frozen=True)
class LeavingDependencies:
    """Dependencies of the watch and of the drain commands.

    ``notify_membership`` passes observations and addresses of entry hosts
    to the membership controller.
    """

    settings: EntrySettings
    catalogue: SnapshotCell[CatalogueSnapshot]
    assignment: RendezvousAssignment
    servers: BackendServers
    store: WriteConfirmingStore
    notify_membership: Callable[
        [LeavingObservations | ContactAddresses], object
    ]
    clock: Clock
    logger: EventLogger


class LeavingWatch:
    """A thread that polls the servers and host list assigned to this host.

    Rendezvous hashing assigns each backend server to one entry host of its
    zone, or to one of all entry hosts if the zone has none. One host of
    each zone reads the host list every round; the others read it every 10
    to 20 seconds.

    Args:
        deps: what is polled, and where observations go.
        rng: adds jitter to the polls of the host list.
    """

    def __init__(self, deps: LeavingDependencies, rng: random.Random) -> None:
        self._deps = deps
        self._rng = rng
        self._stop = threading.Event()
        self._host_list_due: float = 0
        self._pool = ThreadPoolExecutor(_POLL_THREADS, 'load-poll')
        self._thread = GuardedThread(
            self._run, 'leaving-watch', self._stop, deps.logger
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread after its current round, without waiting for it."""
        self._stop.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stop.is_set():
            self._poll_once()
            self._stop.wait(_POLL_INTERVAL_S)

    def _poll_once(self) -> None:
        try:
            self._poll_host_list()
            self._poll_servers()
        except _POLL_ERRORS as error:
            self._deps.logger.info('leaving_poll_failed', reason=error)

    def _poll_host_list(self) -> None:
        now = self._deps.clock.monotonic()
        if now < self._host_list_due and not self._deps.assignment.is_assigned(
            _HOST_LIST_KEY
        ):
            return
        try:
            listed = self._deps.store.hosts()
        except GuavadykeError:
            return
        self._host_list_due = (
            now + self._rng.uniform(0.5, 1) * _HOST_LIST_INTERVAL_S
        )
        self._deps.notify_membership(
            ContactAddresses(
                frozenset((
                    *self._deps.settings.peer.seeds,
                    *(host.address for host in listed if host.role == 'entry'),
                )),
            ),
        )
        self._send_observations(
            self._observe_listed(host, now) for host in listed
        )

    def _observe_listed(
        self, host: ListedHost, observed_at: float
    ) -> LeavingObservation | None:
        if host.role != 'backend':
            return None
        return self._new_observation(
            host.host_id,
            LeavingSource.host_list,
            host.leaving,
            observed_at,
        )

    def _poll_servers(self) -> None:
        servers = self._deps.catalogue.current.backend_servers
        assigned = [
            (server_id, server)
            for server_id, server in servers.items()
            if self._deps.assignment.is_assigned(server_id, server.zone)
        ]
        self._send_observations(
            self._pool.map(lambda pair: self._poll_server(*pair), assigned),
        )

    def _poll_server(
        self,
        server_id: str,
        server: BackendServerEntry,
    ) -> LeavingObservation | None:
        asked_at = self._deps.clock.monotonic()
        try:
            load = self._deps.servers.load(server.address, _LOAD_TIMEOUT_S)
        except BackendServerError:
            return None
        return self._new_observation(
            server_id,
            LeavingSource.report,
            load.leaving,
            asked_at - load.age_s,
        )

    def _new_observation(
        self,
        backend_id: str,
        source: LeavingSource,
        leaving: bool,
        observed_at: float,
    ) -> LeavingObservation:
        return LeavingObservation(
            backend_id,
            source,
            leaving,
            observed_at,
            int(self._deps.clock.wall() * 1000),
        )

    def _send_observations(
        self, observations: Iterable[LeavingObservation | None]
    ) -> None:
        made = tuple(
            observation
            for observation in observations
            if observation is not None
        )
        if made:
            self._deps.notify_membership(LeavingObservations(made))


class DrainService:
    """Applies operators' commands to drain a backend server or undo it.

    A mark spreads to the other hosts at once and is written to the
    catalogue.

    Args:
        deps: the membership controller and the catalogue in force.
        editor: writes the marks to the catalogue.
        known_marks: returns all marks that this host knows.
    """

    def __init__(
        self,
        deps: LeavingDependencies,
        editor: CatalogueEditor,
        known_marks: Callable[[], tuple[LeavingMark, ...]],
    ) -> None:
        self._deps = deps
        self._editor = editor
        self._known_marks = known_marks

    def set_leaving(
        self,
        backend_id: str,
        *,
        leaving: bool,
        who: str,
        why: str,
    ) -> bool:
        """Mark the backend server as leaving or as staying.

        Returns:
            Whether the mark was written to the catalogue; if the platform
            can't be reached, the mark only spreads among the hosts.
        """
        clock = self._deps.clock
        observation = LeavingObservation(
            backend_id,
            LeavingSource.operator,
            leaving,
            clock.monotonic(),
            int(clock.wall() * 1000),
        )
        self._deps.notify_membership(LeavingObservations((observation,)))
        author = EditAuthor(who, why, self._deps.settings.host_id)
        try:
            self._write_to_catalogue(backend_id, leaving, author)
        except GuavadykeError:
            return False
        return True

    def marks_of(self, backend_id: str) -> list[LeavingMark]:
        """Return the newest mark of each source for the backend server."""
        return [
            mark
            for mark in self._known_marks()
            if mark.backend_id == backend_id
        ]

    def _write_to_catalogue(
        self, backend_id: str, leaving: bool, author: EditAuthor
    ) -> None:
        catalogue = self._deps.catalogue.current
        server = catalogue.backend_servers[backend_id]
        if server.leaving == leaving:
            return
        self._editor.apply(
            CatalogueEdit(
                backend_id,
                server.model_copy(update={'leaving': leaving}),
                EditCondition(version=catalogue.versions[backend_id]),
                author,
            ),
        )
