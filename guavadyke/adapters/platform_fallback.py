"""The platform, reached through a peer where it is not reached directly."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import TypeVar

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_rpc import PeerClient
from guavadyke.adapters.ports import (
    Clock,
    ListedHost,
    ObjectListing,
    PlatformStore,
    StoredObject,
    WatchAnswer,
)
from guavadyke.decisions.platform_breaker import PlatformBreaker
from guavadyke.errors import (
    ErrorCode,
    GuavadykeError,
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)

_PEERS_TRIED = 3
_Answer = TypeVar('_Answer')


class FallbackStore:
    """Implements ``PlatformStore``: directly first, then through peers.

    Args:
        direct: the platform.
        client: calls peers.
        relay_addresses: returns the addresses of live peers that say that they
            reach the platform, the nearest first.
        clock: spaces direct tries while the platform is away.
        rng: spreads them and chooses peers.
    """

    def __init__(
        self,
        direct: PlatformStore,
        client: PeerClient,
        relay_addresses: Callable[[], list[str]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._direct = direct
        self._client = client
        self._relay_addresses = relay_addresses
        self._clock = clock
        self._rng = rng
        self._reach = PlatformBreaker(rng)
        self._lock = threading.Lock()
        self.calls_through_peers = 0

    def reached(self) -> bool:
        """Whether this host itself reaches the platform."""
        return self._reach.reachable

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None when it is absent."""
        call = calls.PlatformCall(calls.PlatformMethod.read, kind, name)
        return self._either(
            lambda: self._direct.read(kind, name),
            call,
            _only_object,
        )

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
        call = calls.PlatformCall(
            calls.PlatformMethod.list_objects,
            kind,
            prefix,
            after=after,
            limit=limit,
            bodies=bodies,
        )
        return self._probing(
            lambda: self._direct.list_objects(
                kind,
                prefix=prefix,
                after=after,
                limit=limit,
                bodies=bodies,
            ),
            call,
            _listing,
        )

    def create(self, kind: str, name: str, body: bytes) -> StoredObject:
        """Create the object.

        Raises:
            ObjectConflictError: it exists already.
        """
        call = calls.PlatformCall(
            calls.PlatformMethod.create,
            kind,
            name,
            body,
        )
        return self._either(
            lambda: self._direct.create(kind, name, body),
            call,
            _written_object,
        )

    def update(
        self,
        kind: str,
        name: str,
        body: bytes,
        version: int,
    ) -> StoredObject:
        """Replace the object if it still has ``version``.

        Raises:
            ObjectConflictError: it has another version or is absent.
        """
        call = calls.PlatformCall(
            calls.PlatformMethod.update,
            kind,
            name,
            body,
            version,
        )
        return self._either(
            lambda: self._direct.update(kind, name, body, version),
            call,
            _written_object,
        )

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete the object if it still has ``version``.

        Raises:
            ObjectConflictError: it has another version or is absent.
        """
        call = calls.PlatformCall(
            calls.PlatformMethod.delete,
            kind,
            name,
            version=version,
        )
        self._either(
            lambda: self._direct.delete(kind, name, version),
            call,
            _nothing,
        )

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Watch directly; a peer's thread is not held by a wait."""
        if not self._claim():
            raise PlatformUnavailableError('the platform is away')
        return self._tracked(
            lambda: self._direct.watch(kind, revision, wait_s),
        )

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return the list of live and leaving hosts; it lags."""
        return self._probing(
            self._direct.hosts,
            calls.PlatformCall(calls.PlatformMethod.hosts),
            _hosts,
        )

    def _either(
        self,
        direct: Callable[[], _Answer],
        call: calls.PlatformCall,
        read: Callable[[calls.PlatformReply], _Answer],
    ) -> _Answer:
        """Make a call that somebody waits for, through peers if in doubt.

        Lists follow one another all the time and find out when the platform
        is back.
        """
        if not self._reach.doubtful:
            return self._probing(direct, call, read)
        try:
            return read(self._through_peers(call))
        except PlatformUnavailableError:
            if not self._claim():
                raise
            return self._tracked(direct)

    def _probing(
        self,
        direct: Callable[[], _Answer],
        call: calls.PlatformCall,
        read: Callable[[calls.PlatformReply], _Answer],
    ) -> _Answer:
        if self._claim():
            try:
                return self._tracked(direct)
            except PlatformUnavailableError:
                return read(self._through_peers(call))
        return read(self._through_peers(call))

    def _claim(self) -> bool:
        with self._lock:
            return self._reach.claim(self._clock.monotonic())

    def _tracked(self, direct: Callable[[], _Answer]) -> _Answer:
        """Call directly and note whether the platform was reached."""
        try:
            answer = direct()
        except (PlatformUnavailableError, PlatformOutcomeUnknownError):
            with self._lock:
                self._reach.failed(self._clock.monotonic())
            raise
        except GuavadykeError:
            self._note_success()
            raise
        self._note_success()
        return answer

    def _note_success(self) -> None:
        with self._lock:
            self._reach.succeeded()

    def _through_peers(self, call: calls.PlatformCall) -> calls.PlatformReply:
        for address in self._relay_addresses()[:_PEERS_TRIED]:
            reply = self._through_peer(address, call)
            if reply is not None:
                self.calls_through_peers += 1
                return reply
        raise PlatformUnavailableError(
            'neither this host nor a peer that it reaches has the platform',
        )

    def _through_peer(
        self,
        address: str,
        call: calls.PlatformCall,
    ) -> calls.PlatformReply | None:
        """Return the answer, None where the call had no effect."""
        try:
            reply = self._client.call(address, call)
        except calls.PeerNotReachedError:
            return None
        except calls.PeerAnswerLostError as error:
            if call.method.writes:
                raise PlatformOutcomeUnknownError(
                    f'the answer through {address} was lost',
                ) from error
            return None
        if reply.error is None:
            return reply.platform
        _raise_refusal(reply.error)
        return None


def _raise_refusal(error: calls.RemoteError) -> None:
    """Raise what the platform itself refused; pass over a peer's lack."""
    if error.code is ErrorCode.version_conflict:
        raise ObjectConflictError(error.message, error.current_version)
    if error.code is ErrorCode.outcome_unknown:
        raise PlatformOutcomeUnknownError(error.message)
    if error.code not in {ErrorCode.platform_unavailable, ErrorCode.overloaded}:
        raise GuavadykeError(error.code, error.message)


def _only_object(reply: calls.PlatformReply) -> StoredObject | None:
    return reply.objects[0] if reply.objects else None


def _written_object(reply: calls.PlatformReply) -> StoredObject:
    return reply.objects[0]


def _listing(reply: calls.PlatformReply) -> ObjectListing:
    return ObjectListing(reply.revision, reply.objects, reply.more)


def _hosts(reply: calls.PlatformReply) -> tuple[ListedHost, ...]:
    return reply.hosts


def _nothing(reply: calls.PlatformReply) -> None:
    """Return nothing, as the platform's own delete does."""
