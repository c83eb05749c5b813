"""Builders of hosts of one zone that share watches of the platform."""

from __future__ import annotations

import dataclasses
import random

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.clock import SuspendAwareClock
from guavadyke.adapters.platform_fallback import FallbackStore
from guavadyke.adapters.ports import ObjectEvent, StoredObject, WatchAnswer
from guavadyke.adapters.shared_watches import (
    PeerWatches,
    SharedWatches,
    WatchHub,
)
from guavadyke.decisions.change_log import ChangeLog
from guavadyke.decisions.watch_sharing import plan_watch
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger

KIND = 'things'
# Hosts that ask do not wait in these tests.
_WAIT_S = 0.001
# Time that a peer has for its answer beyond the wait for a change.
PEER_MARGIN_S = 0.4
# Longer than any of these tests takes.
_MARGIN_S = 60.0


class _Channels:
    """Calls the hubs of other hosts directly, without a network."""

    def __init__(self, fleet: WatchingFleet) -> None:
        self._fleet = fleet

    def call(
        self,
        address: str,
        _key: str,
        request: calls.WatchQuery,
        wait_s: float,
    ) -> calls.PeerReply:
        host = self._fleet.hosts[address]
        if host.frozen:
            self._fleet.frozen_wait_s += wait_s + PEER_MARGIN_S
            raise calls.PeerAnswerLostError(address)
        if host.lost:
            raise calls.PeerNotReachedError(address)
        return host.hub.answer(request)


class _NoClient:
    """Relays no calls, so that hosts learn only by their watches."""

    def call(
        self, address: str, _request: object, _timeout_s: float
    ) -> calls.PeerReply:
        raise calls.PeerNotReachedError(address)


@dataclasses.dataclass
class WatchingHost:
    """A host, what it knows and how its watches have ended."""

    link: MemoryStore
    hub: WatchHub
    store: FallbackStore
    revision: int = 0
    lost: bool = False
    frozen: bool = False
    wait_s: float = _WAIT_S
    failures: int = 0
    events: list[ObjectEvent] = dataclasses.field(default_factory=list)

    def watch(self) -> None:
        """Make one watch from the revision that the host knows."""
        try:
            answer = self.store.watch(KIND, self.revision, self.wait_s)
        except GuavadykeError:
            self.failures += 1
            return
        self.events.extend(answer.events)
        self.revision = max(self.revision, answer.revision)


class WatchingFleet:
    """Hosts of one zone on one platform.

    ``frozen_wait_s`` sums up how long hosts would have waited for frozen ones.
    """

    def __init__(self, size: int) -> None:
        self.platform = MemoryPlatform()
        self.frozen_wait_s: float = 0
        self.hosts: dict[str, WatchingHost] = {}
        self.hosts = {
            name: self._host(name, number)
            for number, name in enumerate(f'h{index}' for index in range(size))
        }

    @property
    def watchers(self) -> list[WatchingHost]:
        """The hosts that watch the platform for all."""
        return [
            host
            for name, host in self.hosts.items()
            if plan_watch(KIND, name, self.hosts).watches
        ]

    @property
    def others(self) -> list[WatchingHost]:
        """The hosts that ask the watchers."""
        watchers = self.watchers
        return [one for one in self.hosts.values() if one not in watchers]

    @property
    def live(self) -> list[WatchingHost]:
        """The hosts that are not lost."""
        return [host for host in self.hosts.values() if not host.lost]

    def watch(self) -> None:
        """Let each host make one watch, those that watch for others first."""
        for host in (*self.watchers, *self.others):
            if not host.lost:
                host.watch()

    def _host(self, name: str, seed: int) -> WatchingHost:
        link = MemoryStore(self.platform)
        link.faults.waits = False
        hub = WatchHub(_MARGIN_S, SuspendAwareClock())

        def plan(kind: str) -> tuple[bool, tuple[str, ...]]:
            found = plan_watch(kind, name, self.hosts)
            return found.watches, found.sources

        store = FallbackStore(
            link,
            _NoClient(),
            list,
            build.ManualClock(),
            random.Random(seed),
            EventLogger(),
            SharedWatches(
                hub, PeerWatches(_Channels(self), EventLogger()), plan
            ),
        )
        return WatchingHost(link, hub, store)


def change(revision: int) -> ObjectEvent:
    """Return a change of one object."""
    name = 'object'
    return ObjectEvent(
        name, revision, StoredObject(KIND, name, revision, b'body')
    )


def log_of(changes: int) -> ChangeLog:
    """Return a log of that many changes, one for each revision."""
    log = ChangeLog()
    for revision in range(changes):
        log.record(revision, WatchAnswer(revision + 1, (change(revision + 1),)))
    return log
