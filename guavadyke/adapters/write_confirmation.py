"""Object store client that confirms writes whose answer was lost.

Each stored body starts with one line of JSON that holds the nonces of the
last writes. If the answer to a write is lost, the client reads the object
back and looks for the write's nonce.
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

_MAX_WRITERS = 8
_MAX_ATTEMPTS = 6
_FIRST_DELAY_S = 0.05
_MAX_DELAY_S = 1.0


def add_writers_line(body: bytes, writers: tuple[str, ...]) -> bytes:
    """Return the body with the line of writer nonces in front."""
    writers_line = json.dumps({'writers': _trim_writers(writers)})
    return b'\n'.join((writers_line.encode(), body))


def split_writers_line(stored: StoredObject) -> StoredObject:
    """Return the object with the line of writers parsed and removed.

    Raises:
        ValueError: the body does not start with a line of JSON.
        KeyError: the line lacks the writers.
        TypeError: the line is not a JSON object.
    """
    writers_line, _newline, body = stored.body.partition(b'\n')
    document = json.loads(writers_line)
    if not isinstance(document, dict):
        raise TypeError(f'{stored.kind}/{stored.name} has no writers')
    writers = tuple(str(writer) for writer in document['writers'])
    return dataclasses.replace(stored, body=body, writers=writers)


def with_writers(stored: StoredObject) -> StoredObject:
    """Return the parsed object, or ``stored`` itself if it has no writers."""
    try:
        return split_writers_line(stored)
    except (ValueError, KeyError, TypeError):
        return stored


class WriteConfirmingStore:
    """Reads and conditional writes whose outcome is confirmed.

    Args:
        store: the platform.
        clock: sleeps between attempts.
        rng: adds jitter to the delays between attempts.
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
        """Return the object, or None if it does not exist."""
        stored = self._store.read(kind, name)
        return None if stored is None else with_writers(stored)

    def list_objects(
        self,
        kind: str,
        *,
        prefix: str = '',
        after: str = '',
        limit: int = 500,
        bodies: bool = True,
    ) -> ObjectListing:
        """Return a page of objects, ordered by name."""
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
            objects=tuple(with_writers(stored) for stored in listing.objects),
        )

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Wait up to ``wait_s`` seconds for changes after ``revision``."""
        answer = self._store.watch(kind, revision, wait_s)
        events = tuple(_event_with_writers(event) for event in answer.events)
        return dataclasses.replace(answer, events=events)

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return the live and leaving hosts; the list lags behind."""
        return self._store.hosts()

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        """Create the object.

        Raises:
            ObjectConflictError: the object exists already.
            PlatformOutcomeUnknownError: the outcome could not be confirmed.
        """
        nonce = uuid.uuid4().hex
        packed = add_writers_line(body, (nonce,))
        written = self._write_with_retries(
            lambda: self._store.create(kind, name, packed),
            lambda: self._find_write(StoredObject(kind, name, 0, b''), nonce),
        )
        return dataclasses.replace(written, body=body, writers=(nonce,))

    def update(self, previous: StoredObject, body: bytes) -> StoredObject:
        """Replace ``previous`` if it is still the current version.

        Raises:
            ObjectConflictError: it has another version or is absent.
            PlatformOutcomeUnknownError: the outcome could not be confirmed.
        """
        nonce = uuid.uuid4().hex
        writers = _trim_writers((nonce, *previous.writers))
        packed = add_writers_line(body, writers)
        kind, name = previous.kind, previous.name
        written = self._write_with_retries(
            lambda: self._store.update(kind, name, packed, previous.version),
            lambda: self._find_write(previous, nonce),
        )
        return dataclasses.replace(written, body=body, writers=writers)

    def delete(self, previous: StoredObject) -> None:
        """Delete ``previous`` if it is still the current version.

        If the answer is lost and the object is absent afterwards, it counts
        as deleted.

        Raises:
            ObjectConflictError: it has another version.
            PlatformOutcomeUnknownError: the outcome could not be confirmed.
        """
        kind, name = previous.kind, previous.name
        self._write_with_retries(
            lambda: self._delete(previous),
            lambda: self._find_deletion(kind, name, previous),
        )

    def _delete(self, previous: StoredObject) -> StoredObject:
        self._store.delete(previous.kind, previous.name, previous.version)
        return previous

    def _find_deletion(
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

    def _find_write(
        self,
        previous: StoredObject,
        nonce: str,
    ) -> StoredObject | None:
        """Return the object that the write left, or None if not written yet.

        If another write has followed, the object is returned with the version
        that this write replaced, so that its writer cannot overwrite the
        later write.

        Raises:
            ObjectConflictError: the write had no effect and cannot have one.
            PlatformOutcomeUnknownError: the stored nonces do not go back far
                enough to decide.
        """
        kind, name = previous.kind, previous.name
        stored = self._store.read(kind, name)
        current = 0 if stored is None else stored.version
        if current == previous.version:
            return None
        writers = () if stored is None else with_writers(stored).writers
        if stored is not None and nonce in writers:
            is_newest = nonce == writers[0]
            version = current if is_newest else previous.version
            return dataclasses.replace(stored, version=version)
        if _writers_cover_changes(previous, writers):
            raise ObjectConflictError(f'{kind}/{name} was replaced', current)
        raise PlatformOutcomeUnknownError(
            f'{kind}/{name} was replaced too often to confirm this change',
        )

    def _write_with_retries(
        self,
        write: Callable[[], StoredObject],
        find_effect: Callable[[], StoredObject | None],
    ) -> StoredObject:
        """Attempt a write until its outcome is known.

        ``find_effect`` reads the platform and returns the result of the
        write, or None if the write has had no effect so far.
        """
        in_doubt = False
        for attempt in range(_MAX_ATTEMPTS):
            try:
                return self._attempt_write(
                    write, find_effect, in_doubt=in_doubt
                )
            except PlatformOutcomeUnknownError:
                in_doubt = True
            except PlatformUnavailableError:
                if not in_doubt:
                    raise
            self._sleep_before_retry(attempt)
        raise PlatformOutcomeUnknownError(
            'the platform did not confirm the outcome of a write',
        )

    def _attempt_write(
        self,
        write: Callable[[], StoredObject],
        find_effect: Callable[[], StoredObject | None],
        *,
        in_doubt: bool,
    ) -> StoredObject:
        """Write once; if an earlier attempt is in doubt, look for it first."""
        if in_doubt:
            existing = find_effect()
            if existing is not None:
                return existing
        try:
            return write()
        except ObjectConflictError:
            if not in_doubt:
                raise
        # The conflict may be with an earlier attempt of this same write.
        existing = find_effect()
        if existing is None:
            raise PlatformOutcomeUnknownError('the write is still in doubt')
        return existing

    def _sleep_before_retry(self, attempt: int) -> None:
        max_delay_s = min(_MAX_DELAY_S, _FIRST_DELAY_S * 2**attempt)
        self._clock.sleep(self._rng.uniform(max_delay_s / 2, max_delay_s))


def _event_with_writers(event: ObjectEvent) -> ObjectEvent:
    if event.current is None:
        return event
    return dataclasses.replace(event, current=with_writers(event.current))


def _writers_cover_changes(
    previous: StoredObject, writers: tuple[str, ...]
) -> bool:
    """Return whether the nonces include all writes since ``previous``."""
    if len(writers) < _MAX_WRITERS or not previous.version:
        return True
    return any(
        writer_nonce in writers[:-1] for writer_nonce in previous.writers[:1]
    )


def _trim_writers(writers: tuple[str, ...]) -> tuple[str, ...]:
    """Return the nonces of the newest writes and of the creation."""
    if len(writers) <= _MAX_WRITERS:
        return writers
    return (*writers[: _MAX_WRITERS - 1], writers[-1])
