"""Copy of the catalogue on a host that has a disk."""

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
from guavadyke.log import EventLogger
from guavadyke.snapshots import SnapshotCell

_FILE_NAME = 'catalogue.jsonl'
_INTERVAL_S = 1.0
_BAD_LINE = (GuavadykeError, ValueError, KeyError, TypeError)


class CatalogueDiskCache:
    """A thread that keeps the copy, and reads it at the start.

    Args:
        folder: the data folder.
        state: the catalogue in force on this host.
        offer: offers objects to the catalogue's controller.
        logger: gets a line where the copy cannot be read or written.
    """

    def __init__(
        self,
        folder: Path,
        state: SnapshotCell[CatalogueState],
        offer: Callable[[OfferedObjects], object],
        logger: EventLogger,
    ) -> None:
        self._path = folder / _FILE_NAME
        self._state = state
        self._offer = offer
        self._logger = logger
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='catalogue-disk',
            daemon=True,
        )

    def start(self) -> None:
        """Put the copy in force, then keep it in the background."""
        if self._path.exists():
            self._load()
        self._thread.start()

    def close(self) -> None:
        """Write once more and end."""
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join()

    def _load(self) -> None:
        try:
            lines = self._path.read_text(encoding='utf-8').splitlines()
        except (OSError, ValueError) as error:
            self._logger.error('catalogue_copy_unreadable', reason=error)
            return
        objects = (self._read_line(line) for line in lines)
        readable = tuple(one for one in objects if one is not None)
        self._offer(OfferedObjects(DISK, readable))

    def _read_line(self, line: str) -> CatalogueObject | None:
        try:
            document = json.loads(line)
            name, body = document['name'], document['body']
            return decode_object(str(name), str(body).encode())
        except _BAD_LINE as error:
            self._logger.error('catalogue_copy_unreadable', reason=error)
            return None

    def _run(self) -> None:
        written = self._state.current.mark
        stopped = False
        while not stopped:
            stopped = self._stop.wait(_INTERVAL_S)
            state = self._state.current
            if state.mark != written and self._write(state):
                written = state.mark

    def _write(self, state: CatalogueState) -> bool:
        """Replace the file in one step."""
        lines = (
            json.dumps({
                'name': one.name,
                'body': encode_object(one).decode(),
            })
            for one in state.objects.values()
        )
        fresh = self._path.with_suffix('.new')
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            fresh.write_text('\n'.join(lines), encoding='utf-8')
            fresh.replace(self._path)
        except OSError as error:
            self._logger.error('catalogue_copy_not_written', reason=error)
            return False
        return True
