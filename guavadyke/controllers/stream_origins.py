"""Knows where streams began that callers may take up at this host."""

from __future__ import annotations

import collections
import threading
from collections.abc import Callable, Iterable, Mapping

from guavadyke.adapters.ports import Clock, PeerMessenger, PeerNotice
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.decisions.slot import HostLocation
from guavadyke.decisions.stream_origins import (
    KnownOrigins,
    SoftwareHistory,
    StreamOrigin,
    holders,
)
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# Time in which other hosts have to answer where a stream began.
_ANSWER_S = 0.06
# Streams that began earlier have ended.
_TOLD_AGAIN_S = 15.0


class StreamOrigins:
    """Learns, tells and asks at which software versions streams began.

    While several versions serve, each stream's origin is told to a few hosts,
    which rendezvous hashing selects. A host at which a stream is taken up asks
    these, and calls ``read_platform`` if they do not know it. Thread-safe.

    Args:
        here: the id and the zone of this host.
        fleet: the other hosts.
        messenger: carries origins and questions.
        serves_alone: whether the platform lists no other version of a
            service than the given one now.
        clock: a monotonic clock.
        logger: logs streams that cannot go on.
    """

    def __init__(
        self,
        here: HostLocation,
        fleet: SnapshotCell[FleetSnapshot],
        messenger: PeerMessenger,
        serves_alone: Callable[[str, str], bool],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self._here = here
        self._fleet = fleet
        self._messenger = messenger
        self._serves_alone = serves_alone
        self._clock = clock
        self._logger = logger
        self._changed = threading.Condition()
        self._known = KnownOrigins()
        self._own = KnownOrigins()
        self._history = SoftwareHistory(clock.monotonic())
        # Services of which a version has appeared, for the writer.
        self._new_versions: set[str] = set()
        self.read_platform: Callable[[], object] = _ignore
        # Hosts that do not know a stream that is asked for.
        self._denied_by: dict[str, set[str]] = collections.defaultdict(set)

    def start(self) -> None:
        """Start to learn from other hosts and to answer them."""
        self._messenger.subscribe(self.receive)

    def servers_listed(self, servers: Iterable[ListedServer]) -> None:
        """Record the servers that the platform lists."""
        versions: dict[str, set[str]] = collections.defaultdict(set)
        for server in servers:
            versions[server.service].add(server.software)
        listed = {name: frozenset(found) for name, found in versions.items()}
        with self._changed:
            now = self._clock.monotonic()
            self._new_versions |= self._history.observe(listed, now)

    def recall(
        self,
        recorded: Mapping[str, Mapping[str, float]],
        complete_since: float,
    ) -> None:
        """Apply a record of the versions that have served before.

        Args:
            recorded: by service and version, when the version has left, in
                monotonic seconds; infinity if it had not.
            complete_since: from when on the record misses no version.
        """
        with self._changed:
            now = self._clock.monotonic()
            self._history.recall(recorded, complete_since, now)

    def learn(self, origins: Iterable[StreamOrigin]) -> None:
        """Add origins that another host or an earlier start has seen."""
        with self._changed:
            now = self._clock.monotonic()
            for origin in origins:
                self._known.add(origin, now)
            self._changed.notify_all()

    def record(self) -> tuple[float, dict[str, dict[str, float]]]:
        """Return from when on the history is complete, and the history."""
        with self._changed:
            now = self._clock.monotonic()
            return self._history.complete_since, self._history.record(now)

    def is_mixed(self, service: str) -> bool:
        """Return whether streams of several versions may be taken up."""
        with self._changed:
            now = self._clock.monotonic()
            return self._history.only_version(service, now) is None

    def began(self, origin: StreamOrigin) -> None:
        """Record that a stream has begun, or goes on, through this host.

        Call this before its caller gets the first event.
        """
        with self._changed:
            now = self._clock.monotonic()
            self._own.add(origin, now)
            self._known.add(origin, now)
        if self.is_mixed(origin.service):
            self._tell((origin,))

    def own_since(self, seconds: float) -> tuple[StreamOrigin, ...]:
        """Return the streams that began through this host lately."""
        with self._changed:
            now = self._clock.monotonic()
            return self._own.added_since(now - seconds)

    def tell_new_versions(self) -> None:
        """Tell the origins of streams that began before a version came."""
        with self._changed:
            services = self._new_versions
            self._new_versions = set()
        mixed = set(filter(self.is_mixed, services))
        if mixed:
            self._tell([
                origin
                for origin in self.own_since(_TOLD_AGAIN_S)
                if origin.service in mixed
            ])

    def find(self, service: str, stream_id: str) -> StreamOrigin:
        """Return where a stream began that a caller takes up.

        This waits for the answers of other hosts.

        Args:
            service: the service that has to serve it.
            stream_id: the stream; empty if its caller does not name it.

        Returns:
            An unknown origin if it may have begun at several versions.
        """
        with self._changed:
            origin = self._known.find(stream_id)
        if origin.known:
            return origin
        denied = self._ask(stream_id) if stream_id else frozenset()
        with self._changed:
            origin = self._known.find(stream_id)
            only = self._history.only_version(service, self._clock.monotonic())
        if only is None and not origin.known:
            self.read_platform()
            with self._changed:
                origin = self._known.find(stream_id)
        if origin.known:
            return origin
        # What no other host confirms may be out of date at this host.
        if only is not None and (denied or self._serves_alone(service, only)):
            return StreamOrigin(stream_id, service, only)
        self._logger.info(
            'stream_origin_unknown',
            stream=stream_id,
            service=service,
            answers=len(denied),
        )
        return origin

    def receive(self, host_id: str, notice: PeerNotice) -> None:
        """Learn from the notice of another host, and answer it."""
        if notice.stream_origins:
            self.learn(one for one in notice.stream_origins if one.known)
            self._count_denials(host_id, notice.stream_origins)
        if notice.stream_queries:
            with self._changed:
                answers = tuple(
                    self._known.find(one.stream_id)
                    for one in notice.stream_queries
                )
            self._messenger.send(host_id, PeerNotice(stream_origins=answers))

    def _count_denials(
        self, host_id: str, answers: Iterable[StreamOrigin]
    ) -> None:
        with self._changed:
            for answer in answers:
                if not answer.known and answer.stream_id in self._denied_by:
                    self._denied_by[answer.stream_id].add(host_id)
            self._changed.notify_all()

    def _ask(self, stream_id: str) -> frozenset[str]:
        """Ask where a stream began; return the hosts that do not know it."""
        asked = self._holders(stream_id)
        if not asked:
            return frozenset()
        with self._changed:
            denied = self._denied_by[stream_id]
        self._messenger.send_all(
            asked, PeerNotice(stream_queries=(StreamOrigin(stream_id),))
        )
        until = self._clock.monotonic() + _ANSWER_S
        with self._changed:
            while not self._known.find(stream_id).known and denied < asked:
                left_s = until - self._clock.monotonic()
                if left_s <= 0:
                    break
                self._changed.wait(left_s)
            self._denied_by.pop(stream_id, None)
            return frozenset(denied)

    def _tell(self, origins: Iterable[StreamOrigin]) -> None:
        by_host: dict[str, list[StreamOrigin]] = collections.defaultdict(list)
        for origin in origins:
            for host_id in self._holders(origin.stream_id):
                by_host[host_id].append(origin)
        for receiver, told in by_host.items():
            self._messenger.send(
                receiver, PeerNotice(stream_origins=tuple(told))
            )

    def _holders(self, stream_id: str) -> frozenset[str]:
        """Return the other hosts that are told and asked of a stream."""
        zones = {peer.host_id: peer.zone for peer in self._fleet.current.alive}
        me = self._here.host_id
        chosen = holders(
            stream_id, self._here.zone, {**zones, me: self._here.zone}
        )
        return chosen - {me}


def _ignore() -> None:
    """Do nothing where no platform keeps origins."""
