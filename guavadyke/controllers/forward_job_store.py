"""Reads and writes forwarded jobs on the platform."""

from __future__ import annotations

import threading

from guavadyke import forward_objects as objects
from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.decisions.forward_job_records import (
    AcceptedJob,
    ForwardItemResult,
    JobProgress,
    ResultPage,
    fitting,
    unstored_results,
)
from guavadyke.errors import (
    ErrorCode,
    GuavadykeError,
    ObjectConflictError,
    PlatformUnavailableError,
)

# Rounds in which a write may lose a race against other hosts.
_ROUNDS = 8


class JobStore:
    """Jobs, their progress and their results as objects of the platform.

    Exactly one result of an item is ever listed: a page is replaced only
    at the version that was read, and pages fill up one after the other.
    Safe for threads.

    Args:
        store: the platform.
    """

    def __init__(self, store: WriteConfirmingStore) -> None:
        self._store = store
        self._lock = threading.Lock()
        self._pages: dict[str, list[tuple[StoredObject, ResultPage]]] = {}

    def create(self, job: AcceptedJob) -> bool:
        """Accept a job; return False where it was accepted before.

        Raises:
            PlatformUnavailableError: it was not accepted.
            PlatformOutcomeUnknownError: it may have been accepted.
        """
        try:
            self._store.create(
                objects.JOB_KIND, job.job_id, objects.encode_job(job)
            )
        except ObjectConflictError:
            return False
        return True

    def read(self, job_id: str) -> AcceptedJob | None:
        """Return a job, None where there is none.

        Raises:
            PlatformUnavailableError: the platform does not answer.
        """
        stored = self._store.read(objects.JOB_KIND, job_id)
        return (
            None if stored is None else objects.decode_job(job_id, stored.body)
        )

    def note(self, job_id: str, change: JobProgress) -> JobProgress:
        """Add to a job's progress and return all of it.

        Raises:
            GuavadykeError: the platform does not take it, or it may have.
        """
        rounds = (self._noted(job_id, change) for _round in range(_ROUNDS))
        joined = next(filter(None, rounds), None)
        if joined is None:
            raise PlatformUnavailableError(
                f'{job_id} is written by many hosts',
            )
        return joined

    def pages(self, job_id: str) -> tuple[ResultPage, ...]:
        """Return all results as the platform has them now.

        Raises:
            GuavadykeError: the platform does not answer.
        """
        known = self._full_pages(job_id)
        while True:
            name = objects.page_name(job_id, len(known))
            stored = self._store.read(objects.PAGE_KIND, name)
            if stored is None:
                break
            page = objects.decode_page(name, stored.body)
            known.append((stored, page))
            if not page.full:
                break
        self._remember(job_id, known)
        return tuple(page for _stored, page in known)

    def known_pages(self, job_id: str) -> tuple[ResultPage, ...]:
        """Return the results that this host has read or written."""
        with self._lock:
            known = self._pages.get(job_id, ())
            return tuple(page for _stored, page in known)

    def append(
        self,
        job_id: str,
        waiting: tuple[ForwardItemResult, ...],
    ) -> tuple[ResultPage, ...]:
        """List results whose items are not listed, and return all pages.

        Raises:
            GuavadykeError: the platform does not take them, or it may have.
        """
        rounds = _ROUNDS + len(waiting)
        pages = self.known_pages(job_id)
        missing = unstored_results(pages, waiting)
        while missing and rounds:
            rounds -= 1
            try:
                self._append_some(job_id, missing)
            except ObjectConflictError:
                self.pages(job_id)
            pages = self.known_pages(job_id)
            missing = unstored_results(pages, waiting)
        if missing:
            raise PlatformUnavailableError(
                f'{job_id} is written by many hosts',
            )
        return pages

    def remove(self, job_id: str) -> None:
        """Remove a job with all that belongs to it.

        Raises:
            GuavadykeError: the platform does not answer; some may be left.
        """
        self.pages(job_id)
        with self._lock:
            known = list(self._pages.pop(job_id, ()))
        for stored, _page in known:
            self._delete(stored)
        for kind in (objects.PROGRESS_KIND, objects.JOB_KIND):
            left = self._store.read(kind, job_id)
            if left is not None:
                self._delete(left)

    def _noted(self, job_id: str, change: JobProgress) -> JobProgress | None:
        """Write progress once; None where another host was faster."""
        stored = self._store.read(objects.PROGRESS_KIND, job_id)
        known = JobProgress()
        if stored is not None:
            known = objects.decode_progress(job_id, stored.body)
        joined = known.joined(change)
        if stored is not None and joined == known:
            return joined
        try:
            self._write(job_id, stored, joined)
        except ObjectConflictError:
            return None
        return joined

    def _append_some(
        self,
        job_id: str,
        missing: tuple[ForwardItemResult, ...],
    ) -> None:
        """Write one page with as many results as fit."""
        with self._lock:
            known = list(self._pages.get(job_id, ()))
        if known and not known[-1][1].full:
            stored, page = known.pop()
            grown = page.with_results(fitting(page, missing))
            written = self._store.update(stored, objects.encode_page(grown))
        else:
            grown = ResultPage(fitting(ResultPage(), missing))
            written = self._store.create(
                objects.PAGE_KIND,
                objects.page_name(job_id, len(known)),
                objects.encode_page(grown),
            )
        self._remember(job_id, [*known, (written, grown)])

    def _full_pages(
        self,
        job_id: str,
    ) -> list[tuple[StoredObject, ResultPage]]:
        with self._lock:
            known = self._pages.get(job_id, ())
            return [one for one in known if one[1].full]

    def _remember(
        self,
        job_id: str,
        pages: list[tuple[StoredObject, ResultPage]],
    ) -> None:
        """Keep pages, unless another thread has kept newer ones."""
        with self._lock:
            before = self._pages.get(job_id, [])
            if _versions(pages) >= _versions(before):
                self._pages[job_id] = pages

    def _delete(self, stored: StoredObject) -> None:
        try:
            self._store.delete(stored)
        except ObjectConflictError as error:
            raise GuavadykeError(
                ErrorCode.version_conflict,
                f'{stored.kind}/{stored.name} changed while it was removed',
            ) from error

    def _write(
        self,
        job_id: str,
        stored: StoredObject | None,
        progress: JobProgress,
    ) -> None:
        body = objects.encode_progress(progress)
        if stored is None:
            self._store.create(objects.PROGRESS_KIND, job_id, body)
        else:
            self._store.update(stored, body)


def _versions(
    pages: list[tuple[StoredObject, ResultPage]],
) -> tuple[int, int]:
    newest = pages[-1][0].version if pages else 0
    return (len(pages), newest)
