"""Which backend servers are leaving, by versioned marks of each source."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable

_MARK_OVERHEAD_BYTES = 16


class LeavingSource(enum.StrEnum):
    """Who says that a backend server is leaving."""

    host_list = 'host_list'
    report = 'report'
    operator = 'operator'


@dataclasses.dataclass(frozen=True)
class LeavingMark:
    """What one source says; the higher version is the newer.

    Versions are milliseconds since the epoch, raised above the version
    that they follow.
    """

    backend_id: str
    source: LeavingSource
    version: int
    leaving: bool

    @property
    def key(self) -> tuple[str, LeavingSource]:
        """What a newer mark replaces."""
        return (self.backend_id, self.source)

    @property
    def size_bytes(self) -> int:
        """About the size in a datagram."""
        texts = len(self.backend_id) + len(self.source)
        return texts + _MARK_OVERHEAD_BYTES


@dataclasses.dataclass(frozen=True)
class LeavingObservation:
    """What a source said of a backend server when this host asked it.

    Args:
        backend_id: the backend server.
        source: who said it.
        leaving: what was said.
        observed_at: monotonic seconds as of which it was true at the latest.
        wall_ms: milliseconds since the epoch.
    """

    backend_id: str
    source: LeavingSource
    leaving: bool
    observed_at: float
    wall_ms: int


class LeavingRegistry:
    """The newest mark of each backend server and source.

    Args:
        lag_s: by how many seconds a source may lag; what it said before a
            mark arrived, plus this, does not undo the mark.
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._marks: dict[tuple[str, LeavingSource], LeavingMark] = {}
        self._learnt_at: dict[tuple[str, LeavingSource], float] = {}

    @property
    def marks(self) -> tuple[LeavingMark, ...]:
        """All marks, also those that say that a server stays."""
        return tuple(self._marks.values())

    @property
    def leaving(self) -> frozenset[str]:
        """Backend servers of which any source says that they leave."""
        return frozenset(
            mark.backend_id for mark in self._marks.values() if mark.leaving
        )

    def merge(
        self, marks: Iterable[LeavingMark], now: float
    ) -> list[LeavingMark]:
        """Take marks of other hosts; return those that were newer.

        Of two marks of one version the one that says leaving wins.
        """
        return [mark for mark in marks if self._merge_one(mark, now)]

    def see(
        self, observation: LeavingObservation, now: float
    ) -> LeavingMark | None:
        """Take what a source said; return the new mark if there is one."""
        key = (observation.backend_id, observation.source)
        held = self._marks.get(key)
        if held is None:
            if not observation.leaving:
                return None
        elif not self._changes(observation, held):
            self._confirm(observation, held, now)
            return None
        above = 0 if held is None else held.version + 1
        mark = LeavingMark(
            observation.backend_id,
            observation.source,
            max(observation.wall_ms, above),
            observation.leaving,
        )
        self._keep(mark, now)
        return mark

    def _changes(
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
            self._keep(mark, now)
        return newer

    def _confirm(
        self,
        observation: LeavingObservation,
        held: LeavingMark,
        now: float,
    ) -> None:
        """Let nothing said before this undo the mark."""
        if observation.leaving and held.leaving:
            self._learnt_at[held.key] = now

    def _supersedes(self, mark: LeavingMark) -> bool:
        held = self._marks.get(mark.key)
        if held is None:
            return True
        return (mark.version, mark.leaving) > (held.version, held.leaving)

    def _keep(self, mark: LeavingMark, now: float) -> None:
        self._marks[mark.key] = mark
        self._learnt_at[mark.key] = now
