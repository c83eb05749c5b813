"""When the owner of a job knows its pages of results without the platform.

Any host reads pages for callers, and jobs move between hosts. What a host has
read may lack results that other hosts have listed since, until its own write
keeps the writes of earlier owners from taking effect. The load that this
answers is reads of results, about two a second and caller.
"""

from __future__ import annotations

import threading
from typing import TypeAlias

from guavadyke.decisions.forward_job_records import MAX_CLOCK_SKEW_S, JobView

# Identifies a state of the pages of a job: their number and the last version.
PagesState: TypeAlias = tuple[int, int]


class OwnershipTerm:
    """A period in which this host owns a job.

    Args:
        is_only_writer: whether no other process can have written results of
            the job.

    Attributes:
        certain: whether the pages that this host knows are all there are.
    """

    def __init__(self, *, is_only_writer: bool) -> None:
        self.certain = False
        self._is_only_writer = is_only_writer
        self._base: PagesState | None = None

    def loaded(self, base: PagesState) -> None:
        """Record that pages were read while this host owned the job."""
        self._base = base
        self.certain = self.certain or self._is_only_writer

    def may_append_to(self, base: PagesState) -> bool:
        """Return whether this host has loaded or written these pages.

        Pages that it has read for a caller may be those of a later owner.
        """
        return base == self._base

    def writing(self) -> None:
        """Record that a write begins, which may take effect late."""
        self.certain = False

    def written(self, version_before: int, written: PagesState) -> None:
        """Record the end of a write.

        Args:
            version_before: version of the page that it replaced, 0 if none.
            written: the pages that it left; without a newer version if
                another host has written the page after it.
        """
        self._base = written
        self.certain = written[1] > version_before


class OwnershipTerms:
    """The jobs that this host owns now. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._terms: dict[str, OwnershipTerm] = {}

    def begin(self, view: JobView, started_at: float) -> None:
        """Begin to own a job.

        Args:
            view: the job.
            started_at: when this process started, in seconds since the epoch.
        """
        term = OwnershipTerm(is_only_writer=_is_only_writer(view, started_at))
        with self._lock:
            self._terms[view.job.job_id] = term

    def end(self, job_id: str) -> None:
        """Record that another host may own a job from now on."""
        with self._lock:
            self._terms.pop(job_id, None)

    def of(self, job_id: str) -> OwnershipTerm:
        """Return the term of a job, which is never certain if there is none."""
        with self._lock:
            return self._terms.get(job_id) or OwnershipTerm(
                is_only_writer=False
            )


class RecentClaims:
    """Jobs that were claimed from hosts that may not know it yet.

    An earlier owner that lives answers other hosts from memory until it knows
    of the claim. All times are in seconds of the monotonic clock. Thread-safe.

    Args:
        known_after_s: time after which every owner knows of a claim.
    """

    def __init__(self, known_after_s: float) -> None:
        self._known_after_s = known_after_s
        self._lock = threading.Lock()
        self._known_at: dict[str, float] = {}

    def take(self, view: JobView, now: float) -> None:
        """Record that this host takes a job, which may have been claimed."""
        if not view.progress.claimed:
            return
        job_id = view.job.job_id
        with self._lock:
            recent = {
                other: known_at
                for other, known_at in self._known_at.items()
                if known_at > now
            }
            self._known_at = {**recent, job_id: now + self._known_after_s}

    def may_append(self, job_id: str, now: float) -> bool:
        """Return whether results that are stored now are listed everywhere."""
        return now >= self._known_at.get(job_id, now)


def _is_only_writer(view: JobView, started_at: float) -> bool:
    """Return whether no other process can have written results of a job."""
    is_first_owner = not view.progress.owner
    return is_first_owner and (
        view.job.accepted_at > started_at + MAX_CLOCK_SKEW_S
    )
