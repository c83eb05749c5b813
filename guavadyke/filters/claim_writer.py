"""Writes and deletes of claims, retried until the platform accepts."""

from __future__ import annotations

import collections
import threading
from collections.abc import Callable, Iterator

from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.decisions.claims import CLAIM_KIND, ClaimState, parse_claim
from guavadyke.errors import GuavadykeError, ObjectConflictError
from guavadyke.guarded_threads import GuardedThread
from guavadyke.log import EventLogger

_RETRY_INTERVAL_S = 1.0
_MAX_BACKLOG = 1000


class ClaimWriter:
    """Updates claims at once, or later if the platform is unavailable.

    Failed writes wait in a backlog in memory. When it is full, the oldest
    write is dropped.

    Args:
        store: the platform's objects.
        logger: logs writes refused because the claim has changed.
    """

    def __init__(
        self, store: WriteConfirmingStore, logger: EventLogger
    ) -> None:
        self._store = store
        self._logger = logger
        self._backlog: collections.deque[Callable[[], None]]
        self._backlog = collections.deque(maxlen=_MAX_BACKLOG)
        self._stopped = threading.Event()
        self._thread = GuardedThread(
            self._run, 'claim-writes', self._stopped, self._logger
        )

    @property
    def backlog(self) -> int:
        """Number of writes that wait to be retried."""
        return len(self._backlog)

    def start(self) -> None:
        """Start retrying the backlog in a background thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop retrying; writes in the backlog are lost."""
        self._stopped.set()

    def record_outcome(self, stored: StoredObject, body: bytes) -> None:
        """Write a request's outcome into its claim."""
        self._write_or_queue(lambda: self._update(stored, body))

    def release(self, stored: StoredObject) -> None:
        """Delete the claim of a request that did not run."""
        self._write_or_queue(lambda: self._store.delete(stored))

    def delete_unconfirmed(self, name: str, token: str) -> None:
        """Delete a claim whose creation had an unknown outcome.

        The claim is deleted only if it carries ``token`` and has no
        outcome yet.
        """
        self._backlog.append(lambda: self._delete_own(name, token))

    def retry_backlog(self) -> None:
        """Retry each write of the backlog once."""
        for write in self._pop_oldest(len(self._backlog)):
            self._write_or_queue(write)

    def _update(self, stored: StoredObject, body: bytes) -> None:
        self._store.update(stored, body)

    def _delete_own(self, name: str, token: str) -> None:
        stored = self._store.read(CLAIM_KIND, name)
        if stored is None:
            return
        claim = parse_claim(stored.body)
        if claim.token == token and claim.state is ClaimState.claimed:
            self._store.delete(stored)

    def _write_or_queue(self, write: Callable[[], None]) -> None:
        try:
            write()
        except ObjectConflictError as error:
            self._logger.warning('claim_replaced', reason=error.message)
        except GuavadykeError:
            self._backlog.append(write)

    def _run(self) -> None:
        while not self._stopped.wait(_RETRY_INTERVAL_S):
            self.retry_backlog()

    def _pop_oldest(self, count: int) -> Iterator[Callable[[], None]]:
        """Remove up to ``count`` of the oldest writes and yield them."""
        while count and self._backlog:
            count -= 1
            yield self._backlog.popleft()
