"""Stores forwarded jobs, their progress and results on the platform."""

from __future__ import annotations

import dataclasses
import functools
import threading
from collections.abc import Callable
from typing import TypeAlias

from guavadyke import forward_job_documents as objects
from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.decisions.forward_job_records import (
    AcceptedJob,
    ForwardItemResult,
    JobProgress,
    ResultPage,
    results_for_page,
    unstored_results,
)
from guavadyke.decisions.page_certainty import OwnershipTerms
from guavadyke.errors import ObjectConflictError, PlatformUnavailableError

_ReadPage: TypeAlias = Callable[[], StoredObject | None]
# Reads a page by its name, None if it does not exist; gets what reads it from
# the platform.
PageReader: TypeAlias = Callable[[str, _ReadPage], StoredObject | None]

# Attempts of a write that loses its version check to other hosts.
_MAX_ATTEMPTS = 8


class JobStore:
    """Jobs, their progress and their results as objects of the platform.

    Each item gets exactly one result: a page is updated only if its version
    is the one that was read, and a page is started only when the previous one
    is full. Pages that were read or written are cached, and never replaced by
    older ones. Thread-safe.

    Args:
        store: the object store of the platform.

    Attributes:
        platform: the object store of the platform.
        terms: the jobs that this host owns.
    """

    def __init__(self, store: WriteConfirmingStore) -> None:
        self.platform = store
        self._lock = threading.Lock()
        self._pages: dict[str, list[tuple[StoredObject, ResultPage]]] = {}
        self.terms = OwnershipTerms()

    def create(self, job: AcceptedJob) -> bool:
        """Store a new job; return False if the job id already exists.

        Raises:
            PlatformUnavailableError: the job was not stored.
            PlatformOutcomeUnknownError: it may have been stored.
        """
        try:
            self.platform.create(
                objects.JOB_KIND, job.job_id, objects.encode_job(job)
            )
        except ObjectConflictError:
            return False
        return True

    def read(self, job_id: str) -> AcceptedJob | None:
        """Return a job, or None if it does not exist.

        Raises:
            PlatformUnavailableError: the platform cannot be reached.
        """
        stored = self.platform.read(objects.JOB_KIND, job_id)
        return (
            None if stored is None else objects.decode_job(job_id, stored.body)
        )

    def progress(self, job_id: str) -> JobProgress:
        """Read the progress of a job.

        Raises:
            GuavadykeError: it cannot be read.
        """
        return _read_progress(self.platform, job_id)[1]

    def merge_progress(self, job_id: str, change: JobProgress) -> JobProgress:
        """Merge a change into a job's progress; return the merged progress.

        Raises:
            GuavadykeError: the write failed, or its outcome is unknown.
        """
        return self._merge(job_id, lambda _known: change)

    def claim(self, job_id: str, me: str, owner_before: str) -> JobProgress:
        """Make a host the owner of a job, unless the owner has changed.

        Args:
            job_id: the job.
            me: the host that claims it.
            owner_before: the owner that it takes the job over from.

        Returns:
            The progress, whose owner may be another host.

        Raises:
            GuavadykeError: the write failed, or its outcome is unknown.
        """
        return self._merge(
            job_id,
            lambda known: JobProgress(
                owner=me if known.owner in {'', owner_before} else ''
            ),
        )

    def load(self, job_id: str) -> tuple[ResultPage, ...]:
        """Read the pages of a job as its owner and return all of them.

        Raises:
            GuavadykeError: the pages cannot be read.
        """
        term = self.terms.of(job_id)
        pages = self.pages(job_id)
        term.loaded()
        return pages

    def pages(
        self, job_id: str, read: PageReader | None = None
    ) -> tuple[ResultPage, ...]:
        """Read the pages of a job and return all of them.

        Full pages never change and are taken from the cache. So are all pages
        if what was read is older.

        Args:
            job_id: the job.
            read: reads a page, which it may know without the platform; the
                platform is read without it.

        Raises:
            GuavadykeError: the pages cannot be read.
        """
        with self._lock:
            known = [
                entry for entry in self._pages.get(job_id, ()) if entry[1].full
            ]
        while True:
            name = objects.page_name(job_id, len(known))
            direct = functools.partial(
                self.platform.read, objects.PAGE_KIND, name
            )
            stored = direct() if read is None else read(name, direct)
            if stored is None:
                break
            page = objects.decode_page(name, stored.body)
            known.append((stored, page))
            if not page.full:
                break
        self._cache(job_id, known)
        return self.cached_pages(job_id)

    def certain_pages(self, job_id: str) -> tuple[StoredObject, ...] | None:
        """Return the pages of a job that only this host writes.

        Returns:
            None if they may have changed without this host.
        """
        with self._lock:
            if not self.terms.of(job_id).certain:
                return None
            known = self._pages.get(job_id, ())
            return tuple(stored for stored, _page in known)

    def cached_pages(self, job_id: str) -> tuple[ResultPage, ...]:
        """Return the pages that this host has read or written so far."""
        with self._lock:
            known = self._pages.get(job_id, ())
            return tuple(page for _stored, page in known)

    def append(
        self,
        job_id: str,
        waiting: tuple[ForwardItemResult, ...],
        owner: str = '',
    ) -> tuple[ResultPage, ...]:
        """Append results of items that have none yet; return all pages.

        Args:
            job_id: the job.
            waiting: the results.
            owner: the host that appends them as the owner of the job, empty
                if any host may.

        Raises:
            ObjectConflictError: another host owns the job and has written.
            GuavadykeError: a write failed, or its outcome is unknown.
        """
        attempts = _MAX_ATTEMPTS + len(waiting)
        pages = self.cached_pages(job_id)
        missing = unstored_results(pages, waiting)
        while missing and attempts:
            attempts -= 1
            try:
                self._append_page(job_id, missing)
            except ObjectConflictError:
                if _is_other(self.progress(job_id).owner, owner):
                    raise
                self.pages(job_id)
            pages = self.cached_pages(job_id)
            missing = unstored_results(pages, waiting)
        if missing:
            raise PlatformUnavailableError(
                f'{job_id}: too many conflicts with other hosts',
            )
        return pages

    def forget_pages(self, job_id: str) -> None:
        """Drop the pages of a job that this host has read or written."""
        with self._lock:
            self._pages.pop(job_id, None)

    def _merge(
        self, job_id: str, change_of: Callable[[JobProgress], JobProgress]
    ) -> JobProgress:
        attempts = (
            self._try_merge(job_id, change_of)
            for _attempt in range(_MAX_ATTEMPTS)
        )
        joined = next(filter(None, attempts), None)
        if joined is None:
            raise PlatformUnavailableError(
                f'{job_id}: too many conflicts with other hosts',
            )
        return joined

    def _try_merge(
        self, job_id: str, change_of: Callable[[JobProgress], JobProgress]
    ) -> JobProgress | None:
        """Try one merge; return None if another host wrote in between."""
        stored, known = _read_progress(self.platform, job_id)
        joined = known.merged(change_of(known))
        if stored is not None and joined == known:
            return dataclasses.replace(joined, version=stored.version)
        try:
            written = _write_progress(self.platform, job_id, stored, joined)
        except ObjectConflictError:
            return None
        return dataclasses.replace(joined, version=written.version)

    def _append_page(
        self,
        job_id: str,
        missing: tuple[ForwardItemResult, ...],
    ) -> None:
        """Write one page with as many of the results as fit."""
        with self._lock:
            known = list(self._pages.get(job_id, ()))
            term = self.terms.of(job_id)
            term.writing()
        version_before = 0
        if known and not known[-1][1].full:
            stored, page = known.pop()
            version_before = stored.version
            grown = page.with_results(results_for_page(page, missing))
            written = self.platform.update(stored, objects.encode_page(grown))
        else:
            grown = ResultPage(results_for_page(ResultPage(), missing))
            written = self.platform.create(
                objects.PAGE_KIND,
                objects.page_name(job_id, len(known)),
                objects.encode_page(grown),
            )
        self._cache(job_id, [*known, (written, grown)])
        term.written(version_before, written.version)

    def _cache(
        self,
        job_id: str,
        pages: list[tuple[StoredObject, ResultPage]],
    ) -> None:
        """Cache pages, unless another thread has cached newer ones."""
        with self._lock:
            before = self._pages.get(job_id, [])
            if _recency_key(pages) >= _recency_key(before):
                self._pages[job_id] = pages


def _is_other(owner: str, expected: str) -> bool:
    return bool(expected) and owner not in {'', expected}


def _read_progress(
    platform: WriteConfirmingStore, job_id: str
) -> tuple[StoredObject | None, JobProgress]:
    stored = platform.read(objects.PROGRESS_KIND, job_id)
    if stored is None:
        return None, JobProgress()
    progress = objects.decode_progress(job_id, stored.body)
    return stored, dataclasses.replace(progress, version=stored.version)


def _write_progress(
    platform: WriteConfirmingStore,
    job_id: str,
    stored: StoredObject | None,
    progress: JobProgress,
) -> StoredObject:
    body = objects.encode_progress(progress)
    if stored is None:
        return platform.create(objects.PROGRESS_KIND, job_id, body)
    return platform.update(stored, body)


def _recency_key(
    pages: list[tuple[StoredObject, ResultPage]],
) -> tuple[int, int]:
    """Return a sort key: the number of pages and the last one's version."""
    newest = pages[-1][0].version if pages else 0
    return (len(pages), newest)
