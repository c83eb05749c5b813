"""Catalogue service of one entry host: current state, edits and watch."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import cast

from guavadyke.adapters.ports import Clock
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue_routes import CatalogueRoutes
from guavadyke.controllers.actors import ask_function
from guavadyke.controllers.catalogue import (
    EDIT,
    PEER,
    CatalogueController,
    CatalogueState,
    DifferingVersionsQuery,
    OfferedObjects,
)
from guavadyke.controllers.catalogue_disk_cache import CatalogueDiskCache
from guavadyke.controllers.catalogue_edits import CatalogueEditor
from guavadyke.controllers.catalogue_watch import CatalogueWatch
from guavadyke.decisions.object_versions import ObjectVersion
from guavadyke.log import EventLogger
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import CatalogueSnapshot, SnapshotCell


class CatalogueService:
    """Keeps this host's catalogue current and accepts edits.

    Args:
        settings: the entry host's settings.
        store: platform store that holds the catalogue objects.
        clock: source of time.
        rng: source of the random delays between retries.
        logger: event logger.
        changed: called after each change of the catalogue.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store: WriteConfirmingStore,
        clock: Clock,
        rng: random.Random,
        logger: EventLogger,
        changed: Callable[[], None],
    ) -> None:
        self._changed = changed
        self.catalogue = SnapshotCell(CatalogueSnapshot())
        self.state = SnapshotCell(CatalogueState())
        self.controller = CatalogueController.start(
            self.catalogue,
            self.state,
            logger,
            self._handle_change,
        )
        self.ask = ask_function(self.controller)
        self.editor = CatalogueEditor(
            store,
            self.state,
            self.ask,
            clock,
        )
        self.routes = CatalogueRoutes(
            settings.host_id,
            self.state,
            self.editor,
            store,
        )
        self._disk = (
            None
            if settings.data_folder is None
            else CatalogueDiskCache(
                settings.data_folder,
                self.state,
                self.ask,
                logger,
            )
        )
        self._watch = CatalogueWatch(
            settings.platform,
            store,
            self.ask,
            clock,
            rng,
            logger,
        )

    def start(self) -> None:
        """Load the copy on disk, then watch the platform for changes."""
        if self._disk is not None:
            self._disk.start()
        self._watch.start()

    def close(self) -> None:
        """Stop watching the platform; the last state stays readable."""
        self._watch.close()
        if self._disk is not None:
            self._disk.close()
        self.controller.stop()

    def differing_versions(
        self,
        digests: tuple[int, ...],
    ) -> tuple[ObjectVersion, ...]:
        """Return the versions in buckets whose digest differs from a peer's."""
        versions = self.ask(DifferingVersionsQuery(digests))
        return cast(tuple[ObjectVersion, ...], versions) or ()

    def status(self) -> dict[str, object]:
        """Return revision, digest, versions and faults as JSON types."""
        state = self.state.current
        return {
            'revision': state.snapshot.revision,
            'total': state.mark.total,
            'digest': state.mark.digest,
            'versions': dict(state.snapshot.versions),
            'faults': dict(state.faults),
            'silent_watches': self._watch.silence_count,
        }

    def _handle_change(self, offered: OfferedObjects) -> None:
        if offered.source in {PEER, EDIT}:
            self._watch.expect_versions(offered.objects)
        self._changed()
