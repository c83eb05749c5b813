"""Tells other hosts whether this host can run items, and hears it of them."""

from __future__ import annotations

import threading
from collections.abc import Callable

from guavadyke.adapters.ports import Clock, PeerMessenger, PeerNotice
from guavadyke.decisions.host_abilities import OwnAbility, UnableHosts
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


class HostAbilities:
    """Which hosts of the fleet cannot run items of jobs. Thread-safe.

    ``is_able`` returns whether this host has routes and all that it mirrors;
    ``leaving`` is set once it hands its jobs over, so that it takes no new
    ones.

    Args:
        host_id: id of this host.
        fleet: the other hosts.
        messenger: carries the notices.
        clock: the host's clock.
        logger: logs hosts that become unable, and able again.
    """

    def __init__(
        self,
        host_id: str,
        fleet: SnapshotCell[FleetSnapshot],
        messenger: PeerMessenger,
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self.is_able: Callable[[], bool] = _always
        self.leaving = False
        self._host_id = host_id
        self._fleet = fleet
        self._messenger = messenger
        self._clock = clock
        self._logger = logger
        self._lock = threading.Lock()
        self._own = OwnAbility()
        self._told_unable = False
        self._others = UnableHosts()

    def start(self) -> None:
        """Start to hear of other hosts."""
        self._messenger.subscribe(self.receive)

    def tell_due(self) -> None:
        """Tell the other hosts if it is time to; for one thread."""
        able = self.is_able()
        hosts = [peer.host_id for peer in self._fleet.current.alive]
        ability = self._own.due(self._clock.monotonic(), len(hosts), able=able)
        if ability is None:
            return
        self._messenger.send_all(hosts, PeerNotice(abilities=(ability,)))
        if self._told_unable is able:
            self._told_unable = not able
            self._logger.info('host_ability_told', able=able)

    def receive(self, host_id: str, notice: PeerNotice) -> None:
        """Record what another host says of itself."""
        for ability in notice.abilities:
            with self._lock:
                changed = self._others.record(
                    host_id, ability, self._clock.monotonic()
                )
            if changed:
                self._logger.info(
                    'host_ability_heard', peer=host_id, able=ability.able
                )

    def unable(self) -> frozenset[str]:
        """Return the ids of the hosts that cannot run items.

        This host is one of them where it lacks its routes or servers, or is
        leaving.
        """
        with self._lock:
            others = self._others.names(self._clock.monotonic())
        takes_jobs = self.is_able() and not self.leaving
        return others if takes_jobs else others | {self._host_id}


def _always() -> bool:
    return True
