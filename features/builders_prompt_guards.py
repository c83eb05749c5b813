"""Hosts with prompt guards that share a platform, without a network."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

import pydantic

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendCall,
    BackendFault,
    BackendServerError,
    StoredObject,
)
from guavadyke.controllers.mirror import Mirror, MirrorSettings
from guavadyke.controllers.prompt_guard import GuardedRun, PromptGuard
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.errors import PlatformUnavailableError
from guavadyke.forward_prompts import ForwardPrompts
from guavadyke.log import EventLogger
from guavadyke.prompt_report_documents import REPORT_KIND
from guavadyke.settings import HostSettings
from guavadyke.snapshots import FleetSnapshot, PeerView, SnapshotCell

# Longer than a guard waits to see whether further servers seem to end.
SETTLED_S = 0.05


def host_settings(host_id: str) -> HostSettings:
    """Return the settings of a host."""
    return HostSettings.model_validate({
        'host_id': host_id,
        'zone': build.ZONE,
        'peer': {
            'listen': {'ip': build.LOOPBACK, 'port': 0},
            'fleet_key': {'environment': 'GUAVADYKE_FLEET_KEY'},
        },
        'platform': {'url': 'http://127.0.0.1:1'},
    })


def peer(host_id: str) -> PeerView:
    """Return a live peer."""
    return PeerView(host_id, build.ZONE, 'south', '127.0.0.2:1', 'alive', 1, 0)


class CrashingServers(build.FakeServers):
    """Servers that end for good as soon as they begin to answer.

    ``pool`` lists them.
    """

    pool: ServerPool

    def send(self, call: BackendCall) -> BackendAnswer:
        self.calls.append(call)
        self.pool.remove(call.server_id)
        raise BackendServerError(
            BackendFault.broken, 'ended', not_run=False, disconnected=True
        )


class LastReportDocument(pydantic.BaseModel):
    """The body of a report as hosts of the last version read it."""

    incarnation: str = ''
    suspects: tuple[dict[str, object], ...] = ()
    completed: tuple[str, ...] = ()
    at: float


def _do_nothing() -> None:
    """Do nothing."""


class InterruptedStore(MemoryStore):
    """A link to the platform whose next write something may come before.

    ``before_write`` is called once, when the write is on its way, and
    ``after_write`` once, when its answer is.
    """

    def __init__(self, platform: MemoryPlatform) -> None:
        super().__init__(platform)
        self.before_write: Callable[[], None] = _do_nothing
        self.after_write: Callable[[], None] = _do_nothing

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        self._interrupt('before_write')
        stored = super().create(kind, name, body)
        self._interrupt('after_write')
        return stored

    def update(
        self, kind: str, name: str, body: bytes, version: int
    ) -> StoredObject:
        self._interrupt('before_write')
        stored = super().update(kind, name, body, version)
        self._interrupt('after_write')
        return stored

    def _interrupt(self, moment: str) -> None:
        act = getattr(self, moment)
        setattr(self, moment, _do_nothing)
        act()


class GuardedFleet:
    """Hosts with a prompt guard each; reports pass when ``exchange`` is called.

    Args:
        size: number of hosts.
    """

    def __init__(self, size: int) -> None:
        self.clock = build.ManualClock()
        self.platform = MemoryPlatform()
        self.hosts: dict[str, ForwardPrompts] = {}
        self.links: dict[str, InterruptedStore] = {}
        self._mirrors: dict[str, Mirror] = {}
        self._names = [f'host-{number}' for number in range(size)]
        for name in self._names:
            self.start(name)

    @property
    def reports(self) -> int:
        """Number of reports on the platform."""
        return len(self.platform.of_kind(REPORT_KIND))

    @property
    def writes(self) -> int:
        """Writes of reports and claims, also those that met a conflict."""
        calls = self.platform.calls
        return sum(
            calls[f'{write} {REPORT_KIND}'] for write in ('create', 'update')
        )

    @property
    def guards(self) -> list[PromptGuard]:
        """The guards of all hosts."""
        return [host.guard for host in self.hosts.values()]

    def start(self, name: str) -> None:
        """Start a host, which forgets what it knew."""
        link = InterruptedStore(self.platform)
        link.faults.waits = False
        self.links[name] = link
        store = build.settled(link)
        peers = tuple(peer(one) for one in self._names if one != name)
        host = ForwardPrompts(
            host_settings(name),
            store,
            SnapshotCell(FleetSnapshot(peers)),
            self.clock,
            EventLogger(),
        )
        self.hosts[name] = host
        self._mirrors[name] = Mirror(
            MirrorSettings(REPORT_KIND, 0),
            store,
            host.sink,
            self.clock,
            random.Random(5),
            EventLogger(),
        )
        self._mirrors[name].step()

    def exchange(self) -> None:
        """Send the reports that are due and let every host read them."""
        self.send()
        for mirror in self._mirrors.values():
            mirror.step()

    def send(self) -> None:
        """Send the reports that are due, which no host reads yet."""
        for host in self.hosts.values():
            host.sender.send_due()

    def crash(self, number: int, *prompts: tuple[str, ...]) -> None:
        """Let a server end under prompts, each at another host."""
        for place, parts in enumerate(prompts):
            host_id = self._names[(number + place) % len(self._names)]
            self.end_server(host_id, number, parts)
        self.settle()
        self.exchange()

    def end_server(
        self, host_id: str, number: int | str, parts: tuple[str, ...]
    ) -> None:
        """Let a server end under a request that a host has just sent to it."""
        run = GuardedRun(self.hosts[host_id].guard, parts, self.clock)
        run.disconnected(f's{number}/1')

    def settle(self) -> None:
        """Let the time pass in which hosts wait for further breaks."""
        self.clock.sleep(SETTLED_S)

    def refusing(
        self, *parts: str, hosts: Collection[str] | None = None
    ) -> int:
        """Return how many hosts refuse a request with these parts.

        Each of them gets one at the same moment, and none gets another.

        Args:
            parts: the parts.
            hosts: ids of the hosts that get one; None for all.
        """
        asked = [self.hosts[name].guard for name in hosts or self.hosts]
        for one in asked:
            one.trials.allows(one.check(parts))
        self.claim()
        return sum(
            not guard.trials.begins(guard.check(parts)) for guard in asked
        )

    def refusing_after(
        self, seconds: float, *parts: str, hosts: Collection[str]
    ) -> int:
        """Return ``refusing`` once some seconds have passed."""
        self.clock.sleep(seconds)
        return self.refusing(*parts, hosts=hosts)

    def list_again(self) -> None:
        """Let every host lose its watch and read a full list."""
        for mirror in self._mirrors.values():
            mirror.record_failure(PlatformUnavailableError('away'))
            mirror.step()

    def claim(self, hosts: Collection[str] | None = None) -> None:
        """Claim the trials that are wanted and let every host read them.

        Args:
            hosts: ids of the hosts that claim; None for all.
        """
        for name in hosts or self.hosts:
            self.hosts[name].claimer.claim_wanted()
            self.hosts[name].claimer.renew_due()
        self.read()

    def try_at_server(
        self, host_id: str, parts: tuple[str, ...]
    ) -> ServerLease | None:
        """Send a request with these parts; its answer is not awaited.

        Returns:
            The server that it was sent to, None if the host refuses it.
        """
        trials = self.hosts[host_id].guard.trials
        trials.allows(self.hosts[host_id].guard.check(parts))
        self.claim()
        lease = ServerLease(build.server('s1'), False, self.clock.monotonic())
        found = self.hosts[host_id].guard.check(parts)
        return lease if trials.begins(found, lease) else None

    def read(self) -> None:
        """Let every host read what is on the platform."""
        for mirror in self._mirrors.values():
            mirror.step()
