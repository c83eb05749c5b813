"""Cache of the catalogue on disk, for starting without platform and peers."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable
from pathlib import Path

from guavadyke.catalogue_objects import (
    CatalogueObject,
    decode_object,
    encode_object,
)
from guavadyke.controllers.catalogue import DISK, CatalogueState, OfferedObjects
from guavadyke.errors import GuavadykeError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger
from guavadyke.snapshots import SnapshotCell

_FILE_NAME = 'catalogue.jsonl'
_WRITE_INTERVAL_S = 1.0
_UNREADABLE_LINE_ERRORS = (GuavadykeError, ValueError, KeyError, TypeError)


class CatalogueDiskCache:
    """Loads the cached catalogue at start; a thread rewrites it on change.

    Args:
        folder: the data folder; the file in it is ``catalogue.jsonl``.
        state: the catalogue in force on this host.
        offer_objects: passes the cached objects to the catalogue's
            controller.
        logger: logs when the file can't be read or written.
    """

    def __init__(
        self,
        folder: Path,
        state: SnapshotCell[CatalogueState],
        offer_objects: Callable[[OfferedObjects], object],
        logger: EventLogger,
    ) -> None:
        self._path = folder / _FILE_NAME
        self._state = state
        self._offer_objects = offer_objects
        self._logger = logger
        self._stop = threading.Event()
        self._thread = GuardedThread(
            self._run, 'catalogue-disk', self._stop, self._logger
        )

    def start(self) -> None:
        """Put the cached objects into force, then start the writing thread."""
        if self._path.exists():
            self._load()
        self._thread.start()

    def close(self) -> None:
        """Write the file once more if it is outdated, then stop the thread."""
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join()

    def _load(self) -> None:
        try:
            lines = self._path.read_text(encoding='utf-8').splitlines()
        except (OSError, ValueError) as error:
            self._logger.error('catalogue_copy_unreadable', reason=error)
            return
        objects = (self._decode_line(line) for line in lines)
        decoded = tuple(
            catalogue_object
            for catalogue_object in objects
            if catalogue_object is not None
        )
        self._offer_objects(OfferedObjects(DISK, decoded))

    def _decode_line(self, line: str) -> CatalogueObject | None:
        try:
            document = json.loads(line)
            name, body = document['name'], document['body']
            return decode_object(str(name), str(body).encode())
        except _UNREADABLE_LINE_ERRORS as error:
            self._logger.error('catalogue_copy_unreadable', reason=error)
            return None

    def _run(self) -> None:
        written_mark = self._state.current.mark
        stopped = False
        while not stopped:
            stopped = self._stop.wait(_WRITE_INTERVAL_S)
            state = self._state.current
            if state.mark != written_mark and self._write(state):
                written_mark = state.mark

    def _write(self, state: CatalogueState) -> bool:
        """Replace the file atomically; return whether that succeeded."""
        lines = (
            json.dumps({
                'name': catalogue_object.name,
                'body': encode_object(catalogue_object).decode(),
            })
            for catalogue_object in state.objects.values()
        )
        temporary_path = self._path.with_suffix('.new')
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            temporary_path.write_text('\n'.join(lines), encoding='utf-8')
            temporary_path.replace(self._path)
        except OSError as error:
            self._logger.error('catalogue_copy_not_written', reason=error)
            return False
        return True
