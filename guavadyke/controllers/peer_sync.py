"""Pulls from peers what they know and this host does not."""

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
from guavadyke.controllers.peer_request_handler import FETCHED_OBJECTS
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.snapshots import SnapshotCell

_WAITING = 64
_PAUSE_S = 0.02
_USELESS_PAUSE_S = 1.0
_FLEET_INTERVAL_S = 1.0


class PeerSync:
    """A thread that pulls catalogue objects and fleet knowledge.

    Args:
        client: calls peers.
        state: the catalogue in force on this host.
        offer: offers objects to the catalogue's controller.
        learn: gives fleet knowledge to the controller of membership.
        clock: spaces pulls.
        logger: gets a line where a pull fails.
    """

    def __init__(
        self,
        client: PeerClient,
        state: SnapshotCell[CatalogueState],
        offer: Callable[[OfferedObjects], object],
        learn: Callable[[FleetState], object],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self.pulls = 0
        self._client = client
        self._state = state
        self._offer = offer
        self._learn = learn
        self._clock = clock
        self._logger = logger
        self._wanted: queue.Queue[tuple[str, Callable[[str], None]]]
        self._wanted = queue.Queue(_WAITING)
        self._waiting: set[str] = set()
        self._not_before: dict[str, float] = {}
        self._fleet_due: float = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='peer-sync',
            daemon=True,
        )

    def start(self) -> None:
        """Pull in the background."""
        self._thread.start()

    def close(self) -> None:
        """End after the present pull; does not wait for it."""
        self._stop.set()

    def request_catalogue_pull(self, address: str) -> None:
        """Pull what the peer has newer.

        A peer is queued once, and not again soon after a pull that
        brought nothing.
        """
        if address in self._waiting or self._wanted.full():
            return
        if self._clock.monotonic() < self._not_before.get(address, 0):
            return
        self._waiting.add(address)
        self._wanted.put((address, self._pull_catalogue))

    def request_fleet_pull(self, address: str) -> None:
        """Pull the peers and marks that the peer knows, now and then."""
        now = self._clock.monotonic()
        if now < self._fleet_due or self._wanted.full():
            return
        self._fleet_due = now + _FLEET_INTERVAL_S
        self._wanted.put((address, self._pull_fleet))

    def _run(self) -> None:
        while not self._stop.wait(_PAUSE_S):
            try:
                address, pull = self._wanted.get(timeout=1)
            except queue.Empty:
                continue
            self._pull(address, pull)

    def _pull(self, address: str, pull: Callable[[str], None]) -> None:
        self._waiting.discard(address)
        self.pulls += 1
        try:
            pull(address)
        except (
            calls.PeerNotReachedError,
            calls.PeerAnswerLostError,
            GuavadykeError,
        ) as error:
            self._put_off(address)
            self._logger.info('pull_failed', address=address, reason=error)

    def _pull_fleet(self, address: str) -> None:
        reply = self._client.call(address, calls.FleetQuery())
        self._learn(FleetState(reply.records, reply.leaving))

    def _pull_catalogue(self, address: str) -> None:
        state = self._state.current
        reply = self._client.call(
            address,
            calls.CatalogueQuery(state.digests),
        )
        wanted = [
            one.name
            for one in reply.versions
            if one.version > _version(state, one.name)
        ]
        taken = sum(self._fetch(address, names) for names in _batches(wanted))
        if not taken:
            self._put_off(address)

    def _fetch(self, address: str, names: tuple[str, ...]) -> int:
        """Fetch objects; return how many were readable."""
        reply = self._client.call(address, calls.CatalogueFetch(names))
        objects = [self._read(copy) for copy in reply.copies]
        readable = tuple(one for one in objects if one is not None)
        self._offer(OfferedObjects(PEER, readable))
        return len(readable)

    def _read(self, copy: calls.CatalogueCopy) -> CatalogueObject | None:
        try:
            return decode_object(copy.name, copy.body)
        except GuavadykeError as error:
            self._logger.error(
                'catalogue_copy_unreadable',
                name=copy.name,
                reason=error,
            )
            return None

    def _put_off(self, address: str) -> None:
        now = self._clock.monotonic()
        self._not_before[address] = now + _USELESS_PAUSE_S


def _version(state: CatalogueState, name: str) -> int:
    held = state.objects.get(name)
    return 0 if held is None else held.version


def _batches(names: list[str]) -> Iterator[tuple[str, ...]]:
    rest = iter(names)
    return iter(lambda: tuple(itertools.islice(rest, FETCHED_OBJECTS)), ())
