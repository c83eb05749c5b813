"""Reads at a start which hosts live, until other hosts tell nothing new.

Gossip tells a host of the whole fleet within some seconds, and within more the
larger the fleet is. What is decided by who lives depends on it until then.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_rpc import PeerClient
from guavadyke.controllers.membership_messages import FleetState
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_INTERVAL_S = 0.5
# Hosts that started together know equally little at first.
_IDLE_PULLS = 4
# Hosts of older releases do not answer.
_MOST_PULLS = 20


class FleetPulls:
    """Asks one random host after another for all hosts that it knows.

    Args:
        host_id: id of this host.
        client: calls the hosts.
        fleet: the hosts that this one knows.
        merge: adds what another host knows.
        rng: chooses the hosts.
        logger: logs how the pulls end.
    """

    def __init__(
        self,
        host_id: str,
        client: PeerClient,
        fleet: SnapshotCell[FleetSnapshot],
        merge: Callable[[FleetState], object],
        rng: random.Random,
        logger: EventLogger,
    ) -> None:
        self._host_id = host_id
        self._client = client
        self._fleet = fleet
        self._merge = merge
        self._rng = rng
        self._logger = logger
        self._pulls = 0
        self._idle_pulls = 0
        self._stopped = threading.Event()
        self._thread = GuardedThread(
            self._run, 'fleet-pulls', self._stopped, logger
        )

    @property
    def done(self) -> bool:
        """Whether no further pull is due."""
        return self._idle_pulls >= _IDLE_PULLS or self._pulls >= _MOST_PULLS

    def start(self) -> None:
        """Start to pull in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop after the current pull, without waiting for it."""
        self._stopped.set()

    def pull(self) -> None:
        """Ask one host, if this one knows any."""
        alive = self._fleet.current.alive
        if not alive:
            return
        self._pulls += 1
        address = self._rng.choice(alive).address
        try:
            reply = self._client.call(address, calls.FleetQuery())
        except (calls.PeerNotReachedError, calls.PeerAnswerLostError) as error:
            self._logger.info(
                'fleet_pull_failed', address=address, reason=error
            )
            return
        self._idle_pulls = 0 if self._is_news(reply) else self._idle_pulls + 1
        self._merge(FleetState(reply.records, reply.leaving))

    def _run(self) -> None:
        while not (self.done or self._stopped.wait(_INTERVAL_S)):
            self.pull()
        fleet = self._fleet.current
        self._logger.info(
            'fleet_pulled', pulls=self._pulls, alive=len(fleet.alive)
        )

    def _is_news(self, reply: calls.PeerReply) -> bool:
        """Return whether another host knows live ones that are new here."""
        fleet = self._fleet.current
        known = {peer.host_id for peer in fleet.peers}
        known.update(fleet.gone, (self._host_id,))
        return any(
            record.state.reachable and record.host_id not in known
            for record in reply.records
        )
