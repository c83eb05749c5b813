"""Pulls newer catalogue objects and fleet state from peers."""

from __future__ import annotations

import itertools
import queue
import threading
from collections.abc import Callable, Iterator

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_rpc import PeerClient
from guavadyke.adapters.ports import Clock
from guavadyke.catalogue_objects import CatalogueObject, decode_object
from guavadyke.controllers.catalogue import PEER, CatalogueState, OfferedObjects
from guavadyke.controllers.membership_messages import FleetState
from guavadyke.controllers.peer_request_handler import MAX_FETCHED_OBJECTS
from guavadyke.errors import GuavadykeError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.snapshots import SnapshotCell

_MAX_QUEUED_PULLS = 64
_PULL_SPACING_S = 0.02
_EMPTY_PULL_DELAY_S = 1.0
_FLEET_PULL_INTERVAL_S = 1.0


class PeerSync:
    """A thread that pulls catalogue objects and fleet state from peers.

    Args:
        client: calls peers.
        state: the catalogue in force on this host.
        offer_objects: passes fetched objects to the catalogue's controller.
        merge_fleet: passes a peer's fleet state to the membership
            controller.
        clock: spaces pulls.
        logger: logs failed pulls and unreadable copies.
    """

    def __init__(
        self,
        client: PeerClient,
        state: SnapshotCell[CatalogueState],
        offer_objects: Callable[[OfferedObjects], object],
        merge_fleet: Callable[[FleetState], object],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self.pulls = 0
        self._client = client
        self._state = state
        self._offer_objects = offer_objects
        self._merge_fleet = merge_fleet
        self._clock = clock
        self._logger = logger
        self._pull_queue: queue.Queue[tuple[str, Callable[[str], None]]]
        self._pull_queue = queue.Queue(_MAX_QUEUED_PULLS)
        self._queued_addresses: set[str] = set()
        self._next_pull_at: dict[str, float] = {}
        self._fleet_due: float = 0
        self._stop = threading.Event()
        self._thread = GuardedThread(
            self._run, 'peer-sync', self._stop, self._logger
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread after its current pull, without waiting for it."""
        self._stop.set()

    def request_catalogue_pull(self, address: str) -> None:
        """Queue a pull of the objects that are newer on the peer.

        Does nothing if a pull from this peer is queued already, if the
        queue is full, or if the last pull from this peer failed or fetched
        nothing less than a second ago.
        """
        if address in self._queued_addresses or self._pull_queue.full():
            return
        if self._clock.monotonic() < self._next_pull_at.get(address, 0):
            return
        self._queued_addresses.add(address)
        self._pull_queue.put((address, self._pull_catalogue))

    def request_fleet_pull(self, address: str) -> None:
        """Queue a pull of the records and marks that the peer knows.

        Does nothing if one was queued less than a second ago, for any
        peer, or if the queue is full.
        """
        now = self._clock.monotonic()
        if now < self._fleet_due or self._pull_queue.full():
            return
        self._fleet_due = now + _FLEET_PULL_INTERVAL_S
        self._pull_queue.put((address, self._pull_fleet))

    def _run(self) -> None:
        while not self._stop.wait(_PULL_SPACING_S):
            try:
                address, pull = self._pull_queue.get(timeout=1)
            except queue.Empty:
                continue
            self._run_pull(address, pull)

    def _run_pull(self, address: str, pull: Callable[[str], None]) -> None:
        self._queued_addresses.discard(address)
        self.pulls += 1
        try:
            pull(address)
        except (
            calls.PeerNotReachedError,
            calls.PeerAnswerLostError,
            GuavadykeError,
        ) as error:
            self._delay_next_pull(address)
            self._logger.info('peer_pull_failed', address=address, reason=error)

    def _pull_fleet(self, address: str) -> None:
        reply = self._client.call(address, calls.FleetQuery())
        self._merge_fleet(FleetState(reply.records, reply.leaving))

    def _pull_catalogue(self, address: str) -> None:
        state = self._state.current
        reply = self._client.call(
            address,
            calls.CatalogueQuery(state.digests),
        )
        newer_names = [
            offered.name
            for offered in reply.versions
            if offered.version > _version_in_force(state, offered.name)
        ]
        fetched = sum(
            self._fetch_objects(address, names)
            for names in _batches(newer_names)
        )
        if not fetched:
            self._delay_next_pull(address)

    def _fetch_objects(self, address: str, names: tuple[str, ...]) -> int:
        """Fetch and offer objects; return how many were readable."""
        reply = self._client.call(address, calls.CatalogueFetch(names))
        objects = [self._decode_copy(copy) for copy in reply.copies]
        readable = tuple(decoded for decoded in objects if decoded is not None)
        self._offer_objects(OfferedObjects(PEER, readable))
        return len(readable)

    def _decode_copy(self, copy: calls.CatalogueCopy) -> CatalogueObject | None:
        try:
            return decode_object(copy.name, copy.body)
        except GuavadykeError as error:
            self._logger.error(
                'catalogue_copy_unreadable',
                name=copy.name,
                reason=error,
            )
            return None

    def _delay_next_pull(self, address: str) -> None:
        now = self._clock.monotonic()
        self._next_pull_at[address] = now + _EMPTY_PULL_DELAY_S


def _version_in_force(state: CatalogueState, name: str) -> int:
    in_force = state.objects.get(name)
    return 0 if in_force is None else in_force.version


def _batches(names: list[str]) -> Iterator[tuple[str, ...]]:
    remaining = iter(names)
    return iter(
        lambda: tuple(itertools.islice(remaining, MAX_FETCHED_OBJECTS)), ()
    )
