"""Tells the owner of a job that its caller has ended it."""

from __future__ import annotations

from guavadyke.adapters.ports import PeerMessenger, PeerNotice
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.log import EventLogger


class JobEndNotices:
    """Notices of ended jobs between hosts. Thread-safe.

    A notice may be lost, and the owner may change meanwhile: the mirror of
    the jobs' progress tells of each end as well.

    Args:
        host_id: id of this host.
        registry: the jobs that this host knows.
        messenger: carries the notices.
        logger: logs the ends that other hosts tell.
    """

    def __init__(
        self,
        host_id: str,
        registry: JobRegistry,
        messenger: PeerMessenger,
        logger: EventLogger,
    ) -> None:
        self._host_id = host_id
        self._registry = registry
        self._messenger = messenger
        self._logger = logger

    def start(self) -> None:
        """Start to hear of ends."""
        self._messenger.subscribe(self.receive)

    def tell(self, job_id: str) -> None:
        """Tell the owner of a job that the platform holds as cancelled."""
        view = self._registry.view(job_id)
        if view is not None and view.owner != self._host_id:
            self._messenger.send(view.owner, PeerNotice(ended_jobs=(job_id,)))

    def receive(self, host_id: str, notice: PeerNotice) -> None:
        """Stop the jobs whose ends another host tells."""
        for job_id in notice.ended_jobs:
            view = self._registry.view(job_id)
            if view is not None and view.open:
                self._registry.end_heard(job_id)
                self._logger.info('job_end_heard', job_id=job_id, peer=host_id)
