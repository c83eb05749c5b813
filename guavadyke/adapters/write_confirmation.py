"""Object store whose writes are settled when the platform's answer is lost.

Each body starts with one line of JSON that holds the nonces of the last
writers. A write whose answer was lost is settled by reading them back.
"""

from __future__ import annotations

import dataclasses
import json
import random
import uuid
from collections.abc import Callable

from guavadyke.adapters.ports import (
    Clock,
    ListedHost,
    ObjectEvent,
    ObjectListing,
    PlatformStore,
    StoredObject,
    WatchAnswer,
)
from guavadyke.errors import (
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)

_KEPT_WRITERS = 8
_ATTEMPTS = 6
_FIRST_DELAY_S = 0.05
_LONGEST_DELAY_S = 1.0


def pack(body: bytes, writers: tuple[str, ...]) -> bytes:
    """Return the body with the line of its writers before it."""
    head = json.dumps({'writers': _kept(writers)})
    return b'\n'.join((head.encode(), body))


def unpack(stored: StoredObject) -> StoredObject:
    """Return the object with its writers read from the body.

    Raises:
        ValueError: the body does not start with a line of JSON.
        TypeError: the line does not hold writers.
    """
    head, _newline, body = stored.body.partition(b'\n')
    document = json.loads(head)
    if not isinstance(document, dict):
        raise TypeError(f'{stored.kind}/{stored.name} has no writers')
    writers = tuple(str(writer) for writer in document['writers'])
    return dataclasses.replace(stored, body=body, writers=writers)


def _readable(stored: StoredObject) -> StoredObject:
    """Return the object, with an empty list of writers if it has none."""
    try:
        return unpack(stored)
    except (ValueError, KeyError, TypeError):
        return stored


