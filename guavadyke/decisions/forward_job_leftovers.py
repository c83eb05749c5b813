"""Which jobs of which only a part is known are looked up on the platform.

A host mirrors the jobs and their progress independently, so that for a moment
it may know one without the other. What stays so is left of a removal that was
interrupted, or was written after one. The load that this addresses is hosts
that end, pause or lose the platform while jobs are removed.
"""

from __future__ import annotations

from collections.abc import Collection

# Longer than the longest watch of jobs, the time that its lost answer takes to
# be noticed, and the list that follows.
_SETTLED_S = 15.0


class LeftoverTracker:
    """Tracks for how long jobs have been known in part."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def due(self, found: Collection[str], now: float) -> list[str]:
        """Return the jobs to look up now, each once in a while.

        Args:
            found: ids of all jobs that are known in part.
            now: seconds of the monotonic clock.
        """
        self._since = {job_id: self._since.get(job_id, now) for job_id in found}
        due = [
            job_id
            for job_id, since in self._since.items()
            if now - since >= _SETTLED_S
        ]
        self._since.update(dict.fromkeys(due, now))
        return due
