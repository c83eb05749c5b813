"""Platform store that falls back to peers if a direct call fails."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import TypeVar

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_rpc import (
    CALL_TIMEOUT_S,
    READ_TIMEOUT_S,
    PeerClient,
)
from guavadyke.adapters.ports import (
    Clock,
    ListedHost,
    ObjectListing,
    PlatformStore,
    StoredObject,
    WatchAnswer,
)
from guavadyke.adapters.shared_watches import SharedWatches
from guavadyke.decisions.platform_breaker import PlatformBreaker
from guavadyke.errors import (
    ErrorCode,
    GuavadykeError,
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from guavadyke.log import EventLogger

_MAX_PEERS = 3
# A call through a peer that takes longer is logged.
_SLOW_PEER_CALL_S = 0.5
_Result = TypeVar('_Result')


class FallbackStore:
    """Implements ``PlatformStore`` with direct calls and a fallback to peers.

    Args:
        direct: store that calls the platform without a peer.
        client: calls peers.
        relay_addresses: returns the addresses of live peers that report
            that they reach the platform, the nearest first.
        clock: delays direct attempts while the platform is unreachable.
        rng: adds jitter to these delays.
        logger: logs peers that are slow to answer.
        shared_watches: watches through other hosts of the zone.
    """

    def __init__(
        self,
        direct: PlatformStore,
        client: PeerClient,
        relay_addresses: Callable[[], list[str]],
        clock: Clock,
        rng: random.Random,
        logger: EventLogger,
        shared_watches: SharedWatches | None = None,
    ) -> None:
        self._logger = logger
        self._direct = direct
        self._client = client
        self._relay_addresses = relay_addresses
        self._clock = clock
        self._rng = rng
        self._shared_watches = shared_watches
        self._breaker = PlatformBreaker(rng)
        self._lock = threading.Lock()
        self.calls_through_peers = 0

    def reaches_platform(self) -> bool:
        """Return whether this host reaches the platform without a peer."""
        return self._breaker.reachable

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        call = calls.PlatformCall(calls.PlatformMethod.read, kind, name)
        return self._call_by_any_path(
            lambda: self._direct.read(kind, name),
            call,
            _object_or_none,
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
        """Return a page of objects, ordered by name."""
        call = calls.PlatformCall(
            calls.PlatformMethod.list_objects,
            kind,
            prefix,
            after=after,
            limit=limit,
            bodies=bodies,
        )
        # Lists find out if the platform is back unless shared watches do.
        path = (
            self._call_direct_first
            if self._shared_watches is None
            else self._call_by_any_path
        )
        return path(
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
            ObjectConflictError: the object exists already.
        """
        call = calls.PlatformCall(
            calls.PlatformMethod.create,
            kind,
            name,
            body,
        )
        return self._call_by_any_path(
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
        return self._call_by_any_path(
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
        self._call_by_any_path(
            lambda: self._direct.delete(kind, name, version),
            call,
            _discard,
        )

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        """Wait up to ``wait_s`` seconds for changes after ``revision``.

        Raises:
            PlatformUnavailableError: no direct call is possible now, and no
                other host watches the kind for this one.
        """
        query = calls.WatchQuery(kind, revision, wait_s)
        if self._shared_watches is None:
            return self._watch_directly(query)
        return self._shared_watches.watch(
            query,
            self._watch_directly,
            probe=self._breaker.last_call_failed,
        )

    def hosts(self) -> tuple[ListedHost, ...]:
        """Return the live and leaving hosts; the list lags behind."""
        return self._call_direct_first(
            self._direct.hosts,
            calls.PlatformCall(calls.PlatformMethod.hosts),
            _hosts,
        )

    def _watch_directly(self, query: calls.WatchQuery) -> WatchAnswer:
        if not self._claim_direct_call():
            raise PlatformUnavailableError('the platform is away')
        return self._call_direct(
            lambda: self._direct.watch(
                query.kind, query.revision, query.wait_s
            ),
        )

    def _call_by_any_path(
        self,
        direct: Callable[[], _Result],
        call: calls.PlatformCall,
        read: Callable[[calls.PlatformReply], _Result],
    ) -> _Result:
        """Make a latency-sensitive call: through peers if the last one failed.

        Direct calls are then left to lists or watches, which are made all
        the time and detect that the platform is reachable again. The platform
        is called directly only if no peer can make the call.
        """
        if not self._breaker.last_call_failed:
            return self._call_direct_first(direct, call, read)
        try:
            return read(self._through_peers(call))
        except PlatformUnavailableError:
            if not self._claim_direct_call():
                raise
            return self._call_direct(direct)

    def _call_direct_first(
        self,
        direct: Callable[[], _Result],
        call: calls.PlatformCall,
        read: Callable[[calls.PlatformReply], _Result],
    ) -> _Result:
        if self._claim_direct_call():
            try:
                return self._call_direct(direct)
            except PlatformUnavailableError:
                return read(self._through_peers(call))
        return read(self._through_peers(call))

    def _claim_direct_call(self) -> bool:
        with self._lock:
            return self._breaker.claim(self._clock.monotonic())

    def _call_direct(self, direct: Callable[[], _Result]) -> _Result:
        """Call the platform directly and record whether it was reached."""
        failed = False
        try:
            return direct()
        except (PlatformUnavailableError, PlatformOutcomeUnknownError):
            failed = True
            raise
        finally:
            with self._lock:
                if failed:
                    self._breaker.failed(self._clock.monotonic())
                else:
                    self._breaker.succeeded()

    def _through_peers(self, call: calls.PlatformCall) -> calls.PlatformReply:
        """Make the call through the first of the nearest peers that can."""
        for address in self._relay_addresses()[:_MAX_PEERS]:
            asked_at = self._clock.monotonic()
            try:
                reply = self._through_peer(address, call)
            finally:
                took_s = self._clock.monotonic() - asked_at
                _log_slow_peer(self._logger, address, call, took_s)
            if reply is not None:
                self.calls_through_peers += 1
                return reply
        raise PlatformUnavailableError(
            'neither this host nor a peer can reach the platform',
        )

    def _through_peer(
        self,
        address: str,
        call: calls.PlatformCall,
    ) -> calls.PlatformReply | None:
        """Make the call through one peer.

        Returns None if the call had no effect and another peer may be tried.

        Raises:
            PlatformOutcomeUnknownError: a write may have taken effect.
            GuavadykeError: the platform refused the call.
        """
        try:
            reply = self._client.call(
                address,
                call,
                CALL_TIMEOUT_S if call.method.writes else READ_TIMEOUT_S,
            )
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
        _raise_remote_error(reply.error)
        return None


def _log_slow_peer(
    logger: EventLogger, address: str, call: calls.PlatformCall, took_s: float
) -> None:
    if took_s > _SLOW_PEER_CALL_S:
        logger.info(
            'peer_call_slow',
            peer=address,
            method=call.method,
            kind=call.kind,
            took_s=round(took_s, 3),
        )


def _raise_remote_error(error: calls.RemoteError) -> None:
    """Raise the platform's error; ignore that the peer could not call it."""
    if error.code is ErrorCode.version_conflict:
        raise ObjectConflictError(error.message, error.current_version)
    if error.code is ErrorCode.outcome_unknown:
        raise PlatformOutcomeUnknownError(error.message)
    if error.code not in {ErrorCode.platform_unavailable, ErrorCode.overloaded}:
        raise GuavadykeError(error.code, error.message)


def _object_or_none(reply: calls.PlatformReply) -> StoredObject | None:
    return reply.objects[0] if reply.objects else None


def _written_object(reply: calls.PlatformReply) -> StoredObject:
    return reply.objects[0]


def _listing(reply: calls.PlatformReply) -> ObjectListing:
    return ObjectListing(reply.revision, reply.objects, reply.more)


def _hosts(reply: calls.PlatformReply) -> tuple[ListedHost, ...]:
    return reply.hosts


def _discard(reply: calls.PlatformReply) -> None:
    """Ignore the reply, which holds nothing after a delete."""
