"""Removes jobs from the platform in two steps.

The object of a job goes first. Its results and its progress, by which hosts
that still know the job see that it has ended, go once the job has been unknown
for a while. The second step also completes removals that were interrupted, and
removes what was written after one.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterator

from guavadyke import forward_job_documents as objects
from guavadyke.adapters.ports import StoredObject
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_store import JobStore
from guavadyke.errors import ErrorCode, GuavadykeError, ObjectConflictError
from guavadyke.log import EventLogger


class JobRemover:
    """Deletes the objects of jobs.

    Each step may be interrupted between any two deletions, and made again by
    any host.

    Args:
        store: the jobs on the platform.
        registry: updated after each step.
        logger: logs what was removed.
    """

    def __init__(
        self, store: JobStore, registry: JobRegistry, logger: EventLogger
    ) -> None:
        self._store = store
        self._platform = store.platform
        self._registry = registry
        self._logger = logger

    def is_gone(self, job_id: str) -> bool:
        """Return whether the platform holds no such job.

        Raises:
            GuavadykeError: the platform cannot be read.
        """
        return self._platform.read(objects.JOB_KIND, job_id) is None

    def remove(self, job_id: str) -> None:
        """Delete the object of a job that has ended.

        Raises:
            GuavadykeError: the job may still exist.
        """
        self._delete_named(objects.JOB_KIND, job_id)
        self._registry.removed(job_id)
        self._logger.info('job_removed', job_id=job_id)

    def remove_leftovers(self, job_id: str) -> None:
        """Delete what is left of a job, unless the job exists.

        Raises:
            GuavadykeError: a call failed; some objects may remain.
        """
        if self.is_gone(job_id):
            self._delete_leftovers(job_id)
        elif self._registry.is_removed(job_id):
            self._complete_or_restore(job_id)

    def _delete_leftovers(self, job_id: str) -> None:
        """Delete the results of a job and then its progress.

        Hosts find by the progress what is left. The first page goes after the
        others, which are found by those before them.
        """
        self._store.forget_pages(job_id)
        for stored in reversed(tuple(self._pages(job_id))):
            self._delete(stored)
        self._delete_named(objects.PROGRESS_KIND, job_id)
        self._registry.removed(job_id)
        self._logger.info('job_leftovers_removed', job_id=job_id)

    def _complete_or_restore(self, job_id: str) -> None:
        """Delete a job whose progress is gone, or show it if it is not.

        Hosts of older releases delete the progress first and may end before
        they delete the job.
        """
        if self._platform.read(objects.PROGRESS_KIND, job_id) is None:
            self._delete_leftovers(job_id)
            self.remove(job_id)
        else:
            self._registry.restore(job_id)

    def _pages(self, job_id: str) -> Iterator[StoredObject]:
        """Read the pages of a job from the platform, without their bodies."""
        for number in itertools.count():
            name = objects.page_name(job_id, number)
            stored = self._platform.read(objects.PAGE_KIND, name)
            if stored is None:
                return
            yield dataclasses.replace(stored, body=b'')

    def _delete_named(self, kind: str, name: str) -> None:
        stored = self._platform.read(kind, name)
        if stored is not None:
            self._delete(stored)

    def _delete(self, stored: StoredObject) -> None:
        try:
            self._platform.delete(stored)
        except ObjectConflictError as error:
            raise GuavadykeError(
                ErrorCode.version_conflict,
                f'{stored.kind}/{stored.name} changed while it was removed',
            ) from error
