"""Streams that callers take up: what a host knows, tells and keeps."""

from __future__ import annotations

from collections.abc import Callable

from guavadyke.adapters.ports import Clock, PeerMessenger
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.stream_origin_writer import StreamOriginWriter
from guavadyke.controllers.stream_origins import StreamOrigins
from guavadyke.decisions.slot import HostLocation
from guavadyke.log import EventLogger
from guavadyke.settings import HostSettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell


class ForwardStreams:
    """The origins of streams on a host and on the platform.

    ``origins`` says at which version a stream that is taken up has to go on.

    Args:
        settings: the id and the zone of the host.
        store: the platform.
        fleet: the other hosts.
        messenger: carries origins and questions.
        serves_alone: whether the platform lists no other version of a
            service than the given one now.
        clock: the host's clock.
        logger: logs streams that cannot go on.
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
        here = HostLocation(settings.host_id, settings.zone)
        self.origins = StreamOrigins(
            here, fleet, messenger, serves_alone, clock, logger
        )
        self._writer = StreamOriginWriter(
            settings.host_id, self.origins, store, fleet, clock, logger
        )

        self.origins.read_platform = self._writer.read_again

    @property
    def ready(self) -> bool:
        """Whether the host knows what the platform holds."""
        return self._writer.recalled

    def start(self) -> None:
        """Start to exchange origins."""
        self.origins.start()
        self._writer.start()

    def close(self) -> None:
        """Stop writing origins."""
        self._writer.close()
