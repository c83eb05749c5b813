"""Spools results in the data folder while the platform is not available.

A spooled result is only a copy. It becomes final when the chunk's state
refers to it, by the same conditional update as any other result.
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

_FOLDER_NAME = 'batch-spool'
_SUFFIX = '.json'
_UNFINISHED_SUFFIX = '.part'


@dataclasses.dataclass(frozen=True)
class SpooledResults:
    """Results of a chunk under one holder.

    ``size`` is the number of items in the chunk; ``part`` are the encoded
    outcomes in Base64.
    """

    job_id: str
    index: int
    holder: str
    size: int
    part: str = ''


_SPOOLED: pydantic.TypeAdapter[SpooledResults] = pydantic.TypeAdapter(
    SpooledResults,
)


class Spool:
    """Saves results as files and recovers them after a restart.

    Without a data folder it does nothing.

    Args:
        data_folder: folder for bulk data, if the host has one.
        store: the platform's object store.
        logger: logs recovered results and errors.
    """

    def __init__(
        self,
        data_folder: Path | None,
        store: WriteConfirmingStore,
        logger: EventLogger,
    ) -> None:
        self._folder = (
            None if data_folder is None else data_folder / _FOLDER_NAME
        )
        self._store = store
        self._logger = logger
        self._own_files: set[Path] = set()

    def save(
        self,
        spooled: SpooledResults,
        outcomes: Sequence[chunk_state.ItemOutcome],
    ) -> None:
        """Save results that could not be written to the platform."""
        if self._folder is None or not outcomes:
            return
        part = base64.b64encode(encode_part(outcomes)).decode()
        body = _SPOOLED.dump_json(dataclasses.replace(spooled, part=part))
        path = self._path(self._folder, spooled)
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            unfinished = path.with_suffix(_UNFINISHED_SUFFIX)
            unfinished.write_bytes(body)
            unfinished.replace(path)
        except OSError as error:
            self._logger.error('spool_failed', reason=str(error))
            return
        self._own_files.add(path)

    def discard(self, spooled: SpooledResults) -> None:
        """Delete saved results once they are written or out of date."""
        if self._folder is None:
            return
        path = self._path(self._folder, spooled)
        if path in self._own_files:
            path.unlink(missing_ok=True)
            self._own_files.discard(path)

    def recover(self) -> None:
        """Write results to the platform that an earlier process has saved.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        if self._folder is None or not self._folder.is_dir():
            return
        for path in sorted(self._folder.glob(f'*{_SUFFIX}')):
            if path not in self._own_files:
                self._recover_file(path)
                path.unlink(missing_ok=True)

    def _recover_file(self, path: Path) -> None:
        try:
            spooled = _SPOOLED.validate_json(path.read_bytes())
            outcomes = decode_part(base64.b64decode(spooled.part))
        except (ValueError, OSError) as error:
            self._logger.error('spool_unreadable', reason=repr(error))
            return
        with contextlib.suppress(ObjectConflictError):
            self._add_results(spooled, outcomes)

    def _add_results(
        self,
        spooled: SpooledResults,
        outcomes: Sequence[chunk_state.ItemOutcome],
    ) -> None:
        """Add the results to the chunk if its holder is still the same."""
        name = f'{spooled.job_id}.{spooled.index:04d}'
        stored = self._store.read(CHUNK_KIND, name)
        if stored is None:
            return
        state = decode_chunk(stored.body)
        held = state.status is chunk_state.ChunkStatus.held
        if not held or state.holder != spooled.holder:
            return
        fresh = [
            outcome
            for outcome in outcomes
            if outcome.index not in state.settled
        ]
        part = part_name(spooled.job_id, spooled.index, uuid.uuid4().hex[:12])
        self._store.create(RESULT_KIND, part, encode_part(fresh))
        next_state = chunk_state.add_part(state, part, fresh)
        if next_state.settled_items == spooled.size:
            next_state = chunk_state.finish(next_state)
        self._store.update(stored, encode_chunk(next_state))
        self._logger.info('spool_recovered', chunk=name, items=len(fresh))

    def _path(self, folder: Path, spooled: SpooledResults) -> Path:
        key = f'{spooled.job_id} {spooled.index} {spooled.holder}'
        name = hashlib.sha256(key.encode()).hexdigest()
        return folder / f'{name}{_SUFFIX}'
