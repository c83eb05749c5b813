"""Results that wait on the data folder while the platform is away.

A spooled result is a copy: it counts only once the chunk's state refers to
it, and then by the same conditional update as any other.
"""

from __future__ import annotations

import base64
import contextlib
import dataclasses
import hashlib
import uuid
from collections.abc import Sequence
from pathlib import Path

import pydantic

from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.batch_records import (
    CHUNK_KIND,
    RESULT_KIND,
    decode_chunk,
    decode_part,
    encode_chunk,
    encode_part,
    part_name,
)
from guavadyke.decisions import chunk_state
from guavadyke.errors import ObjectConflictError
from guavadyke.log import EventLogger

_FOLDER = 'batch-spool'
_SUFFIX = '.json'
_UNFINISHED = '.part'


@dataclasses.dataclass(frozen=True)
class SpooledResults:
    """Results of a chunk under one holder; ``size`` is the chunk's items."""

    job_id: str
    index: int
    holder: str
    size: int
    part: str = ''


_SPOOLED: pydantic.TypeAdapter[SpooledResults] = pydantic.TypeAdapter(
    SpooledResults,
)


class Spool:
    """Keeps and takes up results; without a folder it does nothing.

    Args:
        data_folder: folder for bulk data, if the host has one.
        store: the platform.
        logger: told of results that were taken up.
    """

    def __init__(
        self,
        data_folder: Path | None,
        store: WriteConfirmingStore,
        logger: EventLogger,
    ) -> None:
        self._folder = None if data_folder is None else data_folder / _FOLDER
        self._store = store
        self._logger = logger
        self._own: set[Path] = set()

    def keep(
        self,
        spooled: SpooledResults,
        outcomes: Sequence[chunk_state.ItemOutcome],
    ) -> None:
        """Keep results that the platform does not take now."""
        if self._folder is None or not outcomes:
            return
        part = base64.b64encode(encode_part(outcomes)).decode()
        body = _SPOOLED.dump_json(dataclasses.replace(spooled, part=part))
        path = self._path(self._folder, spooled)
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            unfinished = path.with_suffix(_UNFINISHED)
            unfinished.write_bytes(body)
            unfinished.replace(path)
        except OSError as error:
            self._logger.error('spool_failed', reason=str(error))
            return
        self._own.add(path)

    def forget(self, spooled: SpooledResults) -> None:
        """Delete results that were written, or that no longer count."""
        if self._folder is None:
            return
        path = self._path(self._folder, spooled)
        if path in self._own:
            path.unlink(missing_ok=True)
            self._own.discard(path)

    def take_up(self) -> None:
        """Write results that an earlier process of this host left behind.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        if self._folder is None or not self._folder.is_dir():
            return
        for path in sorted(self._folder.glob(f'*{_SUFFIX}')):
            if path not in self._own:
                self._take_up(path)
                path.unlink(missing_ok=True)

    def _take_up(self, path: Path) -> None:
        try:
            spooled = _SPOOLED.validate_json(path.read_bytes())
            outcomes = decode_part(base64.b64decode(spooled.part))
        except (ValueError, OSError) as error:
            self._logger.error('spool_unreadable', reason=repr(error))
            return
        with contextlib.suppress(ObjectConflictError):
            self._write(spooled, outcomes)

    def _write(
        self,
        spooled: SpooledResults,
        outcomes: Sequence[chunk_state.ItemOutcome],
    ) -> None:
        """Add the results if nobody has taken the chunk since."""
        name = f'{spooled.job_id}.{spooled.index:04d}'
        stored = self._store.read(CHUNK_KIND, name)
        if stored is None:
            return
        state = decode_chunk(stored.body)
        held = state.status is chunk_state.ChunkStatus.held
        if not held or state.holder != spooled.holder:
            return
        fresh = [one for one in outcomes if one.index not in state.settled]
        part = part_name(spooled.job_id, spooled.index, uuid.uuid4().hex[:12])
        self._store.create(RESULT_KIND, part, encode_part(fresh))
        following = chunk_state.add_part(state, part, fresh)
        if following.settled_items == spooled.size:
            following = chunk_state.finish(following)
        self._store.update(stored, encode_chunk(following))
        self._logger.info('spool_taken_up', chunk=name, items=len(fresh))

    def _path(self, folder: Path, spooled: SpooledResults) -> Path:
        key = f'{spooled.job_id} {spooled.index} {spooled.holder}'
        name = hashlib.sha256(key.encode()).hexdigest()
        return folder / f'{name}{_SUFFIX}'
