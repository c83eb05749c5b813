"""Deletes claims whose retention time is over."""

from __future__ import annotations

import threading
from collections.abc import Iterator

from guavadyke.adapters.ports import StoredObject
from guavadyke.decisions.claims import (
    CLAIM_KIND,
    is_past_retention,
    parse_claim,
)
from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.errors import GuavadykeError
from guavadyke.filters.idempotency import ClaimTools
from guavadyke.guarded_threads import GuardedThread
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_INTERVAL_S = 20.0
_PAGE_SIZE = 200
_PREFIX_BITS = 8


class ClaimCleanup:
    """Periodically deletes old claims, one name prefix at a time.

    A prefix is the first two hexadecimal digits of a claim's name.
    Rendezvous hashing assigns each prefix to one live host. Two hosts may
    clean the same prefix while their views of the fleet differ; this is
    harmless, since each delete is conditional on the object's version.

    Args:
        tools: dependencies of claims.
        fleet: peers.
        retention_s: seconds that a claim is retained after its bound.
    """

    def __init__(
        self,
        tools: ClaimTools,
        fleet: SnapshotCell[FleetSnapshot],
        retention_s: float,
    ) -> None:
        self._tools = tools
        self._fleet = fleet
        self._retention_s = retention_s
        self._stopped = threading.Event()
        self._thread = GuardedThread(self._run, 'claim-cleaning', self._stopped)

    def start(self) -> None:
        """Start cleaning in a background thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop cleaning."""
        self._stopped.set()

    def clean(self, prefix: str) -> None:
        """Delete old claims whose names start with the prefix.

        One call reads one page of claims.

        Raises:
            GuavadykeError: the platform is unavailable, or a claim was
                replaced in the meantime.
        """
        store = self._tools.store
        page = store.list_objects(CLAIM_KIND, prefix=prefix, limit=_PAGE_SIZE)
        for stored in filter(self._is_deletable, page.objects):
            store.delete(stored)

    def _run(self) -> None:
        while not self._stopped.wait(_INTERVAL_S):
            for prefix in filter(self._is_assigned_here, _prefixes()):
                self._clean_or_skip(prefix)
                if self._stopped.wait(_INTERVAL_S):
                    return

    def _clean_or_skip(self, prefix: str) -> None:
        """Clean a prefix; after a failure the next round tries again."""
        try:
            self.clean(prefix)
        except GuavadykeError:
            return

    def _is_assigned_here(self, prefix: str) -> bool:
        own = self._tools.host_id
        peers = self._fleet.current.peers
        live = [peer.host_id for peer in peers if peer.state == 'alive']
        return rendezvous(f'claims/{prefix}', [own, *live]) == own

    def _is_deletable(self, stored: StoredObject) -> bool:
        try:
            claim = parse_claim(stored.body)
        except GuavadykeError:
            return False
        return is_past_retention(
            claim, self._tools.clock.wall(), self._retention_s
        )


def _prefixes() -> Iterator[str]:
    return (f'{number:02x}' for number in range(2**_PREFIX_BITS))
