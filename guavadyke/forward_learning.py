"""What the hosts of a fleet learn from each other about requests."""

from __future__ import annotations

from collections.abc import Callable

from guavadyke.adapters.ports import Clock, PeerMessenger
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.placement import PlacementOptions
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.forward_limits import ForwardLimits
from guavadyke.forward_prompts import ForwardPrompts
from guavadyke.forward_streams import ForwardStreams
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.settings import ForwardSettings, HostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


class ForwardLearning:
    """Requests that crash servers, limits of servers and begun streams.

    Args:
        settings: the id of the host and the waits of its watches.
        store: the platform.
        fleet: the other hosts.
        messenger: carries notices to them.
        serves_alone: whether the platform lists no other version of a
            service than the given one now.
        clock: the host's clock.
        logger: logs what is learned.
    """

    def __init__(
        self,
        settings: HostSettings,
        store: WriteConfirmingStore,
        fleet: SnapshotCell[FleetSnapshot],
        messenger: PeerMessenger,
        serves_alone: Callable[[str, str], bool],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self.prompts = ForwardPrompts(settings, store, fleet, clock, logger)
        self.limits = ForwardLimits(
            settings, store, fleet, messenger, clock, logger
        )
        self.streams = ForwardStreams(
            settings, store, fleet, messenger, serves_alone, clock, logger
        )

    @property
    def mirrored(self) -> tuple[ForwardPrompts, ForwardLimits]:
        """The parts that mirror a kind of the platform."""
        return self.prompts, self.limits

    def start(self) -> None:
        """Start to tell other hosts."""
        self.prompts.start()
        self.limits.start()
        self.streams.start()

    def close(self) -> None:
        """Stop telling other hosts."""
        self.prompts.close()
        self.limits.close()
        self.streams.close()


def enable_placement(
    pool: ServerPool,
    settings: ForwardSettings,
    table: SnapshotCell[RouteTable],
    metrics: HostMetrics,
) -> None:
    """Let a pool learn what requests cost and place them by it."""
    pool.placement.enable(
        PlacementOptions(
            settings.speed_spread,
            lambda service: table.current.memory_tokens.get(service, 0),
            metrics,
        )
    )
