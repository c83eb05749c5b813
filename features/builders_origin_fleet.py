"""Hosts that tell each other where streams began, without a network."""

from __future__ import annotations

import collections
import contextlib
import functools
from collections.abc import Callable, Collection, Iterable, Sequence

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from features.builders_prompt_guards import host_settings
from guavadyke.adapters.ports import Clock, PeerNotice
from guavadyke.controllers.stream_origin_writer import StreamOriginWriter
from guavadyke.controllers.stream_origins import StreamOrigins
from guavadyke.decisions.server_registry import ListedServer
from guavadyke.decisions.slot import HostLocation
from guavadyke.decisions.stream_origins import KnownOrigins, StreamOrigin
from guavadyke.errors import ObjectConflictError
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell
from guavadyke.stream_origin_documents import ORIGIN_KIND

_ZONES = ('south-a', 'south-b', 'south-c')


class OriginMessenger:
    """Delivers notices at once, but none to a silent host."""

    def __init__(self, fleet: OriginFleet, host_id: str) -> None:
        self._fleet = fleet
        self._host_id = host_id

    def send(self, host_id: str, notice: PeerNotice) -> None:
        """Deliver a notice."""
        for origin in notice.stream_origins:
            if origin.known:
                self._fleet.told[origin.stream_id].add(host_id)
        if not {host_id, self._host_id} & self._fleet.silent:
            receiver = self._fleet.origins[host_id]
            receiver.receive(self._host_id, notice)

    def send_all(self, host_ids: Collection[str], notice: PeerNotice) -> None:
        """Deliver a notice to several hosts."""
        for host_id in host_ids:
            self.send(host_id, notice)

    def subscribe(self, receive: Callable[[str, PeerNotice], None]) -> None:
        """Do nothing: the fleet knows whom to call."""


class OriginFleet:
    """Hosts in three zones; ``exchange`` does what their threads would do.

    Args:
        size: number of hosts.
        versions: the software versions of the servers.
        clock: the clock of all hosts; a manual one by default.
    """

    def __init__(
        self, size: int, versions: Iterable[str], clock: Clock | None = None
    ) -> None:
        self.clock = clock or build.ManualClock()
        self.platform = MemoryPlatform()
        self.silent: set[str] = set()
        self.cut_off: set[str] = set()
        self.out_of_step: set[str] = set()
        self.told: dict[str, set[str]] = collections.defaultdict(set)
        self.names = [f'host-{number}' for number in range(size)]
        self.origins: dict[str, StreamOrigins] = {}
        self.writers: dict[str, StreamOriginWriter] = {}
        self.begun: list[StreamOrigin] = []
        self.servers: tuple[ListedServer, ...] = ()
        for name in self.names:
            self._start(name)
        self.list_servers(versions)
        self.recall()

    @property
    def objects(self) -> int:
        """Number of objects on the platform."""
        return len(self.platform.of_kind(ORIGIN_KIND))

    @property
    def reads(self) -> int:
        """Number of lists that hosts have made."""
        return self.platform.calls[f'list {ORIGIN_KIND}']

    def list_servers(self, versions: Iterable[str]) -> None:
        """Let all hosts see servers of these versions alone."""
        self.servers = tuple(
            ListedServer(
                f's-{version}', build.SERVICE, '', '', 8, software=version
            )
            for version in versions
        )
        for name, origins in self.origins.items():
            if name not in self.out_of_step:
                origins.servers_listed(self.servers)

    def restart_all(self) -> None:
        """Start all hosts anew, which forget what they knew."""
        for name in self.names:
            self._start(name)
            self.origins[name].servers_listed(self.servers)

    def recall(self) -> None:
        """Let all hosts read what the platform holds."""
        for writer in self.writers.values():
            writer.recall()

    def begin(self, count: int) -> None:
        """Begin streams at hosts and versions in turn."""
        self.begin_at(self.names, count)

    def begin_at(self, names: Sequence[str], count: int) -> None:
        """Begin streams at some hosts and at all versions in turn."""
        for number in range(count):
            server = self.servers[number % len(self.servers)]
            origin = StreamOrigin(
                f'stream-{len(self.begun)}', build.SERVICE, server.software
            )
            self.begun.append(origin)
            host_id = names[number % len(names)]
            self.origins[host_id].began(origin)

    def forget_told(self, names: Iterable[str]) -> None:
        """Let hosts forget which streams they were told."""
        for name in names:
            self.origins[name]._known = KnownOrigins()

    def exchange(self) -> None:
        """Tell of new versions, and write what is due."""
        for origins in self.origins.values():
            origins.tell_new_versions()
        for writer in self.writers.values():
            with contextlib.suppress(ObjectConflictError):
                writer.write_due()

    def find(self, host_id: str, stream_id: str) -> StreamOrigin:
        """Return where a stream began, as a host learns it."""
        return self.origins[host_id].find(build.SERVICE, stream_id)

    def _serves_alone(self, name: str, _service: str, software: str) -> bool:
        listed = {server.software for server in self.servers}
        return name not in self.cut_off and listed == {software}

    def _start(self, name: str) -> None:
        fleet = SnapshotCell(
            FleetSnapshot(
                tuple(_peer(one) for one in self.names if one != name)
            )
        )
        link = MemoryStore(self.platform)
        link.faults.waits = False
        self.origins[name] = StreamOrigins(
            HostLocation(name, _zone(name)),
            fleet,
            OriginMessenger(self, name),
            functools.partial(self._serves_alone, name),
            self.clock,
            EventLogger(),
        )
        self.writers[name] = StreamOriginWriter(
            host_settings(name).host_id,
            self.origins[name],
            build.settled(link),
            fleet,
            self.clock,
            EventLogger(),
        )
        self.origins[name].read_platform = self.writers[name].read_again


def _zone(name: str) -> str:
    return _ZONES[int(name.rpartition('-')[2]) % len(_ZONES)]


def _peer(name: str) -> PeerView:
    return PeerView(name, _zone(name), 'south', '127.0.0.2:1', 'alive', 1, 0)
