"""Reads pages of results from the host that writes them.

Callers ask for results about twice a second at any host. The owner of a job
knows its pages without a call to the platform.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_reads import PeerReads
from guavadyke.adapters.ports import Clock, StoredObject
from guavadyke.adapters.write_confirmation import (
    add_writers_line,
    with_writers,
)
from guavadyke.controllers.forward_job_registry import JobRegistry
from guavadyke.controllers.forward_job_store import JobStore
from guavadyke.errors import GuavadykeError
from guavadyke.forward_job_documents import PAGE_KIND, job_of_page
from guavadyke.log import EventLogger
from guavadyke.metrics import HostMetrics
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# An owner that did not answer is not asked again for this time.
_SKIPPED_S = 2.0


@dataclasses.dataclass(frozen=True)
class ResultPageParts:
    """What reads of pages are made of.

    ``sure`` returns whether this host would know by now that it does not own
    a job any more.
    """

    host_id: str
    registry: JobRegistry
    store: JobStore
    fleet: SnapshotCell[FleetSnapshot]
    peers: PeerReads
    sure: Callable[[], bool]
    clock: Clock
    metrics: HostMetrics
    logger: EventLogger


class ResultPages:
    """Pages of the jobs of this host and of others. Thread-safe.

    Args:
        parts: its dependencies.
    """

    def __init__(self, parts: ResultPageParts) -> None:
        self._parts = parts
        self._skipped_until: dict[str, float] = {}

    def read(
        self, name: str, from_platform: Callable[[], StoredObject | None]
    ) -> StoredObject | None:
        """Read a page from the owner of its job, else from the platform.

        Args:
            name: name of the page.
            from_platform: reads it from the platform.

        Raises:
            GuavadykeError: neither can be read.
        """
        owner = self._owner_address(job_of_page(name))
        if owner:
            try:
                found = self._parts.peers.read(owner, PAGE_KIND, name)
            except GuavadykeError as error:
                self._skip(owner, error)
            else:
                self._parts.metrics.increment('result_pages_from_owners')
                return None if found is None else with_writers(found)
        self._parts.metrics.increment('result_pages_from_platform')
        return from_platform()

    def answer(self, call: calls.PlatformCall) -> calls.PeerReply | None:
        """Answer another host's read of a page of a job of this host.

        Returns:
            None if only the platform can tell.
        """
        is_page = call.kind == PAGE_KIND
        if not is_page or call.method is not calls.PlatformMethod.read:
            return None
        job_id = job_of_page(call.name)
        view = self._parts.registry.view(job_id)
        if view is None or view.owner != self._parts.host_id:
            return None
        pages = self._parts.store.certain_pages(job_id)
        if pages is None or not self._parts.sure():
            return None
        objects = tuple(
            dataclasses.replace(
                page, body=add_writers_line(page.body, page.writers)
            )
            for page in pages
            if page.name == call.name
        )
        return calls.PeerReply(platform=calls.PlatformReply(objects=objects))

    def _owner_address(self, job_id: str) -> str:
        """Return the address of the live owner, empty if it is not asked."""
        view = self._parts.registry.view(job_id)
        alive = {
            peer.host_id: peer.address
            for peer in self._parts.fleet.current.alive
        }
        address = '' if view is None else alive.get(view.owner, '')
        until = self._skipped_until.get(address, 0)
        return address if until <= self._parts.clock.monotonic() else ''

    def _skip(self, owner: str, error: GuavadykeError) -> None:
        now = self._parts.clock.monotonic()
        skipped = {
            address: until
            for address, until in self._skipped_until.items()
            if until > now
        }
        self._skipped_until = {**skipped, owner: now + _SKIPPED_S}
        self._parts.logger.info(
            'result_page_owner_unanswered', owner=owner, reason=error.message
        )
