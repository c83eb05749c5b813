"""Limits that backend servers name: what a host keeps, learns and tells."""

from __future__ import annotations

from guavadyke.adapters.ports import Clock, PeerMessenger
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.mirror import MirrorSettings
from guavadyke.controllers.server_limit_sink import ServerLimitSink
from guavadyke.controllers.server_limit_writer import ServerLimitWriter
from guavadyke.controllers.server_limits import ServerLimits
from guavadyke.log import EventLogger
from guavadyke.server_limit_documents import LIMIT_KIND
from guavadyke.settings import HostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


class ForwardLimits:
    """The limits of servers on a host and on the platform.

    ``limits`` decides whether a request may be sent; ``sink`` gets what hosts
    have told of limits, mirrored as ``mirror_settings`` say.

    Args:
        settings: the id of the host and the waits of its watches.
        store: the platform.
        fleet: the other hosts.
        messenger: carries requests for permits.
        clock: the host's clock.
        logger: logs limits that begin, change and end.
    """

    def __init__(
        self,
        settings: HostSettings,
        store: WriteConfirmingStore,
        fleet: SnapshotCell[FleetSnapshot],
        messenger: PeerMessenger,
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        host_id = settings.host_id
        self.limits = ServerLimits(host_id, fleet, messenger, clock, logger)
        self.sink = ServerLimitSink(self.limits, logger)
        self.writer = ServerLimitWriter(
            host_id, self.limits, self.sink, store, fleet, logger
        )
        self.mirror_settings = MirrorSettings(
            LIMIT_KIND, settings.platform.watch_wait_s
        )

    def start(self) -> None:
        """Start to issue permits and to tell limits."""
        self.limits.start()
        self.writer.start()

    def close(self) -> None:
        """Stop telling limits."""
        self.writer.close()
