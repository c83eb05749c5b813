"""Tracks which backend servers are leaving, by versioned marks."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable

_MARK_OVERHEAD_BYTES = 16


class LeavingSource(enum.StrEnum):
    """Source of the statement that a backend server is leaving.

    ``host_list``: the platform's list of hosts; ``report``: the server's
    own load report; ``operator``: an operator's request.
    """

    host_list = 'host_list'
    report = 'report'
    operator = 'operator'


@dataclasses.dataclass(frozen=True)
class LeavingMark:
    """Statement of one source on whether a backend server is leaving.

    Of two marks with the same key the one with the higher version is
    newer. A version is in milliseconds since the epoch, raised where
    necessary to exceed the version of the mark that it replaces.
    """

    backend_id: str
    source: LeavingSource
    version: int
    leaving: bool

    @property
    def key(self) -> tuple[str, LeavingSource]:
        """Server and source; a newer mark replaces one of the same key."""
        return (self.backend_id, self.source)

    @property
    def size_bytes(self) -> int:
        """Estimated size in a datagram."""
        texts = len(self.backend_id) + len(self.source)
        return texts + _MARK_OVERHEAD_BYTES


@dataclasses.dataclass(frozen=True)
class LeavingObservation:
    """What a source answered when this host asked about a backend server.

    Args:
        backend_id: the backend server.
        source: the source that was asked.
        leaving: whether the server is leaving, as the source says.
        observed_at: monotonic seconds; the latest time whose state the answer
            can describe.
        wall_ms: time of the observation, milliseconds since the epoch.
    """

    backend_id: str
    source: LeavingSource
    leaving: bool
    observed_at: float
    wall_ms: int


class LeavingRegistry:
    """The newest mark of each backend server and source.

    Args:
        lag_s: seconds by which a source may be out of date. An answer
            given less than this after a mark arrived can't revoke it.
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._marks: dict[tuple[str, LeavingSource], LeavingMark] = {}
        self._learnt_at: dict[tuple[str, LeavingSource], float] = {}

    @property
    def marks(self) -> tuple[LeavingMark, ...]:
        """All marks, including those of servers that are not leaving."""
        return tuple(self._marks.values())

    @property
    def leaving(self) -> frozenset[str]:
        """Ids of the servers that are leaving according to any source."""
        return frozenset(
            mark.backend_id for mark in self._marks.values() if mark.leaving
        )

    def merge(
        self, marks: Iterable[LeavingMark], now: float
    ) -> list[LeavingMark]:
        """Merge the marks of other hosts; return those that were newer.

        Of two marks with the same version, the one with ``leaving`` wins.
        """
        return [mark for mark in marks if self._merge_one(mark, now)]

    def process_observation(
        self, observation: LeavingObservation, now: float
    ) -> LeavingMark | None:
        """Process the answer of a source.

        Returns:
            The new mark where the answer changed the server's state, else
            None.
        """
        key = (observation.backend_id, observation.source)
        held = self._marks.get(key)
        if held is None:
            if not observation.leaving:
                return None
        elif not self._contradicts(observation, held):
            self._refresh_learnt_at(observation, held, now)
            return None
        above = 0 if held is None else held.version + 1
        mark = LeavingMark(
            observation.backend_id,
            observation.source,
            max(observation.wall_ms, above),
            observation.leaving,
        )
        self._store(mark, now)
        return mark

    def _contradicts(
        self, observation: LeavingObservation, held: LeavingMark
    ) -> bool:
        if observation.leaving == held.leaving:
            return False
        if observation.leaving or observation.source is LeavingSource.operator:
            return True
        return observation.observed_at > self._learnt_at[held.key] + self._lag_s

    def _merge_one(self, mark: LeavingMark, now: float) -> bool:
        newer = self._supersedes(mark)
        if newer:
            self._store(mark, now)
        return newer

    def _refresh_learnt_at(
        self,
        observation: LeavingObservation,
        held: LeavingMark,
        now: float,
    ) -> None:
        """Keep answers older than this one from revoking the mark."""
        if observation.leaving and held.leaving:
            self._learnt_at[held.key] = now

    def _supersedes(self, mark: LeavingMark) -> bool:
        held = self._marks.get(mark.key)
        if held is None:
            return True
        return (mark.version, mark.leaving) > (held.version, held.leaving)

    def _store(self, mark: LeavingMark, now: float) -> None:
        self._marks[mark.key] = mark
        self._learnt_at[mark.key] = now
