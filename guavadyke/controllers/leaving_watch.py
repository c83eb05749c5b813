"""Watches for leaving backend servers and takes operators' marks."""

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
    Condition,
    EditAuthor,
)
from guavadyke.controllers.membership_messages import ContactAddresses, Sighted
from guavadyke.decisions.leaving_servers import (
    LeavingMark,
    LeavingObservation,
    LeavingSource,
)
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell

_INTERVAL_S = 1.0
_LIST_INTERVAL_S = 20.0
_LOAD_TIMEOUT_S = 0.5
_POLL_THREADS = 8
_LIST_KEY = 'host-list'
# The pool and the actor end before this thread where the host closes.
_SKIPPED = (
    GuavadykeError,
    RuntimeError,
    CancelledError,
    pykka.ActorDeadError,
)


@dataclasses.dataclass(frozen=True)
class LeavingDependencies:
    """What the watch looks at and whom it tells."""

    settings: EntrySettings
    catalogue: SnapshotCell[CatalogueSnapshot]
    assignment: RendezvousAssignment
    servers: BackendServers
    store: WriteConfirmingStore
    tell: Callable[[Sighted | ContactAddresses], object]
    clock: Clock
    logger: EventLogger


class LeavingWatch:
    """Polls the backend servers and the host list that fall to this host.

    Of the hosts of a zone each backend server has one that polls it, by
    rendezvous; a zone without hosts is polled by all others.

    Args:
        sights: what it looks at and whom it tells.
        rng: spreads the polls of the list.
    """

    def __init__(self, sights: LeavingDependencies, rng: random.Random) -> None:
        self._leaving_deps = sights
        self._rng = rng
        self._stop = threading.Event()
        self._list_due: float = 0
        self._pool = ThreadPoolExecutor(_POLL_THREADS, 'load-poll')
        self._thread = threading.Thread(
            target=self._run,
            name='leaving-watch',
            daemon=True,
        )

    def start(self) -> None:
        """Watch in the background."""
        self._thread.start()

    def close(self) -> None:
        """End after the present round; does not wait for it."""
        self._stop.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stop.is_set():
            self._round()
            self._stop.wait(_INTERVAL_S)

    def _round(self) -> None:
        try:
            self._poll_list()
            self._poll_servers()
        except _SKIPPED as error:
            self._leaving_deps.logger.info(
                'leaving_watch_skipped', reason=error
            )

    def _poll_list(self) -> None:
        now = self._leaving_deps.clock.monotonic()
        if now < self._list_due and not self._leaving_deps.assignment.first(
            _LIST_KEY
        ):
            return
        try:
            listed = self._leaving_deps.store.hosts()
        except GuavadykeError:
            return
        self._list_due = now + self._rng.uniform(0.5, 1) * _LIST_INTERVAL_S
        self._leaving_deps.tell(
            ContactAddresses(
                frozenset((
                    *self._leaving_deps.settings.peer.seeds,
                    *(one.address for one in listed if one.role == 'entry'),
                )),
            ),
        )
        self._tell_sightings(self._listed(one, now) for one in listed)

    def _listed(
        self, host: ListedHost, observed_at: float
    ) -> LeavingObservation | None:
        if host.role != 'backend':
            return None
        return self._sighting(
            host.host_id,
            LeavingSource.host_list,
            host.leaving,
            observed_at,
        )

    def _poll_servers(self) -> None:
        servers = self._leaving_deps.catalogue.current.backend_servers
        mine = [
            (server_id, server)
            for server_id, server in servers.items()
            if self._leaving_deps.assignment.first(server_id, server.zone)
        ]
        self._tell_sightings(
            self._pool.map(lambda pair: self._poll(*pair), mine),
        )

    def _poll(
        self,
        server_id: str,
        server: BackendServerEntry,
    ) -> LeavingObservation | None:
        asked_at = self._leaving_deps.clock.monotonic()
        try:
            load = self._leaving_deps.servers.load(
                server.address, _LOAD_TIMEOUT_S
            )
        except BackendServerError:
            return None
        return self._sighting(
            server_id,
            LeavingSource.report,
            load.leaving,
            asked_at - load.age_s,
        )

    def _sighting(
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
            int(self._leaving_deps.clock.wall() * 1000),
        )

    def _tell_sightings(
        self, sightings: Iterable[LeavingObservation | None]
    ) -> None:
        seen = tuple(one for one in sightings if one is not None)
        if seen:
            self._leaving_deps.tell(Sighted(seen))


class DrainService:
    """Operators' marks: spread at once and written to the catalogue.

    Args:
        sights: whom to tell, and the catalogue in force on this host.
        editor: writes the marks to the catalogue.
        marks: returns all marks that this host knows.
    """

    def __init__(
        self,
        sights: LeavingDependencies,
        editor: CatalogueEditor,
        marks: Callable[[], tuple[LeavingMark, ...]],
    ) -> None:
        self._leaving_deps = sights
        self._editor = editor
        self._marks = marks

    def mark(
        self,
        backend_id: str,
        *,
        leaving: bool,
        who: str,
        why: str,
    ) -> bool:
        """Mark the backend server.

        Returns:
            Whether the mark is in the catalogue too; where the platform is
            away it only spreads among the hosts.
        """
        clock = self._leaving_deps.clock
        observation = LeavingObservation(
            backend_id,
            LeavingSource.operator,
            leaving,
            clock.monotonic(),
            int(clock.wall() * 1000),
        )
        self._leaving_deps.tell(Sighted((observation,)))
        author = EditAuthor(who, why, self._leaving_deps.settings.host_id)
        try:
            self._write(backend_id, leaving, author)
        except GuavadykeError:
            return False
        return True

    def marks_of(self, backend_id: str) -> list[LeavingMark]:
        """Return what each source says of the backend server."""
        return [mark for mark in self._marks() if mark.backend_id == backend_id]

    def _write(
        self, backend_id: str, leaving: bool, author: EditAuthor
    ) -> None:
        catalogue = self._leaving_deps.catalogue.current
        server = catalogue.backend_servers[backend_id]
        if server.leaving == leaving:
            return
        self._editor.apply(
            CatalogueEdit(
                backend_id,
                server.model_copy(update={'leaving': leaving}),
                Condition(version=catalogue.versions[backend_id]),
                author,
            ),
        )
