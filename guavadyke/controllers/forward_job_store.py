"""Stores forwarded jobs, their progress and results on the platform."""

from __future__ import annotations

import functools
import threading
from collections.abc import Callable
from typing import TypeAlias

from guavadyke import forward_job_documents as objects
from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.controllers.forward_job_record_store import (
    MAX_ATTEMPTS,
    JobRecordStore,
)
from guavadyke.decisions.forward_job_records import (
    ForwardItemResult,
    ResultPage,
    results_for_page,
    unstored_results,
)
from guavadyke.decisions.page_certainty import OwnershipTerms, PagesState
from guavadyke.errors import ObjectConflictError, PlatformUnavailableError

_ReadPage: TypeAlias = Callable[[], StoredObject | None]
# Reads a page by its name, None if it does not exist; gets what reads it from
# the platform.
PageReader: TypeAlias = Callable[[str, _ReadPage], StoredObject | None]

_Pages: TypeAlias = list[tuple[StoredObject, ResultPage]]


class JobStore(JobRecordStore):
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
        super().__init__(store)
        self._lock = threading.Lock()
        self._pages: dict[str, _Pages] = {}
        self.terms = OwnershipTerms()

    def load(self, job_id: str) -> tuple[ResultPage, ...]:
        """Read the pages of a job as its owner and return all of them.

        Raises:
            GuavadykeError: the pages cannot be read.
        """
        self._read_as_owner(job_id, '')
        return self.cached_pages(job_id)

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
        attempts = MAX_ATTEMPTS + len(waiting)
        known = self._base(job_id, owner)
        missing = unstored_results(_pages_of(known), waiting)
        while missing and attempts:
            attempts -= 1
            try:
                known = self._append_page(job_id, known, missing)
            except ObjectConflictError:
                known = self._read_as_owner(job_id, owner)
            missing = unstored_results(_pages_of(known), waiting)
        if missing:
            raise PlatformUnavailableError(
                f'{job_id}: too many conflicts with other hosts',
            )
        return _pages_of(known)

    def forget_pages(self, job_id: str) -> None:
        """Drop the pages of a job that this host has read or written."""
        with self._lock:
            self._pages.pop(job_id, None)

    def _base(self, job_id: str, owner: str) -> _Pages:
        """Return the pages to which the owner of a job may append."""
        with self._lock:
            known = list(self._pages.get(job_id, ()))
        term = self.terms.of(job_id)
        if not owner or term.may_append_to(_recency_key(known)):
            return known
        return self._read_as_owner(job_id, owner)

    def _read_as_owner(self, job_id: str, owner: str) -> _Pages:
        """Read the pages of a job, then whether it has another owner.

        In this order, a page of another owner is never appended to.

        Raises:
            ObjectConflictError: it has another owner.
        """
        term = self.terms.of(job_id)
        self.pages(job_id)
        with self._lock:
            known = list(self._pages.get(job_id, ()))
        if owner and self.progress(job_id).owner not in {'', owner}:
            raise ObjectConflictError(f'{job_id} has another owner', 0)
        term.loaded(_recency_key(known))
        return known

    def _append_page(
        self,
        job_id: str,
        before: _Pages,
        missing: tuple[ForwardItemResult, ...],
    ) -> _Pages:
        """Write one page with as many of the results as fit."""
        known = list(before)
        with self._lock:
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
        known.append((written, grown))
        self._cache(job_id, known)
        term.written(version_before, _recency_key(known))
        return known

    def _cache(
        self,
        job_id: str,
        pages: _Pages,
    ) -> None:
        """Cache pages, unless another thread has cached newer ones."""
        with self._lock:
            before = self._pages.get(job_id, [])
            if _recency_key(pages) >= _recency_key(before):
                self._pages[job_id] = pages


def _pages_of(known: _Pages) -> tuple[ResultPage, ...]:
    return tuple(page for _stored, page in known)


def _recency_key(pages: _Pages) -> PagesState:
    """Return a sort key: the number of pages and the last one's version."""
    newest = pages[-1][0].version if pages else 0
    return (len(pages), newest)
