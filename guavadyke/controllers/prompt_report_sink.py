"""Applies reports of prompts and claims of trials from the platform."""

from __future__ import annotations

import threading

from guavadyke import prompt_report_documents as documents
from guavadyke.adapters.ports import StoredObject
from guavadyke.controllers.mirror import MirrorSink
from guavadyke.controllers.prompt_guard import PromptGuard
from guavadyke.controllers.prompt_trials import TrialClaim
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger


class PromptReportSink(MirrorSink):
    """Passes the reports of all hosts to a guard. Thread-safe.

    Args:
        guard: gets the reports.
        logger: logs objects that hold no report.
    """

    def __init__(self, guard: PromptGuard, logger: EventLogger) -> None:
        self._guard = guard
        self._logger = logger
        self._lock = threading.Lock()
        self._dates: dict[StoredObject, float] = {}

    def written_before(self, wall: float) -> tuple[StoredObject, ...]:
        """Return the reports that are older.

        Args:
            wall: seconds since the epoch.
        """
        with self._lock:
            return tuple(
                stored for stored, at in self._dates.items() if at < wall
            )

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        """Apply the reports of a full list in the order of their writes."""
        with self._lock:
            self._dates = {}
        for stored in sorted(objects, key=_version):
            self.put(stored)

    def put(self, stored: StoredObject) -> None:
        """Apply a report."""
        try:
            report = documents.decode_report(stored.name, stored.body)
        except GuavadykeError as error:
            self._logger.warning(
                'prompt_report_unusable',
                name=stored.name,
                revision=stored.version,
                reason=error.message,
            )
            return
        with self._lock:
            self._dates[stored] = report.at
        if isinstance(report, TrialClaim):
            self._guard.trials.learn(report, stored)
        else:
            self._guard.apply(report)

    def remove(self, name: str) -> None:
        """Forget a report or a claim; what a report said still holds."""
        self._guard.trials.forget(name)
        with self._lock:
            self._dates = {
                stored: at
                for stored, at in self._dates.items()
                if stored.name != name
            }


def _version(stored: StoredObject) -> int:
    return stored.version
