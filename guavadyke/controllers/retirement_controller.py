"""Hosts that are to be emptied before the platform takes them away."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable, Mapping

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.controllers.mirror import MirrorSink
from guavadyke.decisions.forward_job_ownership import AbsenceTracker
from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Seconds between looks, and between attempts to write the end.
_INTERVAL_S = 0.5
# Share of the time asked for in which runs may end by themselves.
_ENDING_SHARE = 0.4
_LONGEST_ENDING_S = 6.0
_ALIVE = 'alive'
_REACHABLE = frozenset((_ALIVE, 'suspect'))


@dataclasses.dataclass(frozen=True)
class RetirementRequest:
    """A host is to be emptied within some seconds."""

    host_id: str
    within_s: float


@dataclasses.dataclass(frozen=True)
class RetirementParts:
    """What retirements need.

    ``decode`` returns None for an object that asks for nothing;
    ``hand_over`` gives away all work of this host within some seconds;
    ``complete`` tells the platform that a host, by its id, holds nothing.
    """

    host_id: str
    decode: Callable[[StoredObject], RetirementRequest | None]
    hand_over: Callable[[float], None]
    complete: Callable[[str], None]
    fleet: SnapshotCell[FleetSnapshot]
    clock: Clock
    logger: EventLogger


class RetirementController(MirrorSink):
    """Empties this host when asked, and speaks for hosts that are gone.

    Args:
        parts: what it works with.
    """

    def __init__(self, parts: RetirementParts) -> None:
        self._parts = parts
        self._requests: Mapping[str, RetirementRequest] = {}
        self._completed: set[str] = set()
        self._absences = AbsenceTracker()
        self._emptied = False
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='retirements',
            daemon=True,
        )

    def start(self) -> None:
        """Look for requests in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop looking."""
        self._stopped.set()

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        """Take all requests."""
        decoded = map(self._parts.decode, objects)
        self._requests = {
            one.host_id: one for one in decoded if one is not None
        }

    def put(self, stored: StoredObject) -> None:
        """Take a request."""
        asked = self._parts.decode(stored)
        if asked is not None:
            self._requests = {**self._requests, asked.host_id: asked}

    def remove(self, name: str) -> None:
        """Forget a request."""
        self._completed.discard(name)
        self._requests = {
            host_id: asked
            for host_id, asked in self._requests.items()
            if host_id != name
        }

    def step(self) -> None:
        """Do what is due."""
        due = {
            host_id: asked
            for host_id, asked in self._requests.items()
            if host_id not in self._completed
        }
        mine = due.pop(self._parts.host_id, None)
        if mine is not None:
            self._empty(mine)
        for host_id in self._gone(due):
            self._complete(host_id)

    def _run(self) -> None:
        while not self._stopped.wait(_INTERVAL_S):
            self.step()

    def _empty(self, asked: RetirementRequest) -> None:
        if not self._emptied:
            self._emptied = True
            self._parts.logger.info('host_retiring', within_s=asked.within_s)
            self._parts.hand_over(
                min(_LONGEST_ENDING_S, _ENDING_SHARE * asked.within_s),
            )
        self._complete(asked.host_id)

    def _gone(self, due: Mapping[str, RetirementRequest]) -> list[str]:
        """Return hosts that cannot speak for themselves, for this one to do."""
        peers = self._parts.fleet.current.peers
        alive = {peer.host_id for peer in peers if peer.state == _ALIVE}
        reachable = {peer.host_id for peer in peers if peer.state in _REACHABLE}
        me = self._parts.host_id
        lost = self._absences.note(
            due.keys(),
            reachable,
            self._parts.clock.monotonic(),
        )
        return [one for one in lost if rendezvous(one, {me, *alive}) == me]

    def _complete(self, host_id: str) -> None:
        try:
            self._parts.complete(host_id)
        except GuavadykeError as error:
            self._parts.logger.warning(
                'retirement_not_written',
                retired=host_id,
                reason=error.message,
            )
            return
        self._completed.add(host_id)
        self._parts.logger.info('retirement_completed', retired=host_id)
