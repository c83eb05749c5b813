"""Drains hosts that the platform is about to remove."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable, Mapping

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.controllers.mirror import MirrorSink
from guavadyke.decisions.forward_job_ownership import (
    AbsenceTracker,
    HostView,
)
from guavadyke.decisions.rendezvous_hashing import place
from guavadyke.errors import GuavadykeError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Also the delay before a failed completion is written again.
_CHECK_INTERVAL_S = 0.5
# Share of the requested time in which cancelled runs have to end before their
# jobs are reassigned without them.
_GRACE_SHARE = 0.4
_MAX_GRACE_S = 6.0
# Live hosts complete the request of a lost one after one another, since only
# some of them handle requests.
_TURN_SPACING_S = 0.5
_LONGEST_TURN_S = 3.0
_REACHABLE = frozenset(('alive', 'suspect'))


@dataclasses.dataclass(frozen=True)
class RetirementRequest:
    """A request to drain a host within some seconds."""

    host_id: str
    within_s: float


@dataclasses.dataclass(frozen=True)
class RetirementParts:
    """Dependencies of ``RetirementController``.

    ``decode`` returns None for an object that is no request; ``hand_over``
    cancels the runs of this host and reassigns its jobs, at the latest after
    the given seconds; ``complete`` writes to the platform that the host
    with the given id is drained, ``is_completed`` reads whether it says so.
    """

    host_id: str
    decode: Callable[[StoredObject], RetirementRequest | None]
    hand_over: Callable[[float], None]
    complete: Callable[[str], None]
    is_completed: Callable[[str], bool]
    fleet: SnapshotCell[FleetSnapshot]
    clock: Clock
    logger: EventLogger


class RetirementController(MirrorSink):
    """Drains this host on request and completes requests of lost hosts.

    A host that is absent from the fleet cannot complete its own request;
    one of the live hosts does so.

    Args:
        parts: its dependencies.
    """

    def __init__(self, parts: RetirementParts) -> None:
        self._parts = parts
        self._requests: Mapping[str, RetirementRequest] = {}
        self._completed: set[str] = set()
        self._absences = AbsenceTracker()
        self._drained = False
        self._stopped = threading.Event()
        self._thread = GuardedThread(
            self._run, 'retirements', self._stopped, parts.logger
        )

    def start(self) -> None:
        """Start handling requests in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop handling requests, without waiting for the thread."""
        self._stopped.set()

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        """Replace all requests by those of a full list."""
        decoded = map(self._parts.decode, objects)
        self._requests = {
            request.host_id: request
            for request in decoded
            if request is not None
        }

    def put(self, stored: StoredObject) -> None:
        """Add or replace a request."""
        request = self._parts.decode(stored)
        if request is not None:
            self._requests = {**self._requests, request.host_id: request}

    def remove(self, name: str) -> None:
        """Remove the request of a host."""
        self._completed.discard(name)
        self._requests = {
            host_id: request
            for host_id, request in self._requests.items()
            if host_id != name
        }

    def step(self) -> None:
        """Handle the requests that are not completed yet."""
        due = {
            host_id: request
            for host_id, request in self._requests.items()
            if host_id not in self._completed
        }
        own = due.pop(self._parts.host_id, None)
        if own is not None:
            self._drain(own)
        for host_id in self._lost_hosts(due):
            self._complete(host_id, only_if_open=True)

    def _run(self) -> None:
        while not self._stopped.wait(_CHECK_INTERVAL_S):
            self.step()

    def _drain(self, request: RetirementRequest) -> None:
        if not self._drained:
            self._drained = True
            self._parts.logger.info('host_retiring', within_s=request.within_s)
            self._parts.hand_over(
                min(_MAX_GRACE_S, _GRACE_SHARE * request.within_s),
            )
        self._complete(request.host_id)

    def _lost_hosts(self, due: Mapping[str, RetirementRequest]) -> list[str]:
        """Return the lost hosts whose requests this host has to complete."""
        fleet = self._parts.fleet.current
        alive = {peer.host_id for peer in fleet.alive}
        reachable = frozenset(
            peer.host_id for peer in fleet.peers if peer.state in _REACHABLE
        )
        me = self._parts.host_id
        lost = self._absences.update(
            due.keys(),
            HostView(reachable, fleet.gone, fleet.grown_at),
            self._parts.clock.monotonic(),
        )
        return [
            host_id
            for host_id, lost_s in lost.items()
            if lost_s >= _turn_s(place(host_id, me, alive))
        ]

    def _complete(self, host_id: str, *, only_if_open: bool = False) -> None:
        try:
            is_open = not (only_if_open and self._parts.is_completed(host_id))
            if is_open:
                self._parts.complete(host_id)
        except GuavadykeError as error:
            self._parts.logger.warning(
                'retirement_not_written',
                retired=host_id,
                reason=error.message,
            )
            return
        self._completed.add(host_id)
        if is_open:
            self._parts.logger.info('retirement_completed', retired=host_id)


def _turn_s(rank: int) -> float:
    """Return the seconds after which a live host of a rank may complete."""
    return min(_LONGEST_TURN_S, rank * _TURN_SPACING_S)