class WriteConfirmingStore:
    """Reads and conditional writes with definite outcomes.

    Args:
        store: the platform.
        clock: used to wait between attempts.
        rng: spreads the attempts of many hosts.
    """

    def __init__(
        self,
        store: PlatformStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None when it is absent."""
        stored = self._store.read(kind, name)
        return None if stored is None else _readable(stored)

    def list_objects(
        self,
        kind: str,
        *,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
        bodies: bool = True,
    ) -> ObjectListing:
        """Return a page of objects by name."""
        listing = self._store.list_objects(
            kind,
            prefix=prefix,
            after=after,
            limit=limit,
            bodies=bodies,
        )
        if not bodies:
            return listing
        return dataclasses.replace(
            listing,
            objects=tuple(_readable(stored) for stored in listing.objects),
        )

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Wait for changes after a revision."""
        answer = self._store.watch(kind, revision, wait_s)
        events = tuple(_readable_event(event) for event in answer.events)
        return dataclasses.replace(answer, events=events)

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return the lagging list of hosts."""
        return self._store.hosts()

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        """Create the object.

        Raises:
            ObjectConflictError: it exists already.
            PlatformOutcomeUnknownError: it could not be settled.
        """
        nonce = uuid.uuid4().hex
        packed = pack(body, (nonce,))
        written = self._settle(
            lambda: self._store.create(kind, name, packed),
            lambda: self._written(StoredObject(kind, name, 0, b''), nonce),
        )
        return dataclasses.replace(written, body=body, writers=(nonce,))

    def update(self, previous: StoredObject, body: bytes) -> StoredObject:
        """Replace ``previous`` if nothing has replaced it.

        Raises:
            ObjectConflictError: it has another version or is absent.
            PlatformOutcomeUnknownError: it could not be settled.
        """
        nonce = uuid.uuid4().hex
        writers = _kept((nonce, *previous.writers))
        packed = pack(body, writers)
        kind, name = previous.kind, previous.name
        written = self._settle(
            lambda: self._store.update(kind, name, packed, previous.version),
            lambda: self._written(previous, nonce),
        )
        return dataclasses.replace(written, body=body, writers=writers)

    def delete(self, previous: StoredObject) -> None:
        """Delete ``previous`` if nothing has replaced it.

        An object that is absent afterwards counts as deleted.

        Raises:
            ObjectConflictError: it has another version.
            PlatformOutcomeUnknownError: it could not be settled.
        """
        kind, name = previous.kind, previous.name
        self._settle(
            lambda: self._deleted(previous),
            lambda: self._absent(kind, name, previous),
        )

    def _deleted(self, previous: StoredObject) -> StoredObject:
        self._store.delete(previous.kind, previous.name, previous.version)
        return previous

    def _absent(
        self,
        kind: str,
        name: str,
        previous: StoredObject,
    ) -> StoredObject | None:
        stored = self._store.read(kind, name)
        if stored is None:
            return previous
        if stored.version == previous.version:
            return None
        raise ObjectConflictError(
            f'{kind}/{name} was replaced',
            stored.version,
        )

    def _written(
        self,
        previous: StoredObject,
        nonce: str,
    ) -> StoredObject | None:
        """Return what the write left, None where it had no effect yet.

        A write that another has followed counts, but with the version
        that it replaced, so that its writer cannot undo what followed.

        Raises:
            ObjectConflictError: it had no effect and never will.
            PlatformOutcomeUnknownError: what is stored does not tell.
        """
        kind, name = previous.kind, previous.name
        stored = self._store.read(kind, name)
        current = 0 if stored is None else stored.version
        if current == previous.version:
            return None
        writers = () if stored is None else _readable(stored).writers
        if stored is not None and nonce in writers:
            newest = nonce == writers[0]
            version = current if newest else previous.version
            return dataclasses.replace(stored, version=version)
        if _known_since(previous, writers):
            raise ObjectConflictError(f'{kind}/{name} was replaced', current)
        raise PlatformOutcomeUnknownError(
            f'{kind}/{name} was replaced too often to tell by whom',
        )

    def _settle(
        self,
        write: Callable[[], StoredObject],
        look: Callable[[], StoredObject | None],
    ) -> StoredObject:
        doubtful = False
        for attempt in range(_ATTEMPTS):
            try:
                return self._attempt(write, look, doubtful=doubtful)
            except PlatformOutcomeUnknownError:
                doubtful = True
            except PlatformUnavailableError:
                if not doubtful:
                    raise
            self._pause(attempt)
        raise PlatformOutcomeUnknownError(
            'the platform did not tell the outcome of a write',
        )

    def _attempt(
        self,
        write: Callable[[], StoredObject],
        look: Callable[[], StoredObject | None],
        *,
        doubtful: bool,
    ) -> StoredObject:
        """Write once; after a doubtful write look for it first."""
        if doubtful:
            found = look()
            if found is not None:
                return found
        try:
            return write()
        except ObjectConflictError:
            if not doubtful:
                raise
        # The conflict may be with the earlier attempt of the same write.
        found = look()
        if found is None:
            raise PlatformOutcomeUnknownError('the write is still in doubt')
        return found

    def _pause(self, attempt: int) -> None:
        longest_s = min(_LONGEST_DELAY_S, _FIRST_DELAY_S * 2**attempt)
        self._clock.sleep(self._rng.uniform(longest_s / 2, longest_s))


def _readable_event(event: ObjectEvent) -> ObjectEvent:
    if event.current is None:
        return event
    return dataclasses.replace(event, current=_readable(event.current))


def _known_since(previous: StoredObject, writers: tuple[str, ...]) -> bool:
    """Return whether the writers are all that wrote since ``previous``."""
    if len(writers) < _KEPT_WRITERS or not previous.version:
        return True
    return any(one in writers[:-1] for one in previous.writers[:1])


def _kept(writers: tuple[str, ...]) -> tuple[str, ...]:
    """Return the newest writers and the one that created the object."""
    if len(writers) <= _KEPT_WRITERS:
        return writers
    return (*writers[: _KEPT_WRITERS - 1], writers[-1])
