"""Jobs that this host is storing on the platform."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable, Generator, Mapping

from guavadyke.decisions.forward_job_records import AcceptedJob, JobView


class JobSubmissions:
    """Counts jobs towards limits before they are stored. Thread-safe.

    Two submissions at the same time would otherwise each find room for the
    same tokens.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._jobs: dict[str, AcceptedJob] = {}

    @contextlib.contextmanager
    def admitted(
        self,
        job: AcceptedJob,
        check: Callable[[Mapping[str, JobView]], None],
    ) -> Generator[None]:
        """Check a job and count it while it is stored.

        Args:
            job: the job that is submitted.
            check: gets the other jobs that are being stored, by id; raises
                an error if the job does not fit.
        """
        with self._lock:
            check({
                job_id: JobView(other)
                for job_id, other in self._jobs.items()
                if job_id != job.job_id
            })
            self._jobs[job.job_id] = job
        try:
            yield
        finally:
            with self._lock:
                self._jobs.pop(job.job_id, None)
