"""Deletes claims that have been kept long enough."""

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
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_INTERVAL_S = 20.0
_PAGE = 200
_PREFIX_BITS = 8


class ClaimCleanup:
    """Goes through the claims by the first two digits of their names.

    Each live host cleans the prefixes that fall to it; two that clean the
    same one do no harm, since each delete is conditional.

    Args:
        tools: platform, clock and this host.
        fleet: peers.
        kept_s: seconds that a claim is kept after its bound.
    """

    def __init__(
        self,
        tools: ClaimTools,
        fleet: SnapshotCell[FleetSnapshot],
        kept_s: float,
    ) -> None:
        self._tools = tools
        self._fleet = fleet
        self._kept_s = kept_s
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='claim-cleaning',
            daemon=True,
        )

    def start(self) -> None:
        """Clean in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop cleaning."""
        self._stopped.set()

    def clean(self, prefix: str) -> None:
        """Delete old claims whose names start with a prefix.

        Raises:
            GuavadykeError: the platform is away, or a claim was replaced.
        """
        store = self._tools.store
        page = store.list_objects(CLAIM_KIND, prefix=prefix, limit=_PAGE)
        for stored in filter(self._old, page.objects):
            store.delete(stored)

    def _run(self) -> None:
        while not self._stopped.wait(_INTERVAL_S):
            for prefix in filter(self._falls_here, _prefixes()):
                self._try(prefix)
                if self._stopped.wait(_INTERVAL_S):
                    return

    def _try(self, prefix: str) -> None:
        """Clean a prefix; what fails is met again in the next round."""
        try:
            self.clean(prefix)
        except GuavadykeError:
            return

    def _falls_here(self, prefix: str) -> bool:
        own = self._tools.host_id
        peers = self._fleet.current.peers
        live = [peer.host_id for peer in peers if peer.state == 'alive']
        return rendezvous(f'claims/{prefix}', [own, *live]) == own

    def _old(self, stored: StoredObject) -> bool:
        try:
            claim = parse_claim(stored.body)
        except GuavadykeError:
            return False
        return is_past_retention(claim, self._tools.clock.wall(), self._kept_s)


def _prefixes() -> Iterator[str]:
    return (f'{number:02x}' for number in range(2**_PREFIX_BITS))
