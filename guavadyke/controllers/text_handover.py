"""Hands the texts of unfinished items to the next owners of their jobs."""

from __future__ import annotations

import threading
from collections.abc import Collection

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_rpc import PeerClient
from guavadyke.adapters.ports import Clock
from guavadyke.decisions.partial_texts import JobTexts, ReceivedTexts
from guavadyke.log import EventLogger
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

# The job is passed on without its texts after this time.
_TIMEOUT_S = 0.3


class TextHandover:
    """Sends texts of items to other hosts and keeps those of theirs.

    A text is only a head start: items whose texts are lost begin anew.
    Thread-safe.

    Args:
        client: makes the calls.
        fleet: the other hosts.
        clock: dates what other hosts send.
        logger: logs what is sent, and what cannot be.
    """

    def __init__(
        self,
        client: PeerClient,
        fleet: SnapshotCell[FleetSnapshot],
        clock: Clock,
        logger: EventLogger,
    ) -> None:
        self._client = client
        self._fleet = fleet
        self._clock = clock
        self._logger = logger
        self._lock = threading.Lock()
        self._received = ReceivedTexts()

    def send(self, host_id: str, texts: JobTexts) -> None:
        """Send what fits into one call to the next owner of a job."""
        limited = texts.limited()
        addresses = [
            peer.address
            for peer in self._fleet.current.peers
            if peer.host_id == host_id
        ]
        if not (limited.by_item and addresses):
            return
        fields = {
            'job_id': texts.job_id,
            'owner': host_id,
            'items': len(limited.by_item),
        }
        try:
            self._client.call(addresses[0], limited, _TIMEOUT_S, _TIMEOUT_S)
        except (
            calls.PeerNotReachedError,
            calls.PeerAnswerLostError,
        ) as error:
            # Hosts of earlier releases close the connection.
            self._logger.warning(
                'item_texts_not_sent', **fields, reason=str(error)
            )
            return
        self._logger.info('item_texts_sent', **fields)

    def receive(self, texts: JobTexts) -> None:
        """Keep what another host has sent."""
        with self._lock:
            self._received.add(texts, self._clock.monotonic())

    def take(self, job_ids: Collection[str]) -> list[JobTexts]:
        """Return what other hosts have sent of some jobs, once."""
        with self._lock:
            return self._received.take(job_ids, self._clock.monotonic())
