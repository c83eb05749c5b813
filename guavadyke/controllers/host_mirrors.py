"""The kinds of platform objects that a host mirrors."""

from __future__ import annotations

import random
from collections.abc import Callable

from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.mirror import (
    Mirror,
    MirrorSettings,
    MirrorSink,
    WatchableStore,
    job_end_mirror,
    job_mirror,
)
from guavadyke.controllers.route_table_sink import RouteTableSink
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.decisions.unread_kinds import awaited_kinds
from guavadyke.forward_job_documents import JOB_KIND, PROGRESS_KIND
from guavadyke.log import EventLogger
from guavadyke.settings import PlatformSettings
from guavadyke.snapshots import SnapshotCell


class HostMirrors:
    """All mirrors of a host.

    Args:
        clock: dates the calls of the mirrors.
        child_rng: returns a random generator for the use of one thread.
        logger: logs when the platform becomes unreachable and reachable.
    """

    def __init__(
        self,
        clock: Clock,
        child_rng: Callable[[], random.Random],
        logger: EventLogger,
    ) -> None:
        self._clock = clock
        self._child_rng = child_rng
        self._logger = logger
        self._mirrors: list[Mirror] = []
        self._awaited: tuple[str, ...] = ()

    @property
    def listed(self) -> bool:
        """Whether each kind has been listed at least once."""
        return all(mirror.listed for mirror in self._mirrors)

    @property
    def failing(self) -> bool:
        """Whether the last list of a kind failed, directly and by peers."""
        return any(mirror.failing for mirror in self._mirrors)

    @property
    def allow_items(self) -> bool:
        """Whether all is known that could forbid an item to start.

        That is so if no kind with a bound may be older than that, and none
        has still to be read (``decisions/unread_kinds.py``).
        """
        awaited = awaited_kinds([mirror.state for mirror in self._mirrors])
        if awaited != self._awaited:
            self._awaited = awaited
            self._logger.info(
                'item_starts_wait' if awaited else 'item_starts_go_on',
                kinds=','.join(awaited),
            )
        return not awaited and not any(mirror.stale for mirror in self._mirrors)

    def add(
        self,
        settings: MirrorSettings,
        store: WatchableStore,
        sink: MirrorSink,
    ) -> Mirror:
        """Add a mirror of a kind; it starts with the others."""
        mirror = Mirror(
            settings,
            store,
            sink,
            self._clock,
            self._child_rng(),
            self._logger,
        )
        self._mirrors.append(mirror)
        return mirror

    def add_table(
        self,
        settings: MirrorSettings,
        store: WatchableStore,
        decode: Callable[[StoredObject], RouteTable | None],
        table: SnapshotCell[RouteTable],
    ) -> Mirror:
        """Add the mirror of the configuration, which publishes ``table``."""
        return self.add(
            settings, store, RouteTableSink(decode, table, self._logger)
        )

    def add_jobs(
        self,
        settings: PlatformSettings,
        store: WatchableStore,
        registry: JobRegistry,
    ) -> None:
        """Add the mirrors of jobs and of their progress."""
        self.add(job_mirror(JOB_KIND, settings), store, registry.jobs)
        self.add(
            job_end_mirror(PROGRESS_KIND, settings), store, registry.progress
        )

    def start(self) -> None:
        """Start to mirror all kinds in the background."""
        for mirror in self._mirrors:
            mirror.start()

    def close(self) -> None:
        """Stop after the current calls, without waiting for them."""
        for mirror in self._mirrors:
            mirror.close()
