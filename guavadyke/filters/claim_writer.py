"""Writes that settle claims, tried again while the platform is away."""

from __future__ import annotations

import collections
import threading
from collections.abc import Callable, Iterator

from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.decisions.claims import CLAIM_KIND, ClaimState, parse_claim
from guavadyke.errors import GuavadykeError, ObjectConflictError
from guavadyke.log import EventLogger

_RETRY_S = 1.0
_LONGEST_BACKLOG = 1000


class ClaimWriter:
    """Settles claims at once, or later where the platform is away.

    Args:
        store: the platform's objects.
        logger: gets what could not be settled.
    """

    def __init__(
        self, store: WriteConfirmingStore, logger: EventLogger
    ) -> None:
        self._store = store
        self._logger = logger
        self._backlog: collections.deque[Callable[[], None]]
        self._backlog = collections.deque(maxlen=_LONGEST_BACKLOG)
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='claim-writes',
            daemon=True,
        )

    @property
    def backlog(self) -> int:
        """Writes that the platform has not taken yet."""
        return len(self._backlog)

    def start(self) -> None:
        """Work on the backlog in the background."""
        self._thread.start()

    def close(self) -> None:
        """Stop working on the backlog."""
        self._stopped.set()

    def keep(self, stored: StoredObject, body: bytes) -> None:
        """Write what came of a request into its claim."""
        self._attempt(lambda: self._update(stored, body))

    def release(self, stored: StoredObject) -> None:
        """Delete the claim of a request that did not run."""
        self._attempt(lambda: self._store.delete(stored))

    def give_up(self, name: str, token: str) -> None:
        """Delete a claim that may have been created without our knowing."""
        self._backlog.append(lambda: self._delete_own(name, token))

    def work(self) -> None:
        """Try every write of the backlog once."""
        for write in self._taken(len(self._backlog)):
            self._attempt(write)

    def _update(self, stored: StoredObject, body: bytes) -> None:
        self._store.update(stored, body)

    def _delete_own(self, name: str, token: str) -> None:
        stored = self._store.read(CLAIM_KIND, name)
        if stored is None:
            return
        claim = parse_claim(stored.body)
        if claim.token == token and claim.state is ClaimState.claimed:
            self._store.delete(stored)

    def _attempt(self, write: Callable[[], None]) -> None:
        try:
            write()
        except ObjectConflictError as error:
            self._logger.warning('claim_replaced', reason=error.message)
        except GuavadykeError:
            self._backlog.append(write)

    def _run(self) -> None:
        while not self._stopped.wait(_RETRY_S):
            self.work()

    def _taken(self, count: int) -> Iterator[Callable[[], None]]:
        """Yield so many of the oldest writes; they leave the backlog."""
        while count and self._backlog:
            count -= 1
            yield self._backlog.popleft()
