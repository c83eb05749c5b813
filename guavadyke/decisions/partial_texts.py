"""Texts of items that have not ended, and the copies from other hosts."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Collection, Mapping

# Time for which the texts of a job wait until this host owns the job. Longer
# than a host may take to learn that it does.
_KEPT_S = 30.0
# Bounds what one job may hand over. A call between hosts holds twice as much.
_MAX_JOB_BYTES = 2_097_152
# Bounds the memory for the texts of jobs that this host does not own yet.
_MAX_KEPT_BYTES = 16_777_216
# An event takes more bytes than its data, in memory and in a call.
_EVENT_BYTES = 40


@dataclasses.dataclass(frozen=True)
class PartialText:
    """Events of an item received so far: their data and the last event id.

    ``software`` is the version that wrote them; others can't continue them.
    """

    last_id: int = 0
    pieces: tuple[bytes, ...] = ()
    software: str = ''

    @property
    def text(self) -> str:
        """The data of all events, one per line."""
        return b'\n'.join(self.pieces).decode(errors='replace')

    @property
    def size_bytes(self) -> int:
        """Approximate size in memory and in a call between hosts."""
        return sum(map(len, self.pieces)) + _EVENT_BYTES * len(self.pieces)


@dataclasses.dataclass(frozen=True)
class JobTexts:
    """Texts of unfinished items of one job, by their ids."""

    job_id: str
    by_item: Mapping[str, PartialText]

    @property
    def size_bytes(self) -> int:
        """Approximate size in memory and in a call between hosts."""
        return sum(text.size_bytes for text in self.by_item.values())

    def limited(self) -> JobTexts:
        """Return only texts with events, as many as one call may carry."""
        by_size = sorted(
            (
                (item_id, text)
                for item_id, text in self.by_item.items()
                if text.last_id
            ),
            key=lambda entry: entry[1].size_bytes,
        )
        sizes = itertools.accumulate(text.size_bytes for _id, text in by_size)
        fitting = sum(size <= _MAX_JOB_BYTES for size in sizes)
        return JobTexts(self.job_id, dict(by_size[:fitting]))


class ReceivedTexts:
    """Texts that other hosts have sent, until this host owns their jobs.

    All times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._kept: dict[str, tuple[float, JobTexts]] = {}

    def add(self, texts: JobTexts, now: float) -> None:
        """Keep the texts of a job in place of earlier ones.

        The oldest are dropped where all together are too large.
        """
        self._kept.pop(texts.job_id, None)
        self._kept[texts.job_id] = (now, texts.limited())
        self._drop_expired(now)
        excess = self._size_bytes - _MAX_KEPT_BYTES
        while excess > 0:
            _at, oldest = self._kept.pop(next(iter(self._kept)))
            excess -= oldest.size_bytes

    def take(self, job_ids: Collection[str], now: float) -> list[JobTexts]:
        """Return the texts of some jobs, and keep them no longer."""
        self._drop_expired(now)
        return [
            self._kept.pop(job_id)[1]
            for job_id in tuple(self._kept)
            if job_id in job_ids
        ]

    @property
    def _size_bytes(self) -> int:
        return sum(texts.size_bytes for _at, texts in self._kept.values())

    def _drop_expired(self, now: float) -> None:
        self._kept = {
            job_id: (added_at, texts)
            for job_id, (added_at, texts) in self._kept.items()
            if now - added_at < _KEPT_S
        }
